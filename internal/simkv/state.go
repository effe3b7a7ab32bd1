package simkv

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// entry is one stored value.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	// Lease is empty for a key that does not expire.
	Lease string `json:"lease,omitempty"`
}

// event is one change of a key.
type event struct {
	entry
	// Gone is true for a deletion. Revision is then the revision of the
	// deletion and Value is empty.
	Gone bool `json:"gone,omitempty"`
}

// lease holds the expiry of a lease and the keys bound to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// undo takes back one change of the state.
type undo struct {
	at   time.Time
	undo func()
}

// result is the outcome of a put or delete.
type result uint8

const (
	done result = iota
	conflict
	noLease
)

// maxBack is how far a restoration goes back at most.
const maxBack = 30 * time.Second

// state holds the keys, leases and change log. The goroutine of Server.run owns
// it.
type state struct {
	// era counts the restorations.
	era uint64
	// revision counts the changes of all keys and decreases only with a restoration.
	revision uint64
	entries  map[string]entry
	leases   map[string]*lease
	// lastLease is the number of the newest lease.
	lastLease uint64
	// log holds the last events, at most retained, in order of revision.
	log      []event
	retained int
	// compacted is the highest revision that is no longer in log.
	compacted uint64
	// undos take back the changes of the last maxBack, in order of time.
	undos []undo
}

func newState(retained int) *state {
	return &state{
		entries:  make(map[string]entry),
		leases:   make(map[string]*lease),
		retained: retained,
	}
}

// put stores value if the key's revision is expect, 0 for an absent key. It
// returns the key's revision after the call.
func (s *state) put(now time.Time, key string, value []byte, expect uint64, lease string) (uint64, result) {
	old := s.entries[key]
	if old.Revision != expect {
		return old.Revision, conflict
	}
	if lease != "" && s.leases[lease] == nil {
		return old.Revision, noLease
	}
	s.noteEntry(now, key)
	s.unbind(old)
	s.revision++
	e := entry{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Lease:    lease,
	}
	s.entries[key] = e
	if lease != "" {
		s.leases[lease].keys[key] = true
	}
	s.record(event{
		entry: e,
	})
	return s.revision, done
}

// remove deletes the key if its revision is expect.
func (s *state) remove(now time.Time, key string, expect uint64) (uint64, result) {
	old, ok := s.entries[key]
	if !ok || old.Revision != expect {
		return old.Revision, conflict
	}
	s.deleteEntry(now, old)
	return s.revision, done
}

// deleteEntry deletes the key of e and records the deletion.
func (s *state) deleteEntry(now time.Time, e entry) {
	s.noteEntry(now, e.Key)
	s.unbind(e)
	delete(s.entries, e.Key)
	s.revision++
	s.record(event{
		entry: entry{
			Key:      e.Key,
			Revision: s.revision,
		},
		Gone: true,
	})
}

// noteEntry notes how to take back a change of a key that is about to be made.
func (s *state) noteEntry(now time.Time, key string) {
	old, ok := s.entries[key]
	s.note(now, func() {
		s.revision--
		if ok {
			s.entries[key] = old
		} else {
			delete(s.entries, key)
		}
	})
}

// noteLease notes how to take back a change of a lease that is about to be made.
func (s *state) noteLease(now time.Time, id string) {
	last := s.lastLease
	var old *lease
	if l := s.leases[id]; l != nil {
		old = &lease{
			ttl:     l.ttl,
			expires: l.expires,
		}
	}
	s.note(now, func() {
		s.lastLease = last
		if old != nil {
			s.leases[id] = old
		} else {
			delete(s.leases, id)
		}
	})
}

// note adds an undo and drops those that are too old.
func (s *state) note(now time.Time, f func()) {
	kept := sort.Search(len(s.undos), func(i int) bool { return now.Sub(s.undos[i].at) <= maxBack })
	s.undos = append(s.undos[kept:], undo{
		at:   now,
		undo: f,
	})
}

// restore goes back to the state of some time ago, in a new era. The revisions and the
// numbers of leases since then are given out again.
func (s *state) restore(now time.Time, back time.Duration) {
	s.era++
	for len(s.undos) > 0 && now.Sub(s.undos[len(s.undos)-1].at) <= back {
		s.undos[len(s.undos)-1].undo()
		s.undos = s.undos[:len(s.undos)-1]
	}
	for _, l := range s.leases {
		l.keys = make(map[string]bool)
	}
	for key, e := range s.entries {
		if l := s.leases[e.Lease]; l != nil {
			l.keys[key] = true
		}
	}
	s.log = s.log[:sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > s.revision })]
	s.compacted = min(s.compacted, s.revision)
}

// unbind removes the key of e from its lease, if it has one.
func (s *state) unbind(e entry) {
	if l := s.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

// record appends an event to the log and discards the oldest over the limit.
func (s *state) record(e event) {
	s.log = append(s.log, e)
	if over := len(s.log) - s.retained; over > 0 {
		s.compacted = s.log[over-1].Revision
		s.log = append([]event(nil), s.log[over:]...)
	}
}

// compact discards all events.
func (s *state) compact() {
	s.compacted = s.revision
	s.log = nil
}

// list returns the entries below prefix in key order.
func (s *state) list(prefix string) []entry {
	found := []entry{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// eventsAfter returns the changes below prefix after a revision; ok is false
// when some of them are compacted, or the revision has not been given out.
func (s *state) eventsAfter(prefix string, after uint64) (found []event, ok bool) {
	if after < s.compacted || after > s.revision {
		return nil, false
	}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > after })
	for _, e := range s.log[start:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, true
}

// lastEvent returns the last retained event below prefix up to a revision.
func (s *state) lastEvent(prefix string, revision uint64) (event, bool) {
	for i := len(s.log) - 1; i >= 0; i-- {
		if e := s.log[i]; e.Revision <= revision && strings.HasPrefix(e.Key, prefix) {
			return e, true
		}
	}
	return event{}, false
}

// grant creates a lease and returns its id.
func (s *state) grant(now time.Time, ttl time.Duration) string {
	id := fmt.Sprintf("l%d", s.lastLease+1)
	s.noteLease(now, id)
	s.lastLease++
	s.leases[id] = &lease{
		ttl:     ttl,
		expires: now.Add(ttl),
		keys:    make(map[string]bool),
	}
	return id
}

// renew extends a lease by its TTL, which it returns; ok is false for an unknown
// lease.
func (s *state) renew(now time.Time, id string) (time.Duration, bool) {
	l := s.leases[id]
	if l == nil {
		return 0, false
	}
	s.noteLease(now, id)
	l.expires = now.Add(l.ttl)
	return l.ttl, true
}

// revoke ends a lease and deletes its keys. It returns false for an unknown
// lease.
func (s *state) revoke(now time.Time, id string) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	s.noteLease(now, id)
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.deleteEntry(now, s.entries[k])
	}
	return true
}

// expire revokes the leases that expire at or before now.
func (s *state) expire(now time.Time) {
	ids := []string{}
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.revoke(now, id)
	}
}

// nextExpiry returns when the first lease expires; ok is false without leases.
func (s *state) nextExpiry() (first time.Time, ok bool) {
	for _, l := range s.leases {
		if !ok || l.expires.Before(first) {
			first, ok = l.expires, true
		}
	}
	return first, ok
}
