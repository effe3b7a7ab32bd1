package claim

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// The sizes of a slot. A packed record takes 18 bytes, so 900 KB hold 51,200
// keys less the whole records: with 64 slots about 3 million keys in 24 hours,
// or 35 bookings a second on average over the day.
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
	// wholeRoom is the size in bytes above which a slot packs its oldest final
	// records, which drops their answers. Every write carries the whole slot,
	// so it bounds the bytes of a write while few keys are kept.
	wholeRoom = 64 << 10
	// slotRoom is the size in bytes above which a slot takes no new key. The
	// store's limit is 1 MB.
	slotRoom   = 900 << 10
	recordSize = 96
	// tombstone is the time for which a released claim is kept. No write of it
	// is on its way after that.
	tombstone = 10 * time.Minute
)

// table is the content of a slot at one revision. It is immutable.
type table struct {
	// list is in the order in which the keys were first claimed.
	list   []*Record
	at     map[Digest]*Record
	packed []byte
	size   int
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
	if len(s.GetPacked())%packedSize != 0 {
		return nil, errors.New("packed records of a wrong size")
	}
	t := newTable(s.GetRecords())
	t.packed = s.GetPacked()
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
	// whole is the size in bytes above which final records are packed.
	whole int
}

func (d *draft) get(k Digest, now time.Time) *Record {
	if r := d.changed[k]; r != nil {
		return r
	}
	return d.base.get(k, now)
}

// get returns the record of a key, or nil when there is none or it is past its
// retention.
func (t *table) get(k Digest, now time.Time) *Record {
	if r := t.at[k]; r != nil {
		if r.expired(now) {
			return nil
		}
		return r
	}
	return unpack(t.packed, k, now)
}

func (d *draft) put(r *Record) {
	k := r.digest()
	if d.changed[k] == nil && d.base.at[k] == nil {
		d.added = append(d.added, k)
	}
	d.changed[k] = r
}

// room reports whether the slot can take another key.
func (d *draft) room(now time.Time) bool {
	size := d.base.size - len(d.base.packed) + len(prune(d.base.packed, now))
	return size+len(d.changed)*recordSize < slotRoom
}

// build returns the changed table without expired records and its encoding.
func (d *draft) build(now time.Time) (*table, []byte, error) {
	list := make([]*Record, 0, len(d.base.list)+len(d.added))
	for _, r := range d.base.list {
		if c := d.changed[r.digest()]; c != nil {
			r = c
		}
		if !r.expired(now) && !r.stale(now) {
			list = append(list, r)
		}
	}
	for _, k := range d.added {
		list = append(list, d.changed[k])
	}
	list, packed := pack(list, prune(d.base.packed, now), now, d.whole)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&Slot{
		Records: list,
		Packed:  packed,
	})
	if err != nil {
		return nil, nil, err
	}
	t := newTable(list)
	t.packed = packed
	t.size = len(value)
	return t, value, nil
}
