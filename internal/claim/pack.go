package claim

import (
	"bytes"
	"encoding/binary"
	"time"
)

// The layout of a packed record: key, body, minute of the claim, status. Any two
// of 3 million keys share their first 10 bytes with a probability of about
// 4e-12, and two different bodies their first 4 with 2e-10.
const (
	packedKeySize      = 10
	packedBodySize     = 4
	packedMinuteOffset = packedKeySize + packedBodySize
	packedStatusOffset = packedMinuteOffset + 2
	packedSize         = packedStatusOffset + 2
)

// pack moves the oldest final records from list to packed until the others
// take at most maxBytes. A claim past its deadline and grace period counts as
// final and is packed as unknown.
func pack(list []*Record, packed []byte, now time.Time, maxBytes int) ([]*Record, []byte) {
	size := 0
	for _, r := range list {
		size += recordOverhead + len(r.GetAnswer())
	}
	if size <= maxBytes {
		return list, packed
	}
	packed = bytes.Clone(packed)
	kept := list[:0]
	for _, r := range list {
		if size > maxBytes && (r.final() || r.overdue(now)) {
			size -= recordOverhead + len(r.GetAnswer())
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
	packed = append(packed, r.GetKey()[:packedKeySize]...)
	packed = append(packed, r.GetBody()[:packedBodySize]...)
	packed = binary.BigEndian.AppendUint16(packed, minute(r.GetSince()))
	return binary.BigEndian.AppendUint16(packed, status)
}

// minute returns the Unix time in minutes, modulo 65536.
func minute(milli int64) uint16 { return uint16(milli / time.Minute.Milliseconds()) }

// age returns the minutes since a packed record's claim, or 0 for a claim in the
// future of a slow clock. Minutes wrap after 45 days, far beyond Retention.
func age(entry []byte, now time.Time) uint16 {
	a := minute(now.UnixMilli()) - binary.BigEndian.Uint16(entry[packedMinuteOffset:])
	if a >= 1<<15 {
		return 0
	}
	return a
}

func packedExpired(entry []byte, now time.Time) bool {
	return age(entry, now) > uint16(Retention/time.Minute)
}

// dropExpired removes the expired records from the front, where the oldest are.
func dropExpired(packed []byte, now time.Time) []byte {
	for len(packed) > 0 && packedExpired(packed, now) {
		packed = packed[packedSize:]
	}
	return packed
}

// unpack returns the record of a key, or nil. The scan of all 51,200 entries of
// a full slot takes less time than a store operation (BenchmarkUnpack).
func unpack(packed []byte, k Digest, now time.Time) *Record {
	start := binary.LittleEndian.Uint64(k[:8])
	for e := packed; len(e) >= packedSize; e = e[packedSize:] {
		if binary.LittleEndian.Uint64(e) != start {
			continue
		}
		if !bytes.Equal(e[:packedKeySize], k[:packedKeySize]) || packedExpired(e, now) {
			continue
		}
		r := &Record{
			Key:       k[:],
			Body:      e[packedKeySize:packedMinuteOffset],
			State:     State_UNKNOWN,
			Since:     now.UnixMilli() - int64(age(e, now))*time.Minute.Milliseconds(),
			Truncated: true,
		}
		if s := binary.BigEndian.Uint16(e[packedStatusOffset:]); s != 0 {
			r.State = State_RAN
			r.Status = int32(s)
		}
		return r
	}
	return nil
}
