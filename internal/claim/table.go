package claim

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// The limits of the slots. A packed record takes 18 bytes, so a slot of 900 KiB
// holds 51,200 keys less the space of its whole records. 64 slots hold about 3
// million keys in 24 hours, or 35 bookings a second on average over the day.
const (
	// Slots is the number of slots of a deployment.
	Slots = 64
	// Retention is the time for which a key is kept after it was claimed.
	Retention = 24 * time.Hour
	// GracePeriod is the time after a claim's deadline at which another VM may
	// record the call as unknown. It covers the clock difference between VMs and
	// the write of an outcome that arrived just before the deadline.
	GracePeriod = 2 * time.Second
	// MaxAnswerBytes is the largest body that a record keeps, in bytes.
	MaxAnswerBytes = 8 << 10
	// maxWholeBytes is the total size of the whole (unpacked) records above which a
	// slot packs its oldest final records, which drops their answers. Every write
	// carries the complete slot, so this keeps writes small while a slot has few
	// keys.
	maxWholeBytes = 64 << 10
	// maxSlotBytes is the size above which a slot takes no new key. The store limits
	// a value to 1 MB.
	maxSlotBytes = 900 << 10
	// recordOverhead is the estimated size in bytes of a whole record without its
	// answer.
	recordOverhead = 96
	// releaseRetention is the time for which a released claim is kept. No earlier
	// write of the claim can still take effect after that time.
	releaseRetention = 10 * time.Minute
)

// table is the decoded content of a slot at one revision. It is immutable.
type table struct {
	// records are in the order in which the keys were first claimed.
	records []*Record
	byKey   map[Digest]*Record
	packed  []byte
	// size is the length in bytes of the encoded slot.
	size int
}

// parse decodes the value of a slot; an empty value is an empty table.
func parse(value []byte) (*table, error) {
	var s Slot
	if err := proto.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	for _, r := range s.GetRecords() {
		if !r.valid() {
			return nil, errors.New("claim: record without a valid key or body digest")
		}
	}
	if len(s.GetPacked())%packedSize != 0 {
		return nil, errors.New("claim: length of the packed records is not a multiple of the record size")
	}
	t := newTable(s.GetRecords())
	t.packed = s.GetPacked()
	t.size = len(value)
	return t, nil
}

func newTable(list []*Record) *table {
	t := &table{
		records: list,
		byKey:   make(map[Digest]*Record, len(list)),
	}
	for _, r := range list {
		t.byKey[r.digest()] = r
	}
	return t
}

// draft is a table and the changes to it that the next write of the slot stores.
type draft struct {
	base    *table
	changed map[Digest]*Record
	added   []Digest
	// wholeLimit is the total size in bytes of the whole records above which final
	// ones are packed.
	wholeLimit int
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
	if r := t.byKey[k]; r != nil {
		if r.expired(now) {
			return nil
		}
		return r
	}
	return unpack(t.packed, k, now)
}

func (d *draft) put(r *Record) {
	k := r.digest()
	if d.changed[k] == nil && d.base.byKey[k] == nil {
		d.added = append(d.added, k)
	}
	d.changed[k] = r
}

// hasSpace reports whether the slot is small enough to take another key.
func (d *draft) hasSpace(now time.Time) bool {
	size := d.base.size - len(d.base.packed) + len(dropExpired(d.base.packed, now))
	return size+len(d.changed)*recordOverhead < maxSlotBytes
}

// build returns the table with the changes and without expired records, and its
// encoding.
func (d *draft) build(now time.Time) (*table, []byte, error) {
	list := make([]*Record, 0, len(d.base.records)+len(d.added))
	for _, r := range d.base.records {
		if c := d.changed[r.digest()]; c != nil {
			r = c
		}
		if !r.expired(now) && !r.isOldRelease(now) {
			list = append(list, r)
		}
	}
	for _, k := range d.added {
		list = append(list, d.changed[k])
	}
	list, packed := pack(list, dropExpired(d.base.packed, now), now, d.wholeLimit)
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
