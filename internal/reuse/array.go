package reuse

import (
	"clementinelink.example/clementinelink/internal/codec"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// Array decodes the elements of JSON arrays and keeps those of the latest array, by
// their text. It is not safe for concurrent use.
type Array[T any] struct {
	decode func(text []byte) (T, error)
	// latest holds the elements of the latest array that was decoded without an error.
	latest map[string]element[T]
}

type element[T any] struct {
	text  string
	value T
}

// NewArray returns a decoder that calls decode for each element whose text the latest
// array does not have. The decoded elements must be immutable, and decode must not keep
// the text.
func NewArray[T any](decode func(text []byte) (T, error)) *Array[T] {
	return &Array[T]{
		decode: decode,
	}
}

// Decode returns the elements of a JSON array in order. It has none if it is null.
func (a *Array[T]) Decode(array jsontext.Value) ([]T, error) {
	if array.Kind() == 'n' {
		a.latest = nil
		return nil, nil
	}
	d := codec.NewDecoder(array)
	if err := open(d, '['); err != nil {
		return nil, err
	}
	values, found := make([]T, 0, len(a.latest)), make(map[string]element[T], len(a.latest))
	for d.PeekKind() != ']' {
		text, err := d.ReadValue()
		if err != nil {
			return nil, errors.Wrap(err, "reuse: element")
		}
		e, known := a.latest[string(text)]
		if !known {
			if e.value, err = a.decode(text); err != nil {
				return nil, err
			}
			e.text = string(text)
		}
		found[e.text] = e
		values = append(values, e.value)
	}
	a.latest = found
	return values, nil
}
