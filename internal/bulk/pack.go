package bulk

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/delta"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

const (
	// MinSize is the size in bytes from which values are packed for other VMs.
	// Smaller ones take a few ms on a link of 10 Mbit/s.
	MinSize = 4 << 10
	// maxPackedValues bounds the packed values that are kept.
	maxPackedValues = 64
	// packedShare is a part of a value that it is not packed below. Configurations are
	// packed to a tenth.
	packedShare = 1.0 / 16
)

// Packer compresses values and keeps the results, since many VMs ask for each. It is
// safe for concurrent use.
type Packer struct {
	mutex sync.Mutex
	// values holds the latest packed value of each key.
	values map[string]*packedValue
}

type packedValue struct {
	revision uint64
	// bytes is the packed value, nil if it is no shorter. It is valid if packed is true.
	bytes  []byte
	packed bool
	// diffs holds the differences from earlier values, by their revision. A difference
	// is nil if it can't be had or is no shorter than bytes.
	diffs map[uint64][]byte
}

// NewPacker returns a packer that keeps nothing yet.
func NewPacker() *Packer {
	return &Packer{
		values: make(map[string]*packedValue),
	}
}

// Pack returns the packed value of an entry, or nil if that is no shorter. VMs that ask
// at the same time wait for one compression.
func (p *Packer) Pack(e store.Entry) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.value(e.Key(), e.Revision()).pack(e.Value())
}

// Diff returns the difference of an entry's value from the earlier value base at a
// revision, or nil if the packed value is as good.
func (p *Packer) Diff(e store.Entry, base []byte, revision uint64) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.value(e.Key(), e.Revision())
	d, ok := v.diffs[revision]
	if !ok {
		if b, err := delta.Encode(base, e.Value()); err == nil && v.favours(b, e.Value()) {
			d = b
		}
		v.diffs[revision] = d
	}
	return d
}

// Keep keeps the packed value of a key at a revision, and its difference from the value
// at the revision base, which another VM sent, so that they can be passed on. One of them
// may be nil.
func (p *Packer) Keep(key string, revision uint64, packed, diff []byte, base uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.value(key, revision)
	if packed != nil {
		v.bytes, v.packed = packed, true
	}
	if diff != nil {
		v.diffs[base] = diff
	}
}

// value returns what is kept of the value of a key at a revision. The caller must hold
// the mutex.
func (p *Packer) value(key string, revision uint64) *packedValue {
	v, known := p.values[key]
	if known && v.revision == revision {
		return v
	}
	if !known && len(p.values) >= maxPackedValues {
		clear(p.values)
	}
	v = &packedValue{
		revision: revision,
		diffs:    make(map[uint64][]byte),
	}
	p.values[key] = v
	return v
}

// pack returns the packed value, or nil if it is no shorter than the value.
func (v *packedValue) pack(value []byte) []byte {
	if !v.packed {
		if b, err := Compress(value); err == nil && len(b) < len(value) {
			v.bytes = b
		}
		v.packed = true
	}
	return v.bytes
}

// favours reports whether a difference is shorter than the packed value. A short one is
// without a look at that.
func (v *packedValue) favours(diff, value []byte) bool {
	if float64(len(diff)) < packedShare*float64(len(value)) {
		return true
	}
	b := v.pack(value)
	return b == nil || len(diff) < len(b)
}

// Compress returns the packed form of a value.
func Compress(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack returns the value that was packed. It fails with bound.ErrTooLarge if the
// value has more than limit bytes.
func Unpack(packed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "bulk: unpack")
	}
	value, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "bulk: unpack")
	}
	if len(value) > limit {
		return nil, errors.Wrapf(bound.ErrTooLarge, "bulk: unpack: over %d bytes", limit)
	}
	return value, nil
}
