package claim

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// The sizes of a slot. A record without an answer takes about 75 bytes, so the
// hard limit of 900 KB holds 12,000 keys: with 64 slots 768,000 keys in 24
// hours, or 8.9 bookings a second on average over the day.
const (
	// Slots is the number of slots of a deployment.
	Slots = 64
	// Retention is the time for which a key is kept.
	Retention = 24 * time.Hour
	// Grace is added to a claim's deadline before another VM calls it unknown.
	// It covers the clock difference between VMs and the write of an outcome
	// that arrived just before the deadline.
	Grace = 2 * time.Second
	// MaxAnswer is the largest body that a record keeps, in bytes.
	MaxAnswer = 8 << 10
	// answerRoom is the size in bytes above which a slot drops its oldest
	// stored bodies. Every write carries the whole slot, so it bounds the bytes
	// of a write until the keys alone take more.
	answerRoom = 128 << 10
	// slotRoom is the size in bytes above which a slot takes no new key. The
	// store's limit is 1 MB.
	slotRoom   = 900 << 10
	recordSize = 96
)

// table is the content of a slot at one revision. It is immutable.
type table struct {
	// list is in the order in which the keys were first claimed.
	list []*Record
	at   map[Digest]*Record
	size int
}

func parse(value []byte) (*table, error) {
	var s Slot
	if err := proto.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	for _, r := range s.GetRecords() {
		if !r.valid() {
			return nil, errors.New("record without key or body digest")
		}
	}
	t := newTable(s.GetRecords())
	t.size = len(value)
	return t, nil
}

func newTable(list []*Record) *table {
	t := &table{
		list: list,
		at:   make(map[Digest]*Record, len(list)),
	}
	for _, r := range list {
		t.at[r.digest()] = r
	}
	return t
}

// draft is a table with changes that are not written yet.
type draft struct {
	base    *table
	changed map[Digest]*Record
	added   []Digest
}

func (d *draft) get(k Digest) *Record {
	if r := d.changed[k]; r != nil {
		return r
	}
	return d.base.at[k]
}

func (d *draft) put(r *Record) {
	k := r.digest()
	if d.get(k) == nil {
		d.added = append(d.added, k)
	}
	d.changed[k] = r
}

// room reports whether the slot can take another key.
func (d *draft) room() bool {
	return d.base.size+len(d.changed)*recordSize < slotRoom
}

// build returns the changed table without expired records and its encoding.
func (d *draft) build(now time.Time) (*table, []byte, error) {
	list := make([]*Record, 0, len(d.base.list)+len(d.added))
	for _, r := range d.base.list {
		if c := d.changed[r.digest()]; c != nil {
			r = c
		}
		if !r.expired(now) {
			list = append(list, r)
		}
	}
	for _, k := range d.added {
		list = append(list, d.changed[k])
	}
	shrink(list)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&Slot{Records: list})
	if err != nil {
		return nil, nil, err
	}
	t := newTable(list)
	t.size = len(value)
	return t, value, nil
}

// shrink drops the oldest bodies until the slot fits into answerRoom. The
// status of the answer stays.
func shrink(list []*Record) {
	size := 0
	for _, r := range list {
		size += recordSize + len(r.GetAnswer())
	}
	for i, r := range list {
		if size <= answerRoom {
			return
		}
		if len(r.GetAnswer()) == 0 {
			continue
		}
		size -= len(r.GetAnswer())
		c := proto.CloneOf(r)
		c.Answer = nil
		c.Truncated = true
		list[i] = c
	}
}
