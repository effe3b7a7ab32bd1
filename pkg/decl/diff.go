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

// entry is one declared object as its fields, flattened to text.
type entry map[string]string

// Diff returns one line for each object that was added (+) or removed (-) and
// for each field that was changed (~), in a stable order.
func Diff(old, next *Declaration) []string {
	a, b := old.entries(), next.entries()
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	var lines []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		switch {
		case a[k] == nil:
			lines = append(lines, "+ "+k+b[k].text())
		case b[k] == nil:
			lines = append(lines, "- "+k+a[k].text())
		default:
			lines = append(lines, changes(k, a[k], b[k])...)
		}
	}
	return lines
}

func changes(key string, a, b entry) []string {
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

func (e entry) text() string {
	b := &strings.Builder{}
	for _, f := range slices.Sorted(maps.Keys(e)) {
		fmt.Fprintf(b, ", %s %s", f, e[f])
	}
	return strings.Replace(b.String(), ", ", ": ", 1)
}

// entries returns all objects by kind and name.
func (d *Declaration) entries() map[string]entry {
	all := make(map[string]entry)
	w := d.wire()
	for _, r := range w.Regions {
		all["region "+r.Name] = flatten(r)
	}
	for _, l := range w.Links {
		all["link "+l.From+" "+l.To] = flatten(l)
	}
	for _, m := range w.Models {
		all["model "+m.Name] = flatten(m)
	}
	for _, p := range w.Plains {
		routes := p.Routes
		p.Routes = nil
		all["plain "+p.Name] = flatten(p)
		for _, r := range routes {
			all["route "+p.Name+" "+r.Name] = flatten(r)
		}
	}
	for _, s := range w.Workspaces {
		all["workspace "+s.Name] = flatten(s)
	}
	for _, m := range w.Moves {
		all["move "+m.Name] = flatten(m)
	}
	return all
}

func flatten(w any) entry {
	e := entry{}
	data, err := json.Marshal(w)
	if err != nil {
		e["error"] = err.Error()
		return e
	}
	var fields map[string]any
	r := json.NewDecoder(bytes.NewReader(data))
	r.UseNumber()
	if err := r.Decode(&fields); err != nil {
		e["error"] = err.Error()
		return e
	}
	e.put("", fields)
	delete(e, "name")
	return e
}

func (e entry) put(path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		for k, f := range v {
			e.put(strings.TrimPrefix(path+"."+k, "."), f)
		}
	default:
		e[path] = fmt.Sprint(v)
	}
}
