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

// buckets is the number of workspace parts. With 33,000 workspaces a part has
// about 1,030 of them and about 150 KB, so a change rewrites little and each
// part stays far below the store's limit of 1 MB for a value.
const buckets = 32

const (
	servicesPart = "services"
	movesPart    = "moves"
)

func bucketPart(i uint64) string { return fmt.Sprintf("workspaces/%02x", i) }

// PartNames returns the names of all parts in order.
func PartNames() []string {
	list := []string{movesPart, servicesPart}
	for i := range uint64(buckets) {
		list = append(list, bucketPart(i))
	}
	return list
}

// Split divides the declaration into the parts that are stored apart:
// "services" (with regions and links), "moves" and "workspaces/00" to
// "workspaces/1f" by hash of the name. Equal declarations give equal bytes.
func Split(d *Declaration) (map[string][]byte, error) {
	w := d.wire()
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
	for i := range uint64(buckets) {
		parts[bucketPart(i)] = &wireDeclaration{}
	}
	for _, s := range w.Workspaces {
		p := parts[bucketPart(xxhash.Sum64String(s.Name)%buckets)]
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

// Join decodes and validates the parts of one declaration. A missing or
// unknown part is an error.
func Join(parts map[string][]byte) (*Declaration, error) { return NewJoiner().Join(parts) }

// Joiner joins the parts of one revision after the other and decodes only those
// that changed. It is owned by one goroutine.
type Joiner struct {
	cache map[string]*decoded
}

// decoded is what one part held when it was last decoded.
type decoded struct {
	value  []byte
	part   *Declaration
	faults []*Fault
}

// NewJoiner returns a joiner that has decoded nothing yet.
func NewJoiner() *Joiner {
	return &Joiner{
		cache: make(map[string]*decoded),
	}
}

// Join is the function Join with the parts decoded before. The declaration
// shares its objects with those of earlier calls; they do not change.
func (j *Joiner) Join(parts map[string][]byte) (*Declaration, error) {
	f := &faults{}
	d := New()
	for _, name := range PartNames() {
		value, ok := parts[name]
		if !ok {
			f.add(place{}, name, "missing part")
			continue
		}
		p := j.decode(name, value)
		d.append(p.part)
		f.list = append(f.list, p.faults...)
	}
	known := PartNames()
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if !slices.Contains(known, name) {
			f.add(place{}, name, "unknown part")
		}
	}
	f.decoded()
	d.validate(f)
	if err := f.err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (j *Joiner) decode(name string, value []byte) *decoded {
	if p := j.cache[name]; p != nil && bytes.Equal(p.value, value) {
		return p
	}
	r := newReader(name, value)
	p := &decoded{
		value: value,
		part:  New(),
	}
	if n := r.read(); n != nil {
		r.declaration(n, p.part)
	}
	p.faults = r.list
	j.cache[name] = p
	return p
}

func (d *Declaration) append(p *Declaration) {
	d.regions = append(d.regions, p.regions...)
	d.links = append(d.links, p.links...)
	d.models = append(d.models, p.models...)
	d.plains = append(d.plains, p.plains...)
	d.workspaces = append(d.workspaces, p.workspaces...)
	d.moves = append(d.moves, p.moves...)
}
