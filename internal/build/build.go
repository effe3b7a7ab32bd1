package build

import (
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

// Config returns the configuration of a revision from all parts of its
// declaration, by name. The error for an invalid declaration joins one
// *decl.Fault for each problem; see decl.Faults.
func Config(revision uint64, parts map[string][]byte) (*world.Config, error) {
	return NewBuilder().Config(revision, parts)
}

// Builder builds the configurations of successive revisions and decodes only the
// parts that changed since the previous one. With 33,000 workspaces, decoding is
// most of the work of a revision. A Builder must be used by one goroutine.
type Builder struct {
	joiner *decl.Joiner
}

// NewBuilder returns a builder without any decoded parts.
func NewBuilder() *Builder {
	return &Builder{
		joiner: decl.NewJoiner(),
	}
}

// Config is like the function Config, but reuses the parts decoded by earlier
// calls.
func (b *Builder) Config(revision uint64, parts map[string][]byte) (*world.Config, error) {
	d, err := b.joiner.Join(parts)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration revision %d", revision)
	}
	return ConfigFromDeclaration(revision, d), nil
}

// ConfigFromDeclaration returns the configuration of a declaration, which must
// be valid.
func ConfigFromDeclaration(revision uint64, d *decl.Declaration) *world.Config {
	var domains []*world.Domain
	for _, r := range d.Regions() {
		region := world.NewRegion(r.Name())
		for _, name := range r.Domains() {
			domains = append(domains, world.NewDomain(name, region))
		}
	}
	var links []*world.Link
	for _, l := range d.Links() {
		links = append(links, world.NewLink(l.From(), l.To(), l.Rate()))
	}
	var workspaces []*world.Workspace
	for _, w := range d.Workspaces() {
		workspaces = append(workspaces, world.NewWorkspace(w.Name(), w.Key(), w.Weight(), worldClass(w.Class())))
	}
	return world.NewConfig(revision, domains, links, worldServices(d), workspaces)
}

func worldServices(d *decl.Declaration) []*world.Service {
	moves := make(map[string]*world.Move)
	for _, m := range d.Moves() {
		moves[m.Service()] = world.NewMove(m.Name(), m.From(), m.To(), m.Start(), m.Deadline(), m.Trial()/100)
	}
	var list []*world.Service
	for _, m := range d.Models() {
		s := world.NewModelService(m.Name(), m.Stable(), worldContract(m.Contract()))
		list = append(list, s.WithFencing(m.Fenced()).WithMove(moves[m.Name()]))
	}
	for _, p := range d.Plains() {
		var routes []*world.Route
		for _, r := range p.Routes() {
			routes = append(routes, world.NewRoute(r.Name(), r.Method(), r.Path(), r.Idempotent(), r.Deadline()))
		}
		list = append(list, world.NewPlainService(p.Name(), worldContract(p.Contract()), routes...))
	}
	return list
}

func worldContract(c *decl.Contract) *world.Contract {
	return world.NewContract(c.Deadline()).WithObjectives(c.FirstToken(), c.TokenGap(), c.Resume(), c.Target()/100)
}

func worldClass(c decl.Class) world.Class {
	switch c {
	case decl.Lookup:
		return world.Lookup
	case decl.Batch:
		return world.Batch
	default:
		return world.Interactive
	}
}
