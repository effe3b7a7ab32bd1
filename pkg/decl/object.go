package decl

import "time"

// Class orders a workspace's requests for admission.
type Class string

// The admission classes, most urgent first.
const (
	// Lookup is for short idempotent calls with short deadlines.
	Lookup Class = "lookup"
	// Interactive is for requests that a person waits for.
	Interactive Class = "interactive"
	// Batch is for requests without a waiting person.
	Batch Class = "batch"
)

// Region is a site whose failure domains share fast links.
type Region struct {
	at      place
	name    string
	domains []string
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Domains returns the names of the failure domains.
func (r *Region) Domains() []string { return r.domains }

// Link joins two regions.
type Link struct {
	at   place
	from string
	to   string
	rate int64
}

// From returns one of the regions.
func (l *Link) From() string { return l.from }

// To returns the other region.
func (l *Link) To() string { return l.to }

// Rate returns the bytes a second in each direction.
func (l *Link) Rate() int64 { return l.rate }

// Contract states what a service promises its callers.
type Contract struct {
	deadline time.Duration
	first    time.Duration
	gap      time.Duration
	resume   time.Duration
	target   float64
}

// The objectives of a contract that does not state its own.
const (
	defaultFirst  = 330 * time.Millisecond
	defaultGap    = 64 * time.Millisecond
	defaultResume = 4 * time.Second
	defaultTarget = 95
)

// NewContract returns a contract with a request deadline and the default
// objectives: first token 330 ms, token gap 64 ms, resume 4 s, for 95%.
func NewContract(deadline time.Duration) *Contract {
	return &Contract{
		deadline: deadline,
		first:    defaultFirst,
		gap:      defaultGap,
		resume:   defaultResume,
		target:   defaultTarget,
	}
}

// WithObjectives returns a copy of c with other objectives; target is the
// percentage of requests that meet each of them.
func (c *Contract) WithObjectives(first, gap, resume time.Duration, target float64) *Contract {
	e := *c
	e.first = first
	e.gap = gap
	e.resume = resume
	e.target = target
	return &e
}

// Deadline returns the time that a request may take in all.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// FirstToken returns the objective for the first token.
func (c *Contract) FirstToken() time.Duration { return c.first }

// TokenGap returns the objective for the time between tokens.
func (c *Contract) TokenGap() time.Duration { return c.gap }

// Resume returns the objective for going on after a loss.
func (c *Contract) Resume() time.Duration { return c.resume }

// Target returns the percentage of requests that meet each objective.
func (c *Contract) Target() float64 { return c.target }

// Model is a service of model engines.
type Model struct {
	at       place
	name     string
	stable   string
	fenced   bool
	contract *Contract
}

// NewModel returns a model service whose stable version serves all traffic
// outside a move.
func NewModel(name, stable string, contract *Contract) *Model {
	return &Model{
		name:     name,
		stable:   stable,
		contract: contract,
	}
}

// WithFencing returns a copy of m whose engines all reject orders with an old
// fencing number.
func (m *Model) WithFencing() *Model {
	n := *m
	n.fenced = true
	return &n
}

// Name returns the service's name.
func (m *Model) Name() string { return m.name }

// Stable returns the stable version.
func (m *Model) Stable() string { return m.stable }

// Fenced reports whether all engines check fencing numbers.
func (m *Model) Fenced() bool { return m.fenced }

// Contract returns the service's contract.
func (m *Model) Contract() *Contract { return m.contract }

// Plain is a service of plain upstreams.
type Plain struct {
	at       place
	name     string
	contract *Contract
	routes   []*Route
}

// NewPlain returns a plain service with its routes.
func NewPlain(name string, contract *Contract, routes ...*Route) *Plain {
	return &Plain{
		name:     name,
		contract: contract,
		routes:   routes,
	}
}

// Name returns the service's name.
func (p *Plain) Name() string { return p.name }

// Contract returns the service's contract.
func (p *Plain) Contract() *Contract { return p.contract }

// Routes returns the routes. The caller must not change the slice.
func (p *Plain) Routes() []*Route { return p.routes }

// Route maps callers' HTTP requests to a plain service.
type Route struct {
	at         place
	name       string
	method     string
	path       string
	idempotent bool
	deadline   time.Duration
}

// NewRoute returns a route for a method and path prefix whose calls must not
// be repeated.
func NewRoute(name, method, path string, deadline time.Duration) *Route {
	return &Route{
		name:     name,
		method:   method,
		path:     path,
		deadline: deadline,
	}
}

// Repeatable returns a copy of r whose calls are idempotent.
func (r *Route) Repeatable() *Route {
	s := *r
	s.idempotent = true
	return &s
}

// Name returns the route's name within its service.
func (r *Route) Name() string { return r.name }

// Method returns the HTTP method.
func (r *Route) Method() string { return r.method }

// Path returns the path prefix.
func (r *Route) Path() string { return r.path }

// Idempotent reports whether a call may be repeated.
func (r *Route) Idempotent() bool { return r.idempotent }

// Deadline returns the time that a call may take in all.
func (r *Route) Deadline() time.Duration { return r.deadline }

// Workspace is a customer's account.
type Workspace struct {
	at     place
	name   string
	key    string
	weight int
	class  Class
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Key returns the hex SHA-256 digest of the bearer token.
func (w *Workspace) Key() string { return w.key }

// Weight returns the workspace's relative share; at least 1 when valid.
func (w *Workspace) Weight() int { return w.weight }

// Class returns the admission class of the workspace's generations.
func (w *Workspace) Class() Class { return w.class }

// Move shifts the traffic of a model service from one version to another.
type Move struct {
	at       place
	name     string
	service  string
	from     string
	to       string
	start    time.Time
	deadline time.Time
	trial    float64
}

// NewMove returns a move of a service between two versions. Its name is
// unique over time, because the store keeps the result under it.
func NewMove(name, service, from, to string) *Move {
	return &Move{
		name:    name,
		service: service,
		from:    from,
		to:      to,
	}
}

// Between returns a copy of m that begins at start and is done or rolled back
// by the deadline.
func (m *Move) Between(start, deadline time.Time) *Move {
	n := *m
	n.start = start
	n.deadline = deadline
	return &n
}

// WithTrial returns a copy of m whose new version gets at most the percentage
// of traffic until it is proved.
func (m *Move) WithTrial(percent float64) *Move {
	n := *m
	n.trial = percent
	return &n
}

// Name returns the move's name.
func (m *Move) Name() string { return m.name }

// Service returns the name of the model service.
func (m *Move) Service() string { return m.service }

// From returns the old version.
func (m *Move) From() string { return m.from }

// To returns the new version.
func (m *Move) To() string { return m.to }

// Start returns the time at which the move begins.
func (m *Move) Start() time.Time { return m.start }

// Deadline returns the time by which the move is done or rolled back.
func (m *Move) Deadline() time.Time { return m.deadline }

// Trial returns the largest percentage of traffic before proof.
func (m *Move) Trial() float64 { return m.trial }
