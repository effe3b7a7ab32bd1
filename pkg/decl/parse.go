package decl

import (
	"fmt"
	"math"
)

// Parse decodes and validates a declaration. Unknown and duplicate fields are
// errors. The file name is used in errors only. The error joins one *Fault for
// each problem; see Faults.
func Parse(file string, data []byte) (*Declaration, error) {
	r := newReader(file, data)
	d := New()
	n := r.readFile()
	if n == nil {
		return nil, r.err()
	}
	r.readDeclaration(n, d)
	r.endDecoding()
	d.validate(&r.faults)
	if err := r.err(); err != nil {
		return nil, err
	}
	return d, nil
}

// readDeclaration adds the objects in n to d.
func (r *reader) readDeclaration(n *node, d *Declaration) {
	o := r.objectReader(n, "")
	eachObject(o, "regions", func(item *objectReader) { d.regions = append(d.regions, readRegion(item)) })
	eachObject(o, "links", func(item *objectReader) { d.links = append(d.links, readLink(item)) })
	eachObject(o, "models", func(item *objectReader) { d.models = append(d.models, readModel(item)) })
	eachObject(o, "plains", func(item *objectReader) { d.plains = append(d.plains, readPlain(item)) })
	eachObject(o, "workspaces", func(item *objectReader) { d.workspaces = append(d.workspaces, readWorkspace(item)) })
	eachObject(o, "moves", func(item *objectReader) { d.moves = append(d.moves, readMove(item)) })
	o.finish()
}

// eachObject calls f for each object in the named optional array. Items that are
// not objects are faults.
func eachObject(o *objectReader, name string, f func(*objectReader)) {
	for i, n := range o.optionalArray(name) {
		if item := o.reader.objectReader(n, o.pos.fieldPath(fmt.Sprintf("%s[%d]", name, i))); !item.invalid {
			f(item)
		}
	}
}

func readRegion(o *objectReader) *Region {
	r := &Region{
		name:    o.requiredString("name"),
		domains: o.stringArray("domains"),
	}
	r.pos = o.finish()
	return r
}

func readLink(o *objectReader) *Link {
	l := &Link{
		from: o.requiredString("from"),
		to:   o.requiredString("to"),
		rate: o.integerOr("rate", -1),
	}
	l.pos = o.finish()
	return l
}

// readContract returns the contract of a service, or nil if it is missing.
func readContract(o *objectReader) *Contract {
	n := o.field("contract", true)
	if n == nil {
		return nil
	}
	contractReader := o.reader.objectReader(n, o.pos.fieldPath("contract"))
	contract := &Contract{
		deadline:   contractReader.durationOr("deadline", -1),
		firstToken: contractReader.durationOr("first", defaultFirstToken),
		tokenGap:   contractReader.durationOr("gap", defaultTokenGap),
		resume:     contractReader.durationOr("resume", defaultResume),
		target:     contractReader.numberOr("target", defaultTarget),
	}
	for name, line := range contractReader.finish().fieldLines {
		o.pos.fieldLines["contract."+name] = line
	}
	return contract
}

func readModel(o *objectReader) *Model {
	m := &Model{
		name:     o.requiredString("name"),
		stable:   o.requiredString("stable"),
		fenced:   o.optionalBool("fenced"),
		contract: readContract(o),
	}
	m.pos = o.finish()
	return m
}

func readPlain(o *objectReader) *Plain {
	p := &Plain{
		name:     o.requiredString("name"),
		contract: readContract(o),
	}
	eachObject(o, "routes", func(item *objectReader) { p.routes = append(p.routes, readRoute(item)) })
	p.pos = o.finish()
	return p
}

func readRoute(o *objectReader) *Route {
	r := &Route{
		name:       o.requiredString("name"),
		method:     o.requiredString("method"),
		path:       o.requiredString("path"),
		idempotent: o.optionalBool("idempotent"),
		deadline:   o.durationOr("deadline", -1),
	}
	r.pos = o.finish()
	return r
}

func readWorkspace(o *objectReader) *Workspace {
	w := &Workspace{
		name:   o.requiredString("name"),
		key:    o.requiredString("key"),
		weight: int(o.integerOr("weight", 1)),
		class:  Class(o.stringOr("class", string(Interactive))),
	}
	w.pos = o.finish()
	return w
}

func readMove(o *objectReader) *Move {
	m := &Move{
		name:     o.requiredString("name"),
		service:  o.requiredString("service"),
		from:     o.requiredString("from"),
		to:       o.requiredString("to"),
		start:    o.requiredTime("start"),
		deadline: o.requiredTime("deadline"),
		trial:    o.numberOr("trial", math.NaN()),
	}
	m.pos = o.finish()
	return m
}
