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
)

// Packer compresses values and keeps the results, since many VMs ask for each. It is
// safe for concurrent use.
type Packer struct {
	mutex sync.Mutex
	// values holds the latest packed value of each key.
	values map[string]packedValue
}

type packedValue struct {
	revision uint64
	bytes    []byte
	// diffs holds the differences from earlier values, by their revision. A difference
	// is nil if it can't be had or is no shorter than bytes.
	diffs map[uint64][]byte
}

// NewPacker returns a packer that keeps nothing yet.
func NewPacker() *Packer {
	return &Packer{
		values: make(map[string]packedValue),
	}
}

// Pack returns the packed value of an entry, or nil if that is no shorter. VMs that ask
// at the same time wait for one compression.
func (p *Packer) Pack(e store.Entry) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.packed(e).bytes
}

// Diff returns the difference of an entry's value from the earlier value base at a
// revision, or nil if the packed value is as good.
func (p *Packer) Diff(e store.Entry, base []byte, revision uint64) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.packed(e)
	d, ok := v.diffs[revision]
	if !ok {
		if b, err := delta.Encode(base, e.Value()); err == nil && (v.bytes == nil || len(b) < len(v.bytes)) {
			d = b
		}
		v.diffs[revision] = d
	}
	return d
}

// packed returns what is kept of an entry. The caller must hold the mutex.
func (p *Packer) packed(e store.Entry) packedValue {
	if v, ok := p.values[e.Key()]; ok && v.revision == e.Revision() {
		return v
	}
	if _, ok := p.values[e.Key()]; !ok && len(p.values) >= maxPackedValues {
		clear(p.values)
	}
	v := packedValue{
		revision: e.Revision(),
		diffs:    make(map[uint64][]byte),
	}
	if b, err := Compress(e.Value()); err == nil && len(b) < len(e.Value()) {
		v.bytes = b
	}
	p.values[e.Key()] = v
	return v
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
