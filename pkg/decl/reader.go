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

// node is one JSON value with the line on which it stands.
type node struct {
	line int
	// value is a string, json.Number, bool, nil, or the opening json.Delim.
	value any
	// names keeps the order of the fields of an object.
	names  []string
	fields map[string]*node
	items  []*node
}

// reader decodes a file into nodes and collects the faults of all objects.
type reader struct {
	faults
	file    string
	data    []byte
	decoder *json.Decoder
	// counted is the offset up to which line counts newlines.
	counted int64
	line    int
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

// read returns the file's only value, or nil after a syntax error.
func (r *reader) read() *node {
	n, err := r.next(0)
	if err == nil {
		_, err = r.decoder.Token()
		if errors.Is(err, io.EOF) {
			return n
		}
		err = errors.New("text after the end of the declaration")
	}
	r.advance(r.offset(err))
	r.add(place{
		file: r.file,
		line: r.line,
	}, "", "%s", describe(err))
	return nil
}

func describe(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "unexpected end of file"
	}
	return err.Error()
}

func (r *reader) offset(err error) int64 {
	if s := (*json.SyntaxError)(nil); errors.As(err, &s) {
		return max(s.Offset, r.decoder.InputOffset())
	}
	return r.decoder.InputOffset()
}

func (r *reader) advance(offset int64) {
	end := min(offset, int64(len(r.data)))
	if end > r.counted {
		r.line += bytes.Count(r.data[r.counted:end], []byte("\n"))
		r.counted = end
	}
}

func (r *reader) next(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, errors.Newf("nested deeper than %d levels", maxDepth)
	}
	t, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	r.advance(r.decoder.InputOffset())
	n := &node{
		line:  r.line,
		value: t,
	}
	switch t {
	case json.Delim('{'):
		n.fields = make(map[string]*node)
		err = r.object(n, depth)
	case json.Delim('['):
		err = r.array(n, depth)
	}
	return n, err
}

func (r *reader) object(n *node, depth int) error {
	for r.decoder.More() {
		t, err := r.decoder.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(t)
		m, err := r.next(depth + 1)
		if err != nil {
			return err
		}
		if _, ok := n.fields[name]; ok {
			r.add(place{
				file: r.file,
				line: m.line,
			}, name, "field given twice")
			continue
		}
		n.names = append(n.names, name)
		n.fields[name] = m
	}
	_, err := r.decoder.Token()
	return err
}

func (r *reader) array(n *node, depth int) error {
	for r.decoder.More() {
		m, err := r.next(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, m)
	}
	_, err := r.decoder.Token()
	return err
}

// record reads the fields of one object. Faults of a value that is not an
// object are reported once, and its fields then read as zero.
type record struct {
	reader *reader
	node   *node
	at     place
	known  map[string]bool
	broken bool
}

func (r *reader) record(n *node, path string) *record {
	c := &record{
		reader: r,
		node:   n,
		known:  make(map[string]bool),
		at: place{
			file:  r.file,
			path:  path,
			line:  n.line,
			lines: make(map[string]int, len(n.fields)),
		},
	}
	if n.value != json.Delim('{') {
		c.broken = true
		r.add(c.at, "", "must be an object")
	}
	for name, m := range n.fields {
		c.at.lines[name] = m.line
	}
	return c
}

// field returns the named value, or nil. A missing field that is required is
// a fault.
func (c *record) field(name string, required bool) *node {
	c.known[name] = true
	n := c.node.fields[name]
	if n == nil && required && !c.broken {
		c.reader.add(c.at, name, "missing")
	}
	return n
}

func (c *record) text(name string) string {
	n := c.field(name, true)
	if n == nil {
		return ""
	}
	s, ok := n.value.(string)
	if !ok {
		c.reader.add(c.at, name, "must be a string")
	}
	return s
}

func (c *record) textOr(name, other string) string {
	if c.node.fields[name] == nil {
		c.known[name] = true
		return other
	}
	return c.text(name)
}

func (c *record) number(name string, other float64) float64 {
	n := c.field(name, math.IsNaN(other))
	if n == nil {
		return other
	}
	s, _ := n.value.(json.Number)
	f, err := s.Float64()
	if err != nil {
		c.reader.add(c.at, name, "must be a number")
	}
	return f
}

func (c *record) integer(name string, other int64) int64 {
	n := c.field(name, other < 0)
	if n == nil {
		return other
	}
	s, _ := n.value.(json.Number)
	i, err := s.Int64()
	if err != nil {
		c.reader.add(c.at, name, "must be an integer")
	}
	return i
}

func (c *record) flag(name string) bool {
	n := c.field(name, false)
	if n == nil {
		return false
	}
	b, ok := n.value.(bool)
	if !ok {
		c.reader.add(c.at, name, "must be true or false")
	}
	return b
}

// span reads a duration; other is used when the field is missing, and a
// negative other makes it required.
func (c *record) span(name string, other time.Duration) time.Duration {
	n := c.field(name, other < 0)
	if n == nil {
		return max(other, 0)
	}
	s, _ := n.value.(string)
	d, err := time.ParseDuration(s)
	if err != nil {
		c.reader.add(c.at, name, `must be a duration such as "90s"`)
	}
	return d
}

func (c *record) moment(name string) time.Time {
	n := c.field(name, true)
	if n == nil {
		return time.Time{}
	}
	s, _ := n.value.(string)
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		c.reader.add(c.at, name, `must be a time such as "2026-03-01T08:00:00Z"`)
	}
	return t
}

// list returns the items of an optional array.
func (c *record) list(name string) []*node {
	n := c.field(name, false)
	if n == nil {
		return nil
	}
	if n.value != json.Delim('[') {
		c.reader.add(c.at, name, "must be an array")
	}
	return n.items
}

func (c *record) names(name string) []string {
	var list []string
	for i, n := range c.list(name) {
		item := fmt.Sprintf("%s[%d]", name, i)
		c.at.lines[item] = n.line
		s, ok := n.value.(string)
		if !ok {
			c.reader.add(c.at, item, "must be a string")
		}
		list = append(list, s)
	}
	return list
}

// done reports the fields that nothing asked for and returns the place.
func (c *record) done() place {
	for _, name := range c.node.names {
		if !c.known[name] {
			c.reader.add(c.at, name, "unknown field")
		}
	}
	return c.at
}
