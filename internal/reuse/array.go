package reuse

import (
	"bytes"
	"slices"

	"clementinelink.example/clementinelink/internal/codec"
	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// Array decodes the elements of JSON arrays. It keeps the latest array, and reads of the
// next one only the text between the elements that both begin and end with. Of these, it
// decodes those that the latest one does not have. It is not safe for concurrent use.
type Array[T any] struct {
	decode func(text []byte) (T, error)
	// text is the latest array that was decoded without an error, or nil.
	text []byte
	// elements are those of text, in order.
	elements []element[T]
	// known holds their values by their text.
	known map[string]T
	// unchanged is true if the array before had the same elements.
	unchanged bool
}

// element is an element of an array.
type element[T any] struct {
	// start and end are its place in the text of the array.
	start int
	end   int
	value T
}

// NewArray returns a decoder that calls decode for each element whose text the latest
// array does not have. The decoded elements must be immutable, and decode must not keep
// the text.
func NewArray[T any](decode func(text []byte) (T, error)) *Array[T] {
	return &Array[T]{
		decode: decode,
		known:  make(map[string]T),
	}
}

// Decode returns the elements of a JSON array in order. It has none if it is null.
func (a *Array[T]) Decode(array jsontext.Value) ([]T, error) {
	array = bytes.Trim(array, space)
	if array.Kind() == 'n' {
		a.unchanged = len(a.elements) == 0
		a.text, a.elements = nil, nil
		clear(a.known)
		return nil, nil
	}
	c, same := a.compare(array)
	if !same {
		c = change{
			last: len(a.elements),
			from: 0,
			to:   len(array),
		}
	}
	found, err := a.read(array, c, same)
	if err != nil {
		return nil, err
	}
	a.replace(array, c, found)
	values := make([]T, len(a.elements))
	for i, e := range a.elements {
		values[i] = e.value
	}
	return values, nil
}

// Unchanged reports whether the latest array has the elements of the one before it, with
// the same texts.
func (a *Array[T]) Unchanged() bool { return a.unchanged }

// change tells how an array differs from the latest one: the text from from to before to
// replaces the elements from first to before last.
type change struct {
	first int
	last  int
	from  int
	to    int
}

// compare returns how an array differs from the latest one, or false if they have no
// element in common at their ends. What they have in common is valid, as the latest one was.
func (a *Array[T]) compare(array []byte) (change, bool) {
	if !bytes.HasPrefix(array, []byte("[")) || !bytes.HasSuffix(array, []byte("]")) {
		return change{}, false
	}
	prefix := commonPrefix(a.text, array)
	suffix := commonSuffix(a.text[prefix:], array[prefix:])
	c := change{
		last: len(a.elements),
		from: 1,
		to:   len(array) - 1,
	}
	// An element is the same only if the byte beside it is, since a number may go on.
	for c.first < c.last && a.elements[c.first].end < prefix {
		c.first++
	}
	for c.last > c.first && a.elements[c.last-1].start > len(a.text)-suffix {
		c.last--
	}
	before, after := c.first > 0, c.last < len(a.elements)
	if !before && !after {
		return change{}, false
	}
	if before {
		c.from = a.elements[c.first-1].end
	}
	if after {
		c.to = a.elements[c.last].start + len(array) - len(a.text)
	}
	return c, c.dropCommas(array, before, after)
}

// dropCommas leaves only elements between from and to, without the commas beside them. It
// returns false if a comma is missing. before and after tell whether there are elements on
// that side.
func (c *change) dropCommas(array []byte, before, after bool) bool {
	if c.from > c.to {
		return false
	}
	c.trim(array)
	if c.from == c.to {
		return before != after
	}
	if before {
		if array[c.from] != ',' {
			return false
		}
		c.from++
		if c.trim(array); c.from == c.to {
			return after
		}
	}
	if after {
		if array[c.to-1] != ',' {
			return false
		}
		c.to--
		c.trim(array)
	}
	return c.from < c.to
}

// trim leaves out white space at both ends.
func (c *change) trim(array []byte) {
	text := array[c.from:c.to]
	c.from += len(text) - len(bytes.TrimLeft(text, space))
	c.to -= len(text) - len(bytes.TrimRight(text, space))
	c.to = max(c.from, c.to)
}

// read returns the elements of a part of an array. If the part is not the whole array, it
// has no brackets.
func (a *Array[T]) read(array []byte, c change, isPart bool) ([]element[T], error) {
	part, offset := array[c.from:c.to], c.from
	if isPart {
		part, offset = slices.Concat([]byte{'['}, part, []byte{']'}), c.from-1
	}
	d := codec.NewDecoder(part)
	if err := open(d, '['); err != nil {
		return nil, err
	}
	var found []element[T]
	for d.PeekKind() != ']' {
		text, err := d.ReadValue()
		if err != nil {
			return nil, errors.Wrap(err, "reuse: element")
		}
		value, known := a.known[string(text)]
		if !known {
			if value, err = a.decode(text); err != nil {
				return nil, err
			}
		}
		end := int(d.InputOffset()) + offset
		found = append(found, element[T]{
			start: end - len(text),
			end:   end,
			value: value,
		})
	}
	if _, err := d.ReadToken(); err != nil {
		return nil, errors.Wrap(err, "reuse: array")
	}
	if d.InputOffset() != int64(len(part)) {
		return nil, errors.Newf("reuse: more than one value")
	}
	return found, nil
}

// replace applies a change with the elements that were found.
func (a *Array[T]) replace(array []byte, c change, found []element[T]) {
	a.unchanged = len(found) == 0 && c.first == c.last
	for _, e := range a.elements[c.first:c.last] {
		delete(a.known, string(a.text[e.start:e.end]))
	}
	shift := len(array) - len(a.text)
	elements := slices.Concat(a.elements[:c.first], found, a.elements[c.last:])
	for i := c.first + len(found); i < len(elements); i++ {
		elements[i].start += shift
		elements[i].end += shift
	}
	a.text, a.elements = bytes.Clone(array), elements
	for _, e := range found {
		a.known[string(a.text[e.start:e.end])] = e.value
	}
}

// commonPrefix returns the number of bytes that a and b begin with.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	at := 0
	for step := compareBytes; step > 0; step /= 2 {
		for at+step <= n && bytes.Equal(a[at:at+step], b[at:at+step]) {
			at += step
		}
	}
	return at
}

// commonSuffix returns the number of bytes that a and b end with.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	at := 0
	for step := compareBytes; step > 0; step /= 2 {
		for at+step <= n && bytes.Equal(a[len(a)-at-step:len(a)-at], b[len(b)-at-step:len(b)-at]) {
			at += step
		}
	}
	return at
}

// compareBytes is the number of bytes that are compared at once. It must be a power of 2.
const compareBytes = 4 << 10

// space is the white space of JSON.
const space = " \t\r\n"
