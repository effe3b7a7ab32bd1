package table

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Engine describes the model engines of a service. It is immutable.
type Engine struct {
	slots  int
	memory int
	copies bool
	// copyRetention is the time for which an on-demand copy is kept.
	copyRetention time.Duration
	// models holds the names of the models, sorted.
	models []string
}

// NewEngine returns the description of engines that run up to slots requests at
// once, which share memory tokens, and that have the named models. copies
// states whether they keep standby copies of each other's runs.
func NewEngine(slots, memory int, copies bool, models ...string) *Engine {
	return &Engine{
		slots:  slots,
		memory: memory,
		copies: copies,
		models: slices.Sorted(slices.Values(models)),
	}
}

// WithCopyRetention returns a copy of e whose engines make on-demand copies of
// runs and keep them for the time d. If d is 0, they make none.
func (e *Engine) WithCopyRetention(d time.Duration) *Engine {
	c := *e
	c.copyRetention = d
	return &c
}

// CopyRetention returns the time for which an on-demand copy is kept, or 0 if
// engines make none.
func (e *Engine) CopyRetention() time.Duration { return e.copyRetention }

// Slots returns the maximum number of requests that an engine runs at once.
func (e *Engine) Slots() int { return e.slots }

// Memory returns the memory of an engine in tokens.
func (e *Engine) Memory() int { return e.memory }

// KeepsStandbyCopies reports whether engines keep standby copies of each
// other's runs.
func (e *Engine) KeepsStandbyCopies() bool { return e.copies }

// Service is a set of interchangeable upstreams that routes refer to. It is
// immutable.
type Service struct {
	name       string
	healthPath string
	engine     *Engine
}

// NewService returns a service whose upstreams answer health checks at the URL
// path health. engine is nil for a plain service.
func NewService(name, health string, engine *Engine) *Service {
	return &Service{
		name:       name,
		healthPath: health,
		engine:     engine,
	}
}

// HealthPath returns the URL path at which upstreams answer health checks.
func (s *Service) HealthPath() string { return s.healthPath }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Engine returns the description of the service's engines, or nil for a plain
// service.
func (s *Service) Engine() *Engine { return s.engine }

// Workspace is a group of callers that share a set of keys. It is immutable.
type Workspace struct {
	name string
	// priority is the rank of all requests of the workspace, or -1 if their
	// route determines it.
	priority int
}

// NewWorkspace returns a workspace. If priority is negative, the rank of its
// requests is that of their route.
func NewWorkspace(name string, priority int) *Workspace {
	return &Workspace{
		name:     name,
		priority: max(priority, -1),
	}
}

// Name returns the workspace's name, or "" if w is nil.
func (w *Workspace) Name() string {
	if w == nil {
		return ""
	}
	return w.name
}

// Rank returns the rank of the workspace's requests on a route; 0 is the most
// urgent. It is the route's priority if w is nil.
func (w *Workspace) Rank(r *Route) int {
	if w != nil && w.priority >= 0 {
		return w.priority
	}
	return r.Priority()
}

// Limits bounds what callers may send. A field that is 0 means no limit.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// NewLimits returns limits on the size of the header and the body in bytes, on
// the time to read a header, and on the time for which a connection may be
// idle.
func NewLimits(header, body int, head, idle time.Duration) Limits {
	return Limits{
		maxHeaderBytes: header,
		maxBodyBytes:   body,
		headerTimeout:  head,
		idleTimeout:    idle,
	}
}

// MaxHeaderBytes returns the maximum size of a header in bytes.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes returns the maximum size of a body in bytes.
func (l Limits) MaxBodyBytes() int { return l.maxBodyBytes }

// HeaderTimeout returns the time within which a header must arrive.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// IdleTimeout returns the time for which a connection may be idle.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// Table is the routing table of one configuration version. It is immutable
// after its construction and then safe for concurrent use.
type Table struct {
	version int64
	limits  Limits
	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// priorities holds the priorities of the routes to each service, the most urgent
	// one first, each once.
	priorities map[string][]int
	keys       map[string]*Workspace
	// keyed is true if the configuration has a list of workspaces, which may be empty.
	keyed bool
}

// New returns an empty table for a configuration version. AddRoute, AddService
// and AddWorkspace must not be called once the table is in use.
func New(version int64, limits Limits) *Table {
	return &Table{
		version:    version,
		limits:     limits,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service),
		priorities: make(map[string][]int),
		keys:       make(map[string]*Workspace),
	}
}

// AddRoute adds a route.
func (t *Table) AddRoute(r *Route) {
	host := strings.ToLower(r.spec.Host)
	at, _ := slices.BinarySearchFunc(t.hosts[host], r, func(a, b *Route) int {
		return len(b.spec.Prefix) - len(a.spec.Prefix)
	})
	t.hosts[host] = slices.Insert(t.hosts[host], at, r)
	for _, s := range r.spec.Shares {
		list := t.priorities[s.service]
		if at, found := slices.BinarySearch(list, r.Priority()); !found {
			t.priorities[s.service] = slices.Insert(list, at, r.Priority())
		}
	}
}

// ShareRoutes takes the routes of an earlier table, which have not changed since.
func (t *Table) ShareRoutes(earlier *Table) {
	t.hosts, t.priorities = earlier.hosts, earlier.priorities
}

// ShareWorkspaces takes the workspaces of an earlier table, which have not changed since.
func (t *Table) ShareWorkspaces(earlier *Table) { t.keys, t.keyed = earlier.keys, earlier.keyed }

// AddService adds a service, and replaces one of the same name.
func (t *Table) AddService(s *Service) { t.services[s.name] = s }

// RequireKeys makes routes that are not public require the key of a workspace. Without
// a workspace they admit nobody.
func (t *Table) RequireKeys() { t.keyed = true }

// AddWorkspace adds a workspace and its keys, and makes routes that are not public
// require one. An empty key admits nobody, since callers without a key have it.
func (t *Table) AddWorkspace(w *Workspace, keys []string) {
	t.RequireKeys()
	for _, k := range keys {
		if k != "" {
			t.keys[k] = w
		}
	}
}

// Version returns the configuration's version, or 0 if t is nil.
func (t *Table) Version() int64 {
	if t == nil {
		return 0
	}
	return t.version
}

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// ServiceNames returns the names of all services, sorted.
func (t *Table) ServiceNames() []string { return slices.Sorted(maps.Keys(t.services)) }

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Identify returns the name of the only service whose engines have exactly this
// memory and these models, or "" if there is none or more than one. It
// determines the service of an engine from the state that the engine reports
// while the registry is unreachable.
func (t *Table) Identify(memory int, models []string) string {
	found := ""
	for name, s := range t.services {
		if s.engine == nil || s.engine.memory != memory || len(models) == 0 || len(s.engine.models) == 0 {
			continue
		}
		if !slices.Equal(s.engine.models, slices.Sorted(slices.Values(models))) {
			continue
		}
		if found != "" {
			return ""
		}
		found = name
	}
	return found
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// TopPriority returns the most urgent priority of the routes to a service, or 0 if
// there are none.
func (t *Table) TopPriority(service string) int {
	if list := t.priorities[service]; len(list) > 0 {
		return list[0]
	}
	return 0
}

// Urgency returns the number of priorities of routes to the service that are more urgent
// than the route's. It is 0 if all routes have the same one.
func (t *Table) Urgency(service string, r *Route) int {
	at, _ := slices.BinarySearch(t.priorities[service], r.Priority())
	return at
}

// RequiresKeys reports whether routes that are not public require a workspace
// key. It is false if the configuration has no list of workspaces.
func (t *Table) RequiresKeys() bool { return t.keyed }

// WorkspaceForKey returns the workspace that the key belongs to, or nil.
func (t *Table) WorkspaceForKey(key string) *Workspace { return t.keys[key] }
