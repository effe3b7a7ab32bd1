package decl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one error in a declaration. Parse and Check join all of them; each
// can be read with errors.As or from Faults.
type Fault struct {
	file string
	// line is 1 for the first line, or 0 when the object was built in Go.
	line  int
	field string
	text  string
}

// Error returns "file:line: field: text" with the parts that are known.
func (f *Fault) Error() string {
	b := &strings.Builder{}
	if f.file != "" {
		fmt.Fprintf(b, "%s:", f.file)
	}
	if f.line > 0 {
		fmt.Fprintf(b, "%d:", f.line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.field != "" {
		fmt.Fprintf(b, "%s: ", f.field)
	}
	b.WriteString(f.text)
	return b.String()
}

// File returns the name of the file, or "".
func (f *Fault) File() string { return f.file }

// Line returns the line in the file, or 0 when it is not known.
func (f *Fault) Line() int { return f.line }

// Field returns the path of the field, such as moves[0].trial.
func (f *Fault) Field() string { return f.field }

// Text returns what is wrong.
func (f *Fault) Text() string { return f.text }

// place is where an object was read from.
type place struct {
	file string
	path string
	line int
	// lines holds the line of each field that was present.
	lines map[string]int
}

// or returns p, or a place with the path when the object was built in Go.
func (p place) or(path string) place {
	if p.path == "" {
		p.path = path
	}
	return p
}

func (p place) child(field string) string {
	if p.path == "" || field == "" {
		return p.path + field
	}
	return p.path + "." + field
}

// faults collects errors in the order in which they are found.
type faults struct {
	list []*Fault
	// broken holds the fields that could not be decoded. Validation adds no
	// second fault for them.
	broken map[string]bool
}

// decoded marks the end of decoding: the fields with faults so far are broken.
func (f *faults) decoded() {
	f.broken = make(map[string]bool, len(f.list))
	for _, e := range f.list {
		f.broken[e.file+" "+e.field] = true
	}
}

func (f *faults) add(p place, field, format string, args ...any) {
	if f.broken[p.file+" "+p.child(field)] {
		return
	}
	line := p.line
	if n, ok := p.lines[field]; ok {
		line = n
	}
	f.list = append(f.list, &Fault{
		file:  p.file,
		line:  line,
		field: p.child(field),
		text:  fmt.Sprintf(format, args...),
	})
}

// err returns all faults joined in file and line order, or nil.
func (f *faults) err() error {
	slices.SortStableFunc(f.list, func(a, b *Fault) int {
		if c := strings.Compare(a.file, b.file); c != 0 {
			return c
		}
		return a.line - b.line
	})
	list := make([]error, 0, len(f.list))
	for _, e := range f.list {
		list = append(list, e)
	}
	return errors.Join(list...)
}

// Faults returns the faults that an error of Parse, Check or Join holds.
func Faults(err error) []*Fault {
	var list []*Fault
	switch e := err.(type) {
	case *Fault:
		list = append(list, e)
	case interface{ Unwrap() []error }:
		for _, inner := range e.Unwrap() {
			list = append(list, Faults(inner)...)
		}
	case interface{ Unwrap() error }:
		list = Faults(e.Unwrap())
	}
	return list
}
