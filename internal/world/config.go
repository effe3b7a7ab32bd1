package world

import "strings"

// Workspace is a customer's account.
type Workspace struct {
	name string
	// key is the hex SHA-256 digest of the workspace's bearer token.
	key string
	// weight is the workspace's share of capacity relative to others; at least 1.
	weight int
	class  Class
}

// NewWorkspace returns a workspace. The key is the hex SHA-256 digest of its
// bearer token, weight its relative share, and class the admission class of its
// generations. Weights below 1 count as 1.
func NewWorkspace(name, key string, weight int, class Class) *Workspace {
	return &Workspace{
		name:   name,
		key:    key,
		weight: max(weight, 1),
		class:  class,
	}
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Key returns the hex SHA-256 digest of the bearer token.
func (w *Workspace) Key() string { return w.key }

// Weight returns the workspace's share of capacity relative to others. It is at
// least 1.
func (w *Workspace) Weight() int { return w.weight }

// Class returns the admission class of the workspace's generations.
func (w *Workspace) Class() Class { return w.class }

// Config is one revision of the configuration.
type Config struct {
	revision   uint64
	domains    map[string]*Domain
	links      []*Link
	services   map[string]*Service
	workspaces map[string]*Workspace
	// keys holds the workspaces by the digest of their bearer token.
	keys map[string]*Workspace
}

// NewConfig returns the configuration of a revision. Objects are indexed by
// name; of two with the same name, the latter is used.
func NewConfig(revision uint64, domains []*Domain, links []*Link, services []*Service, workspaces []*Workspace) *Config {
	c := &Config{
		revision:   revision,
		domains:    make(map[string]*Domain, len(domains)),
		links:      links,
		services:   make(map[string]*Service, len(services)),
		workspaces: make(map[string]*Workspace, len(workspaces)),
		keys:       make(map[string]*Workspace, len(workspaces)),
	}
	for _, d := range domains {
		c.domains[d.Name()] = d
	}
	for _, s := range services {
		c.services[s.Name()] = s
	}
	for _, w := range workspaces {
		c.workspaces[w.Name()] = w
		c.keys[w.Key()] = w
	}
	return c
}

// Revision returns the configuration's revision; 0 means that no configuration
// was loaded yet.
func (c *Config) Revision() uint64 { return c.revision }

// Domain returns the failure domain with the name, or nil.
func (c *Config) Domain(name string) *Domain { return c.domains[name] }

// Service returns the service with the name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Services returns all services by name. The caller must not modify the map.
func (c *Config) Services() map[string]*Service { return c.services }

// Workspace returns the workspace with the name, or nil.
func (c *Config) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces by name. The caller must not modify the map.
func (c *Config) Workspaces() map[string]*Workspace { return c.workspaces }

// WorkspaceByKey returns the workspace whose bearer token has the given hex
// SHA-256 digest, or nil.
func (c *Config) WorkspaceByKey(digest string) *Workspace { return c.keys[digest] }

// Link returns the link between two regions, or nil.
func (c *Config) Link(a, b string) *Link {
	for _, l := range c.links {
		if l.Connects(a, b) {
			return l
		}
	}
	return nil
}

// Route returns the plain service and the route for an HTTP request. If several
// routes match, the one with the longest path prefix is used. Both results are
// nil if no route matches.
func (c *Config) Route(method, path string) (*Service, *Route) {
	var found *Service
	var best *Route
	for _, s := range c.services {
		for _, r := range s.routes {
			if r.method != method || !strings.HasPrefix(path, r.path) {
				continue
			}
			if best == nil || len(r.path) > len(best.path) {
				found, best = s, r
			}
		}
	}
	return found, best
}
