package decl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Fault is one error in a declaration. The errors of Parse, Check and Join join
// all faults, which can be read with Faults or errors.As.
type Fault struct {
	file string
	// line is 1 for the first line, or 0 when the object was built in Go.
	line  int
	field string
	text  string
}

// Error returns "file:line: field: text", without the parts that are not known.
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

// Text returns the description of the error, without its position.
func (f *Fault) Text() string { return f.text }

// position is the position of an object in a file. The zero value is that of an
// object built in Go.
type position struct {
	file string
	// path is the path of the object from the root, such as moves[0].
	path string
	line int
	// fieldLines holds the line of each field that is present.
	fieldLines map[string]int
}

// withDefaultPath returns p with the given path if it has none because the
// object was built in Go.
func (p position) withDefaultPath(path string) position {
	if p.path == "" {
		p.path = path
	}
	return p
}

// fieldPath returns the path of a field of the object.
func (p position) fieldPath(field string) string {
	if p.path == "" || field == "" {
		return p.path + field
	}
	return p.path + "." + field
}

// faults collects errors in the order in which they are found.
type faults struct {
	list []*Fault
	// undecodable holds the fields that could not be decoded, by file and path.
	// Validation adds no second fault for them.
	undecodable map[string]bool
}

// endDecoding marks the end of decoding. The fields that have faults by now are
// undecodable.
func (f *faults) endDecoding() {
	f.undecodable = make(map[string]bool, len(f.list))
	for _, e := range f.list {
		f.undecodable[e.file+" "+e.field] = true
	}
}

// add adds a fault for a field of the object at pos, unless the field is
// undecodable.
func (f *faults) add(pos position, field, format string, args ...any) {
	if f.undecodable[pos.file+" "+pos.fieldPath(field)] {
		return
	}
	line := pos.line
	if fieldLine, ok := pos.fieldLines[field]; ok {
		line = fieldLine
	}
	f.list = append(f.list, &Fault{
		file:  pos.file,
		line:  line,
		field: pos.fieldPath(field),
		text:  fmt.Sprintf(format, args...),
	})
}

// err returns all faults joined, sorted by file and line, or nil if there are
// none.
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

// Faults returns the faults in an error of Parse, Check or Join, also if that
// error has been wrapped.
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
