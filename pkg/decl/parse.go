package decl

import (
	"fmt"
	"math"
)

// Parse decodes a declaration strictly. The file name is used in errors only.
// The error joins one *Fault for each thing that is wrong.
func Parse(file string, data []byte) (*Declaration, error) {
	r := newReader(file, data)
	d := New()
	n := r.read()
	if n == nil {
		return nil, r.err()
	}
	r.declaration(n, d)
	r.decoded()
	d.validate(&r.faults)
	if err := r.err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (r *reader) declaration(n *node, d *Declaration) {
	c := r.record(n, "")
	each(c, "regions", func(e *record) { d.regions = append(d.regions, region(e)) })
	each(c, "links", func(e *record) { d.links = append(d.links, link(e)) })
	each(c, "models", func(e *record) { d.models = append(d.models, model(e)) })
	each(c, "plains", func(e *record) { d.plains = append(d.plains, plain(e)) })
	each(c, "workspaces", func(e *record) { d.workspaces = append(d.workspaces, workspace(e)) })
	each(c, "moves", func(e *record) { d.moves = append(d.moves, move(e)) })
	c.done()
}

func each(c *record, name string, f func(*record)) {
	for i, n := range c.list(name) {
		if e := c.reader.record(n, c.at.child(fmt.Sprintf("%s[%d]", name, i))); !e.broken {
			f(e)
		}
	}
}

func region(c *record) *Region {
	r := &Region{
		name:    c.text("name"),
		domains: c.names("domains"),
	}
	r.at = c.done()
	return r
}

func link(c *record) *Link {
	l := &Link{
		from: c.text("from"),
		to:   c.text("to"),
		rate: c.integer("rate", -1),
	}
	l.at = c.done()
	return l
}

func contract(c *record) *Contract {
	n := c.field("contract", true)
	if n == nil {
		return nil
	}
	e := c.reader.record(n, c.at.child("contract"))
	k := &Contract{
		deadline: e.span("deadline", -1),
		first:    e.span("first", defaultFirst),
		gap:      e.span("gap", defaultGap),
		resume:   e.span("resume", defaultResume),
		target:   e.number("target", defaultTarget),
	}
	for name, line := range e.done().lines {
		c.at.lines["contract."+name] = line
	}
	return k
}

func model(c *record) *Model {
	m := &Model{
		name:     c.text("name"),
		stable:   c.text("stable"),
		fenced:   c.flag("fenced"),
		contract: contract(c),
	}
	m.at = c.done()
	return m
}

func plain(c *record) *Plain {
	p := &Plain{
		name:     c.text("name"),
		contract: contract(c),
	}
	each(c, "routes", func(e *record) { p.routes = append(p.routes, route(e)) })
	p.at = c.done()
	return p
}

func route(c *record) *Route {
	r := &Route{
		name:       c.text("name"),
		method:     c.text("method"),
		path:       c.text("path"),
		idempotent: c.flag("idempotent"),
		deadline:   c.span("deadline", -1),
	}
	r.at = c.done()
	return r
}

func workspace(c *record) *Workspace {
	w := &Workspace{
		name:   c.text("name"),
		key:    c.text("key"),
		weight: int(c.integer("weight", 1)),
		class:  Class(c.textOr("class", string(Interactive))),
	}
	w.at = c.done()
	return w
}

func move(c *record) *Move {
	m := &Move{
		name:     c.text("name"),
		service:  c.text("service"),
		from:     c.text("from"),
		to:       c.text("to"),
		start:    c.moment("start"),
		deadline: c.moment("deadline"),
		trial:    c.number("trial", math.NaN()),
	}
	m.at = c.done()
	return m
}
