package claim

import (
	"bytes"
	"time"
)

// lostWindow is the age up to which records are written again that a slot lacks although
// this VM has read or written them. A store that is restored from a copy loses seconds.
const lostWindow = 5 * time.Minute

// missing returns the records of known that t lacks or has in an earlier state, because the
// store was restored from a copy. A slot never loses a record of that age otherwise.
func (t *table) missing(known *table, now time.Time) []*Record {
	if known == nil {
		return nil
	}
	var lost []*Record
	for _, r := range known.records {
		if now.UnixMilli()-r.GetSince() > lostWindow.Milliseconds() {
			continue
		}
		if r.follows(t.get(r.digest(), now)) {
			lost = append(lost, r)
		}
	}
	return lost
}

// follows reports whether r is a later record of its key than stored, which is nil if the
// slot has none.
func (r *Record) follows(stored *Record) bool {
	switch {
	case stored == nil:
		return true
	case r.holder() == stored.holder():
		return stored.GetState() == State_CLAIMED && r.GetState() != State_CLAIMED
	default:
		return stored.GetState() == State_NOT_RUN && r.GetSince() > stored.GetSince()
	}
}

// missingPacked returns the packed records at the end of known that t lacks.
func (t *table) missingPacked(known *table, now time.Time) []byte {
	if known == nil {
		return nil
	}
	at := len(known.packed)
	for ; at > 0; at -= packedSize {
		e := known.packed[at-packedSize : at]
		if packedExpired(e, now) || containsPacked(t.packed, e) {
			break
		}
	}
	return known.packed[at:]
}

// containsPacked reports whether packed has an entry.
func containsPacked(packed, entry []byte) bool {
	for at := len(packed); at > 0; at -= packedSize {
		if bytes.Equal(packed[at-packedSize:at], entry) {
			return true
		}
	}
	return false
}
