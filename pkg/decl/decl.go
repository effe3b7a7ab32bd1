package decl

import "slices"

// Declaration holds the whole configuration that operators write. The zero value
// is an empty declaration. Methods that add an object modify the declaration and
// return it. They don't validate the object; see Check.
type Declaration struct {
	regions    []*Region
	links      []*Link
	models     []*Model
	plains     []*Plain
	workspaces []*Workspace
	moves      []*Move
}

// New returns an empty declaration.
func New() *Declaration { return &Declaration{} }

// Region adds a region with its failure domains.
func (d *Declaration) Region(name string, domains ...string) *Declaration {
	d.regions = append(d.regions, &Region{
		name:    name,
		domains: slices.Clone(domains),
	})
	return d
}

// Link adds a link between two regions that carries rate bytes per second in
// each direction.
func (d *Declaration) Link(from, to string, rate int64) *Declaration {
	d.links = append(d.links, &Link{
		from: from,
		to:   to,
		rate: rate,
	})
	return d
}

// Model adds a model service.
func (d *Declaration) Model(m *Model) *Declaration {
	d.models = append(d.models, m)
	return d
}

// Plain adds a plain service.
func (d *Declaration) Plain(p *Plain) *Declaration {
	d.plains = append(d.plains, p)
	return d
}

// Workspace adds a workspace; key is the lower-case hex SHA-256 digest of its
// bearer token.
func (d *Declaration) Workspace(name, key string, weight int, class Class) *Declaration {
	d.workspaces = append(d.workspaces, &Workspace{
		name:   name,
		key:    key,
		weight: weight,
		class:  class,
	})
	return d
}

// Move adds a move of a model service's traffic from one version to another.
func (d *Declaration) Move(m *Move) *Declaration {
	d.moves = append(d.moves, m)
	return d
}

// Regions returns the regions. The caller must not change the slice.
func (d *Declaration) Regions() []*Region { return d.regions }

// Links returns the links. The caller must not change the slice.
func (d *Declaration) Links() []*Link { return d.links }

// Models returns the model services. The caller must not change the slice.
func (d *Declaration) Models() []*Model { return d.models }

// Plains returns the plain services. The caller must not change the slice.
func (d *Declaration) Plains() []*Plain { return d.plains }

// Workspaces returns the workspaces. The caller must not change the slice.
func (d *Declaration) Workspaces() []*Workspace { return d.workspaces }

// Moves returns the moves. The caller must not change the slice.
func (d *Declaration) Moves() []*Move { return d.moves }
