package decl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// workspacePartCount is the number of parts that hold workspaces. With 33,000
// workspaces a part has about 1,030 of them and about 150 KB, so a change
// rewrites little, and each part stays far below the store's limit of 1 MB for a
// value.
const workspacePartCount = 32

const (
	servicesPart = "services"
	movesPart    = "moves"
)

func workspacePart(i uint64) string { return fmt.Sprintf("workspaces/%02x", i) }

// PartNames returns the names of all parts in sorted order.
func PartNames() []string {
	list := []string{movesPart, servicesPart}
	for i := range uint64(workspacePartCount) {
		list = append(list, workspacePart(i))
	}
	return list
}

// Split encodes the declaration as the parts that are stored under separate
// keys, by name: "services" (with regions and links), "moves", and
// "workspaces/00" to "workspaces/1f", to which workspaces are assigned by the
// hash of their name. Equal declarations give equal bytes.
func Split(d *Declaration) (map[string][]byte, error) {
	w := d.toWire()
	parts := map[string]*wireDeclaration{
		movesPart: {
			Moves: w.Moves,
		},
		servicesPart: {
			Regions: w.Regions,
			Links:   w.Links,
			Models:  w.Models,
			Plains:  w.Plains,
		},
	}
	for i := range uint64(workspacePartCount) {
		parts[workspacePart(i)] = &wireDeclaration{}
	}
	for _, s := range w.Workspaces {
		p := parts[workspacePart(xxhash.Sum64String(s.Name)%workspacePartCount)]
		p.Workspaces = append(p.Workspaces, s)
	}
	out := make(map[string][]byte, len(parts))
	for name, p := range parts {
		data, err := json.Marshal(p)
		if err != nil {
			return nil, errors.Wrapf(err, "part %s", name)
		}
		out[name] = data
	}
	return out, nil
}

// Join decodes and validates the parts of one declaration, by name. It is the
// inverse of Split. A missing or unknown part is an error.
func Join(parts map[string][]byte) (*Declaration, error) { return NewJoiner().Join(parts) }

// Joiner joins the parts of successive revisions and decodes only those that
// changed since the previous one. A Joiner must be used by one goroutine.
type Joiner struct {
	cache map[string]*decodedPart
}

// decodedPart is the result of decoding value.
type decodedPart struct {
	value  []byte
	part   *Declaration
	faults []*Fault
}

// NewJoiner returns a joiner without any decoded parts.
func NewJoiner() *Joiner {
	return &Joiner{
		cache: make(map[string]*decodedPart),
	}
}

// Join is like the function Join, but reuses the parts decoded by earlier calls.
// The returned declaration shares objects with earlier ones; they are never
// modified. The caller must not change the values of parts afterwards.
func (j *Joiner) Join(parts map[string][]byte) (*Declaration, error) {
	f := &faults{}
	d := New()
	for _, name := range PartNames() {
		value, ok := parts[name]
		if !ok {
			f.add(position{}, name, "missing part")
			continue
		}
		p := j.decode(name, value)
		d.append(p.part)
		f.list = append(f.list, p.faults...)
	}
	known := PartNames()
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if !slices.Contains(known, name) {
			f.add(position{}, name, "unknown part")
		}
	}
	f.endDecoding()
	d.validate(f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// decode returns the result of decoding a part, from the cache if the value is
// the same as in the previous call.
func (j *Joiner) decode(name string, value []byte) *decodedPart {
	if p := j.cache[name]; p != nil && bytes.Equal(p.value, value) {
		return p
	}
	r := newReader(name, value)
	p := &decodedPart{
		value: value,
		part:  New(),
	}
	if n := r.readFile(); n != nil {
		r.readDeclaration(n, p.part)
	}
	p.faults = r.list
	j.cache[name] = p
	return p
}

// append adds the objects of p to d.
func (d *Declaration) append(p *Declaration) {
	d.regions = append(d.regions, p.regions...)
	d.links = append(d.links, p.links...)
	d.models = append(d.models, p.models...)
	d.plains = append(d.plains, p.plains...)
	d.workspaces = append(d.workspaces, p.workspaces...)
	d.moves = append(d.moves, p.moves...)
}
