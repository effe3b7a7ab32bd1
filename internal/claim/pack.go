package claim

import (
	"bytes"
	"encoding/binary"
	"time"
)

// The layout of a packed record: key, body, minute, status. Two of 3 million
// keys share 10 bytes with a probability of about 4e-12; another body passes
// for the first one with 2e-10.
const (
	packedKey    = 10
	packedBody   = 4
	packedMinute = packedKey + packedBody
	packedStatus = packedMinute + 2
	packedSize   = packedStatus + 2
)

// pack moves the oldest final records from list to packed until the others
// take at most room bytes. An overdue claim is final as unknown.
func pack(list []*Record, packed []byte, now time.Time, room int) ([]*Record, []byte) {
	size := 0
	for _, r := range list {
		size += recordSize + len(r.GetAnswer())
	}
	if size <= room {
		return list, packed
	}
	packed = bytes.Clone(packed)
	kept := list[:0]
	for _, r := range list {
		if size > room && (r.final() || r.overdue(now)) {
			size -= recordSize + len(r.GetAnswer())
			packed = appendPacked(packed, r)
			continue
		}
		kept = append(kept, r)
	}
	return kept, packed
}

func appendPacked(packed []byte, r *Record) []byte {
	status := uint16(0)
	if r.GetState() == State_RAN {
		status = uint16(r.GetStatus())
	}
	packed = append(packed, r.GetKey()[:packedKey]...)
	packed = append(packed, r.GetBody()[:packedBody]...)
	packed = binary.BigEndian.AppendUint16(packed, minute(r.GetSince()))
	return binary.BigEndian.AppendUint16(packed, status)
}

func minute(milli int64) uint16 { return uint16(milli / time.Minute.Milliseconds()) }

// age returns the minutes since a packed record's claim. Minutes wrap after 45
// days, far beyond the retention; a clock that is behind counts as no age.
func age(entry []byte, now time.Time) uint16 {
	a := minute(now.UnixMilli()) - binary.BigEndian.Uint16(entry[packedMinute:])
	if a >= 1<<15 {
		return 0
	}
	return a
}

func outdated(entry []byte, now time.Time) bool {
	return age(entry, now) > uint16(Retention/time.Minute)
}

// prune removes the outdated records at the front, the oldest.
func prune(packed []byte, now time.Time) []byte {
	for len(packed) > 0 && outdated(packed, now) {
		packed = packed[packedSize:]
	}
	return packed
}

// unpack returns the record of a key, or nil. It reads all entries; the 51,200
// of a full slot take less time than a store operation (BenchmarkUnpack).
func unpack(packed []byte, k Digest, now time.Time) *Record {
	start := binary.LittleEndian.Uint64(k[:8])
	for e := packed; len(e) >= packedSize; e = e[packedSize:] {
		if binary.LittleEndian.Uint64(e) != start {
			continue
		}
		if !bytes.Equal(e[:packedKey], k[:packedKey]) || outdated(e, now) {
			continue
		}
		r := &Record{
			Key:       k[:],
			Body:      e[packedKey:packedMinute],
			State:     State_UNKNOWN,
			Since:     now.UnixMilli() - int64(age(e, now))*time.Minute.Milliseconds(),
			Truncated: true,
		}
		if s := binary.BigEndian.Uint16(e[packedStatus:]); s != 0 {
			r.State = State_RAN
			r.Status = int32(s)
		}
		return r
	}
	return nil
}
