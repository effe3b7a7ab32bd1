package decl

import (
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
func Join(parts map[string][]byte) (*Declaration, error) {
	f := &faults{}
	d := New()
	for _, name := range PartNames() {
		data, ok := parts[name]
		if !ok {
			f.add(place{}, name, "missing part")
			continue
		}
		r := newReader(name, data)
		if n := r.read(); n != nil {
			r.declaration(n, d)
		}
		f.list = append(f.list, r.list...)
	}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		if !slices.Contains(PartNames(), name) {
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
