package decl

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxName bounds names, which become parts of store keys.
const maxName = 63

// validName accepts names whose characters need no escaping in store keys and
// URLs. It runs for each of 33,000 workspaces at each revision, where a regular
// expression takes most of the time.
func validName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return s != "" && len(s) <= maxName
}

// validDigest accepts a SHA-256 digest in lower-case hex.
func validDigest(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 64
}

var methods = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}

// Check validates the declaration and rejects moves whose deadline is not
// after now. The error joins one *Fault for each thing that is wrong.
func (d *Declaration) Check(now time.Time) error { return d.CheckChange(New(), now) }

// CheckChange is Check for a declaration that replaces old: a move that old
// holds unchanged may have passed its deadline.
func (d *Declaration) CheckChange(old *Declaration, now time.Time) error {
	f := &faults{}
	d.validate(f)
	for _, m := range d.moves {
		if !m.deadline.After(now) && !old.holds(m) {
			f.add(m.at.or("move "+m.name), "deadline", "impossible deadline: %s has passed", m.deadline.Format(time.RFC3339))
		}
	}
	return f.err()
}

func (d *Declaration) holds(m *Move) bool {
	return slices.ContainsFunc(d.moves, func(o *Move) bool { return wireOfMove(o) == wireOfMove(m) })
}

// checker holds the names that have been declared so far.
type checker struct {
	*faults
	// seen maps each declared thing to the path of its declaration.
	seen map[declared]string
}

// declared names one thing of a kind.
type declared struct {
	kind string
	name string
}

// unique reports a name of a kind that is malformed or used before.
func (c *checker) unique(p place, kind, field, name string) {
	if !validName(name) {
		c.add(p, field, "invalid name %q", name)
		return
	}
	c.once(p, kind, field, name)
}

func (c *checker) once(p place, kind, field, value string) {
	key := declared{
		kind: kind,
		name: value,
	}
	if at, ok := c.seen[key]; ok {
		c.add(p, field, "duplicate %s %q, also in %s", kind, value, at)
		return
	}
	c.seen[key] = p.path
}

func (c *checker) known(p place, kind, field, name string) {
	key := declared{
		kind: kind,
		name: name,
	}
	if _, ok := c.seen[key]; !ok {
		c.add(p, field, "no %s named %q", kind, name)
	}
}

func (d *Declaration) validate(f *faults) {
	c := &checker{
		faults: f,
		seen:   make(map[declared]string, 2*len(d.workspaces)),
	}
	for _, r := range d.regions {
		p := r.at.or("region " + r.name)
		c.unique(p, "region", "name", r.name)
		for i, s := range r.domains {
			c.unique(p, "domain", fmt.Sprintf("domains[%d]", i), s)
		}
	}
	for _, l := range d.links {
		c.link(l)
	}
	for _, m := range d.models {
		p := m.at.or("model " + m.name)
		c.unique(p, "service", "name", m.name)
		if !validName(m.stable) {
			c.add(p, "stable", "invalid version %q", m.stable)
		}
		c.contract(p, m.contract, true)
	}
	for _, s := range d.plains {
		c.plain(s)
	}
	for _, w := range d.workspaces {
		c.workspace(w)
	}
	for _, m := range d.moves {
		c.move(d, m)
	}
}

func (c *checker) link(l *Link) {
	p := l.at.or("link " + l.from + " " + l.to)
	c.known(p, "region", "from", l.from)
	c.known(p, "region", "to", l.to)
	if l.from == l.to {
		c.add(p, "to", "a link joins two different regions")
	}
	if l.rate <= 0 {
		c.add(p, "rate", "must be over 0 bytes a second")
	}
	c.once(p, "link", "to", min(l.from, l.to)+" "+max(l.from, l.to))
}

func (c *checker) contract(p place, k *Contract, tokens bool) {
	if k == nil {
		c.add(p, "contract", "missing")
		return
	}
	if k.deadline <= 0 {
		c.add(p, "contract.deadline", "impossible deadline: must be over 0")
	}
	if k.target <= 0 || k.target > 100 {
		c.add(p, "contract.target", "must be over 0 and at most 100 percent")
	}
	if !tokens {
		return
	}
	if k.first <= 0 || k.gap <= 0 || k.resume <= 0 {
		c.add(p, "contract", "objectives must be over 0")
	}
	if k.deadline > 0 && k.first >= k.deadline {
		c.add(p, "contract.first", "impossible deadline: first token %s is not before the deadline %s", k.first, k.deadline)
	}
}

func (c *checker) plain(s *Plain) {
	p := s.at.or("plain " + s.name)
	c.unique(p, "service", "name", s.name)
	c.contract(p, s.contract, false)
	for _, r := range s.routes {
		q := r.at.or(p.path + " route " + r.name)
		c.unique(q, "route of "+s.name, "name", r.name)
		c.once(q, "route", "path", r.method+" "+r.path)
		if !slices.Contains(methods, r.method) {
			c.add(q, "method", "unknown method %q", r.method)
		}
		if !strings.HasPrefix(r.path, "/") {
			c.add(q, "path", "must begin with /")
		}
		if r.deadline <= 0 || s.contract != nil && r.deadline > s.contract.deadline {
			c.add(q, "deadline", "impossible deadline: must be over 0 and within the contract's")
		}
	}
}

func (c *checker) workspace(w *Workspace) {
	p := w.at
	if p.path == "" {
		p = p.or("workspace " + w.name)
	}
	c.unique(p, "workspace", "name", w.name)
	if !validDigest(w.key) {
		c.add(p, "key", "must be the SHA-256 digest of the token as 64 lower-case hex digits")
	} else {
		c.once(p, "key", "key", w.key)
	}
	if w.weight < 1 || w.weight > 1_000_000 {
		c.add(p, "weight", "must be from 1 to 1000000")
	}
	if w.class != Lookup && w.class != Interactive && w.class != Batch {
		c.add(p, "class", "unknown class %q", w.class)
	}
}

func (c *checker) move(d *Declaration, m *Move) {
	p := m.at.or("move " + m.name)
	c.unique(p, "move", "name", m.name)
	i := slices.IndexFunc(d.models, func(s *Model) bool { return s.name == m.service })
	if i < 0 {
		c.add(p, "service", "no model named %q", m.service)
	} else if d.models[i].stable != m.from {
		c.add(p, "from", "stable version of %q is %q", m.service, d.models[i].stable)
	}
	c.once(p, "move of service", "service", m.service)
	if !validName(m.to) {
		c.add(p, "to", "invalid version %q", m.to)
	}
	if m.to == m.from {
		c.add(p, "to", "same version as from")
	}
	if !m.deadline.After(m.start) {
		c.add(p, "deadline", "impossible deadline: not after the start")
	}
	if m.trial <= 0 || m.trial > 100 {
		c.add(p, "trial", "share must be over 0 and at most 100 percent")
	}
}
