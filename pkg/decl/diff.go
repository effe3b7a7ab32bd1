package decl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// flatObject holds the fields of one declared object as text, by path.
type flatObject map[string]string

// Diff returns one line of text for each object that is added (+) or removed (-)
// by next and for each field that it changes (~), sorted by object and field.
func Diff(old, next *Declaration) []string {
	a, b := old.flatObjects(), next.flatObjects()
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	var lines []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		switch {
		case a[k] == nil:
			lines = append(lines, "+ "+k+b[k].fieldsText())
		case b[k] == nil:
			lines = append(lines, "- "+k+a[k].fieldsText())
		default:
			lines = append(lines, fieldChanges(k, a[k], b[k])...)
		}
	}
	return lines
}

// fieldChanges returns one line for each field that differs between a and b.
func fieldChanges(key string, a, b flatObject) []string {
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	var lines []string
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		if a[f] != b[f] {
			lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", key, f, cmp.Or(a[f], "(none)"), cmp.Or(b[f], "(none)")))
		}
	}
	return lines
}

// fieldsText returns all fields as ": name value, name value".
func (o flatObject) fieldsText() string {
	b := &strings.Builder{}
	for _, f := range slices.Sorted(maps.Keys(o)) {
		fmt.Fprintf(b, ", %s %s", f, o[f])
	}
	return strings.Replace(b.String(), ", ", ": ", 1)
}

// flatObjects returns all objects of the declaration by kind and name.
func (d *Declaration) flatObjects() map[string]flatObject {
	objects := make(map[string]flatObject)
	w := d.toWire()
	for _, r := range w.Regions {
		objects["region "+r.Name] = flattenObject(r)
	}
	for _, l := range w.Links {
		objects["link "+l.From+" "+l.To] = flattenObject(l)
	}
	for _, m := range w.Models {
		objects["model "+m.Name] = flattenObject(m)
	}
	for _, p := range w.Plains {
		routes := p.Routes
		p.Routes = nil
		objects["plain "+p.Name] = flattenObject(p)
		for _, r := range routes {
			objects["route "+p.Name+" "+r.Name] = flattenObject(r)
		}
	}
	for _, s := range w.Workspaces {
		objects["workspace "+s.Name] = flattenObject(s)
	}
	for _, m := range w.Moves {
		objects["move "+m.Name] = flattenObject(m)
	}
	return objects
}

// flattenObject flattens the JSON encoding of an object, without its name.
func flattenObject(wire any) flatObject {
	o := flatObject{}
	data, err := json.Marshal(wire)
	if err != nil {
		o["error"] = err.Error()
		return o
	}
	var fields map[string]any
	r := json.NewDecoder(bytes.NewReader(data))
	r.UseNumber()
	if err := r.Decode(&fields); err != nil {
		o["error"] = err.Error()
		return o
	}
	o.flatten("", fields)
	delete(o, "name")
	return o
}

// flatten adds a decoded JSON value and everything nested in it under path.
func (o flatObject) flatten(path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for k, f := range v {
			o.flatten(strings.TrimPrefix(path+"."+k, "."), f)
		}
	default:
		o[path] = fmt.Sprint(v)
	}
}
