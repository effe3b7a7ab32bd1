package decl

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxNameLength bounds names, which become parts of store keys.
const maxNameLength = 63

// validName reports whether s is a valid name: letters, digits, dots, underscores
// and hyphens, which need no escaping in store keys and URLs, beginning with a
// letter or digit. It runs for each of 33,000 workspaces at each revision, where
// a regular expression would take most of the time.
func validName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// validDigest reports whether s is a SHA-256 digest in lower-case hex.
func validDigest(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(s) == 64
}

var httpMethods = []string{"DELETE", "GET", "HEAD", "PATCH", "POST", "PUT"}

// Check validates the declaration and rejects moves whose deadline is not
// after now. The error joins one *Fault for each problem; see Faults.
func (d *Declaration) Check(now time.Time) error { return d.CheckChange(New(), now) }

// CheckChange is like Check, but for a declaration that replaces old. A move
// that is also in old, unchanged, may have passed its deadline.
func (d *Declaration) CheckChange(old *Declaration, now time.Time) error {
	f := &faults{}
	d.validate(f)
	for _, m := range d.moves {
		if !m.deadline.After(now) && !old.hasUnchanged(m) {
			f.add(m.pos.withDefaultPath("move "+m.name), "deadline", "impossible deadline: %s has passed", m.deadline.Format(time.RFC3339))
		}
	}
	return f.err()
}

// hasUnchanged reports whether the declaration contains a move equal to m.
func (d *Declaration) hasUnchanged(m *Move) bool {
	return slices.ContainsFunc(d.moves, func(other *Move) bool { return moveToWire(other) == moveToWire(m) })
}

// checker validates the objects of a declaration.
type checker struct {
	*faults
	// seen maps each name declared so far to the path of the object.
	seen map[declaredName]string
}

// declaredName is a name that must be unique among those of a kind.
type declaredName struct {
	kind string
	name string
}

// checkName adds a fault if the name is invalid or already declared for the kind.
func (c *checker) checkName(pos position, kind, field, name string) {
	if !validName(name) {
		c.add(pos, field, "invalid name %q", name)
		return
	}
	c.checkUnique(pos, kind, field, name)
}

// checkUnique adds a fault if the value is already declared for the kind.
func (c *checker) checkUnique(pos position, kind, field, value string) {
	key := declaredName{
		kind: kind,
		name: value,
	}
	if path, ok := c.seen[key]; ok {
		c.add(pos, field, "duplicate %s %q, also in %s", kind, value, path)
		return
	}
	c.seen[key] = pos.path
}

// checkDeclared adds a fault if no object of the kind has the name.
func (c *checker) checkDeclared(pos position, kind, field, name string) {
	key := declaredName{
		kind: kind,
		name: name,
	}
	if _, ok := c.seen[key]; !ok {
		c.add(pos, field, "no %s named %q", kind, name)
	}
}

// validate adds the faults of all objects to f, except for those that depend on
// the time.
func (d *Declaration) validate(f *faults) {
	c := &checker{
		faults: f,
		seen:   make(map[declaredName]string, 2*len(d.workspaces)),
	}
	for _, r := range d.regions {
		pos := r.pos.withDefaultPath("region " + r.name)
		c.checkName(pos, "region", "name", r.name)
		for i, domain := range r.domains {
			c.checkName(pos, "domain", fmt.Sprintf("domains[%d]", i), domain)
		}
	}
	for _, l := range d.links {
		c.checkLink(l)
	}
	for _, m := range d.models {
		pos := m.pos.withDefaultPath("model " + m.name)
		c.checkName(pos, "service", "name", m.name)
		if !validName(m.stable) {
			c.add(pos, "stable", "invalid version %q", m.stable)
		}
		c.checkContract(pos, m.contract, true)
	}
	for _, service := range d.plains {
		c.checkPlain(service)
	}
	for _, w := range d.workspaces {
		c.checkWorkspace(w)
	}
	for _, m := range d.moves {
		c.checkMove(d, m)
	}
}

func (c *checker) checkLink(l *Link) {
	pos := l.pos.withDefaultPath("link " + l.from + " " + l.to)
	c.checkDeclared(pos, "region", "from", l.from)
	c.checkDeclared(pos, "region", "to", l.to)
	if l.from == l.to {
		c.add(pos, "to", "a link joins two different regions")
	}
	if l.rate <= 0 {
		c.add(pos, "rate", "must be over 0 bytes a second")
	}
	c.checkUnique(pos, "link", "to", min(l.from, l.to)+" "+max(l.from, l.to))
}

// checkContract checks the contract of the service at pos. The objectives for
// tokens apply to model services only.
func (c *checker) checkContract(pos position, contract *Contract, hasTokens bool) {
	if contract == nil {
		c.add(pos, "contract", "missing")
		return
	}
	if contract.deadline <= 0 {
		c.add(pos, "contract.deadline", "impossible deadline: must be over 0")
	}
	if contract.target <= 0 || contract.target > 100 {
		c.add(pos, "contract.target", "must be over 0 and at most 100 percent")
	}
	if !hasTokens {
		return
	}
	if contract.firstToken <= 0 || contract.tokenGap <= 0 || contract.resume <= 0 {
		c.add(pos, "contract", "objectives must be over 0")
	}
	if contract.deadline > 0 && contract.firstToken >= contract.deadline {
		c.add(pos, "contract.first", "impossible deadline: first token %s is not before the deadline %s", contract.firstToken, contract.deadline)
	}
}

func (c *checker) checkPlain(s *Plain) {
	pos := s.pos.withDefaultPath("plain " + s.name)
	c.checkName(pos, "service", "name", s.name)
	c.checkContract(pos, s.contract, false)
	for _, r := range s.routes {
		routePos := r.pos.withDefaultPath(pos.path + " route " + r.name)
		c.checkName(routePos, "route of "+s.name, "name", r.name)
		c.checkUnique(routePos, "route", "path", r.method+" "+r.path)
		if !slices.Contains(httpMethods, r.method) {
			c.add(routePos, "method", "unknown method %q", r.method)
		}
		if !strings.HasPrefix(r.path, "/") {
			c.add(routePos, "path", "must begin with /")
		}
		if r.deadline <= 0 || s.contract != nil && r.deadline > s.contract.deadline {
			c.add(routePos, "deadline", "impossible deadline: must be over 0 and within the contract's")
		}
	}
}

func (c *checker) checkWorkspace(w *Workspace) {
	pos := w.pos
	if pos.path == "" {
		pos = pos.withDefaultPath("workspace " + w.name)
	}
	c.checkName(pos, "workspace", "name", w.name)
	if !validDigest(w.key) {
		c.add(pos, "key", "must be the SHA-256 digest of the token as 64 lower-case hex digits")
	} else {
		c.checkUnique(pos, "key", "key", w.key)
	}
	if w.weight < 1 || w.weight > 1_000_000 {
		c.add(pos, "weight", "must be from 1 to 1000000")
	}
	if w.class != Lookup && w.class != Interactive && w.class != Batch {
		c.add(pos, "class", "unknown class %q", w.class)
	}
}

func (c *checker) checkMove(d *Declaration, m *Move) {
	pos := m.pos.withDefaultPath("move " + m.name)
	c.checkName(pos, "move", "name", m.name)
	i := slices.IndexFunc(d.models, func(s *Model) bool { return s.name == m.service })
	if i < 0 {
		c.add(pos, "service", "no model named %q", m.service)
	} else if d.models[i].stable != m.from {
		c.add(pos, "from", "stable version of %q is %q", m.service, d.models[i].stable)
	}
	c.checkUnique(pos, "move of service", "service", m.service)
	if !validName(m.to) {
		c.add(pos, "to", "invalid version %q", m.to)
	}
	if m.to == m.from {
		c.add(pos, "to", "same version as from")
	}
	if !m.deadline.After(m.start) {
		c.add(pos, "deadline", "impossible deadline: not after the start")
	}
	if m.trial <= 0 || m.trial > 100 {
		c.add(pos, "trial", "share must be over 0 and at most 100 percent")
	}
}
