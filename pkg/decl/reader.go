package decl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of a file. Declarations need six levels.
const maxDepth = 16

// node is one JSON value with its line in the file.
type node struct {
	line int
	// value is a string, json.Number, bool, nil, or the opening json.Delim.
	value any
	// fieldNames holds the names of an object's fields in file order.
	fieldNames []string
	fields     map[string]*node
	items      []*node
}

// reader decodes a file into nodes and collects the faults of all objects.
type reader struct {
	faults
	file    string
	data    []byte
	decoder *json.Decoder
	// countedOffset is the offset in data to which line corresponds.
	countedOffset int64
	line          int
}

func newReader(file string, data []byte) *reader {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return &reader{
		file:    file,
		data:    data,
		decoder: d,
		line:    1,
	}
}

// readFile returns the file's only value. After a syntax error it adds a fault
// and returns nil.
func (r *reader) readFile() *node {
	n, err := r.readValue(0)
	if err == nil {
		_, err = r.decoder.Token()
		if errors.Is(err, io.EOF) {
			return n
		}
		err = errors.New("text after the end of the declaration")
	}
	r.advanceLine(r.errorOffset(err))
	r.add(position{
		file: r.file,
		line: r.line,
	}, "", "%s", syntaxErrorText(err))
	return nil
}

func syntaxErrorText(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "unexpected end of file"
	}
	return err.Error()
}

// errorOffset returns the offset in the file at which err was found.
func (r *reader) errorOffset(err error) int64 {
	if s := (*json.SyntaxError)(nil); errors.As(err, &s) {
		return max(s.Offset, r.decoder.InputOffset())
	}
	return r.decoder.InputOffset()
}

// advanceLine sets line to that of a later offset in the file.
func (r *reader) advanceLine(offset int64) {
	end := min(offset, int64(len(r.data)))
	if end > r.countedOffset {
		r.line += bytes.Count(r.data[r.countedOffset:end], []byte("\n"))
		r.countedOffset = end
	}
}

// readValue returns the next value with everything nested in it.
func (r *reader) readValue(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Newf("nested deeper than %d levels", maxDepth)
	}
	t, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	r.advanceLine(r.decoder.InputOffset())
	n := &node{
		line:  r.line,
		value: t,
	}
	switch t {
	case json.Delim('{'):
		n.fields = make(map[string]*node)
		err = r.readObject(n, depth)
	case json.Delim('['):
		err = r.readArray(n, depth)
	}
	return n, err
}

// readObject reads the fields of an object up to its closing brace.
func (r *reader) readObject(n *node, depth int) error {
	for r.decoder.More() {
		t, err := r.decoder.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(t)
		m, err := r.readValue(depth + 1)
		if err != nil {
			return err
		}
		if _, ok := n.fields[name]; ok {
			r.add(position{
				file: r.file,
				line: m.line,
			}, name, "field given twice")
			continue
		}
		n.fieldNames = append(n.fieldNames, name)
		n.fields[name] = m
	}
	_, err := r.decoder.Token()
	return err
}

// readArray reads the items of an array up to its closing bracket.
func (r *reader) readArray(n *node, depth int) error {
	for r.decoder.More() {
		m, err := r.readValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, m)
	}
	_, err := r.decoder.Token()
	return err
}

// objectReader reads the fields of one object. If the value is not an object,
// that is the only fault, and its fields read as missing.
type objectReader struct {
	reader    *reader
	node      *node
	pos       position
	requested map[string]bool
	invalid   bool
}

// objectReader returns a reader of the fields of n, whose path is used in errors.
func (r *reader) objectReader(n *node, path string) *objectReader {
	o := &objectReader{
		reader:    r,
		node:      n,
		requested: make(map[string]bool),
		pos: position{
			file:       r.file,
			path:       path,
			line:       n.line,
			fieldLines: make(map[string]int, len(n.fields)),
		},
	}
	if n.value != json.Delim('{') {
		o.invalid = true
		r.add(o.pos, "", "must be an object")
	}
	for name, m := range n.fields {
		o.pos.fieldLines[name] = m.line
	}
	return o
}

// field returns the named field, or nil if it is missing, which is a fault if it
// is required.
func (o *objectReader) field(name string, required bool) *node {
	o.requested[name] = true
	n := o.node.fields[name]
	if n == nil && required && !o.invalid {
		o.reader.add(o.pos, name, "missing")
	}
	return n
}

func (o *objectReader) requiredString(name string) string {
	n := o.field(name, true)
	if n == nil {
		return ""
	}
	s, ok := n.value.(string)
	if !ok {
		o.reader.add(o.pos, name, "must be a string")
	}
	return s
}

func (o *objectReader) stringOr(name, fallback string) string {
	if o.node.fields[name] == nil {
		o.requested[name] = true
		return fallback
	}
	return o.requiredString(name)
}

// numberOr reads a number. A missing field reads as fallback; if that is NaN, the
// field is required.
func (o *objectReader) numberOr(name string, fallback float64) float64 {
	n := o.field(name, math.IsNaN(fallback))
	if n == nil {
		return fallback
	}
	s, _ := n.value.(json.Number)
	f, err := s.Float64()
	if err != nil {
		o.reader.add(o.pos, name, "must be a number")
	}
	return f
}

// integerOr reads an integer. A missing field reads as fallback; if that is
// negative, the field is required.
func (o *objectReader) integerOr(name string, fallback int64) int64 {
	n := o.field(name, fallback < 0)
	if n == nil {
		return fallback
	}
	s, _ := n.value.(json.Number)
	i, err := s.Int64()
	if err != nil {
		o.reader.add(o.pos, name, "must be an integer")
	}
	return i
}

func (o *objectReader) optionalBool(name string) bool {
	n := o.field(name, false)
	if n == nil {
		return false
	}
	b, ok := n.value.(bool)
	if !ok {
		o.reader.add(o.pos, name, "must be true or false")
	}
	return b
}

// durationOr reads a duration. A missing field reads as fallback; if that is
// negative, the field is required and reads as 0.
func (o *objectReader) durationOr(name string, fallback time.Duration) time.Duration {
	n := o.field(name, fallback < 0)
	if n == nil {
		return max(fallback, 0)
	}
	s, _ := n.value.(string)
	d, err := time.ParseDuration(s)
	if err != nil {
		o.reader.add(o.pos, name, `must be a duration such as "90s"`)
	}
	return d
}

func (o *objectReader) requiredTime(name string) time.Time {
	n := o.field(name, true)
	if n == nil {
		return time.Time{}
	}
	s, _ := n.value.(string)
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		o.reader.add(o.pos, name, `must be a time such as "2026-03-01T08:00:00Z"`)
	}
	return t
}

// optionalArray returns the items of an optional array.
func (o *objectReader) optionalArray(name string) []*node {
	n := o.field(name, false)
	if n == nil {
		return nil
	}
	if n.value != json.Delim('[') {
		o.reader.add(o.pos, name, "must be an array")
	}
	return n.items
}

// stringArray returns the items of an optional array of strings.
func (o *objectReader) stringArray(name string) []string {
	var list []string
	for i, n := range o.optionalArray(name) {
		item := fmt.Sprintf("%s[%d]", name, i)
		o.pos.fieldLines[item] = n.line
		s, ok := n.value.(string)
		if !ok {
			o.reader.add(o.pos, item, "must be a string")
		}
		list = append(list, s)
	}
	return list
}

// finish adds a fault for each field that was not read and returns the position
// of the object.
func (o *objectReader) finish() position {
	for _, name := range o.node.fieldNames {
		if !o.requested[name] {
			o.reader.add(o.pos, name, "unknown field")
		}
	}
	return o.pos
}
