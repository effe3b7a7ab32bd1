// Package delta encodes a value as its difference from an earlier one.
package delta

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// baseID is the id of the dictionary that stands for the earlier value.
const baseID = 1

// maxWindow is how far back a difference may refer, in bytes. It spans two of the largest
// values.
const maxWindow = 4 << 20

// ErrMismatch means that a difference is damaged or does not fit the earlier value.
var ErrMismatch = errors.New("delta: the difference does not fit the value before it")

// Encode returns the difference of value from base, which must not be empty. It contains
// a checksum of value.
func Encode(base, value []byte) ([]byte, error) {
	w, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(baseID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window(len(base)+len(value))), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(true))
	if err != nil {
		return nil, errors.Wrap(err, "delta: encode")
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(value, nil), nil
}

// window returns the smallest window that spans a number of bytes. The encoder allocates
// as much.
func window(span int) int {
	w := zstd.MinWindowSize
	for w < span && w < maxWindow {
		w *= 2
	}
	return w
}

// Decode returns the value of which diff is the difference from base. It fails with
// ErrMismatch if that is not so, or if the value has more than limit bytes.
func Decode(base, diff []byte, limit int) ([]byte, error) {
	if len(base) == 0 || limit <= 0 {
		return nil, errors.Wrapf(ErrMismatch, "base of %d bytes, limit of %d", len(base), limit)
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(baseID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(uint64(limit)), zstd.WithDecoderMaxWindow(maxWindow))
	if err != nil {
		return nil, errors.Wrap(err, "delta: decode")
	}
	defer r.Close()
	value, err := r.DecodeAll(diff, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "delta: decode"), ErrMismatch)
	}
	return value, nil
}
