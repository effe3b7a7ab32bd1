package decl

import "time"

// Class is the admission class of a workspace's requests.
type Class string

// The admission classes, most urgent first.
const (
	// Lookup is for short idempotent calls with short deadlines.
	Lookup Class = "lookup"
	// Interactive is for requests whose answer a person waits for.
	Interactive Class = "interactive"
	// Batch is for requests whose answer no person waits for.
	Batch Class = "batch"
)

// Region is a group of failure domains that are connected by fast links.
type Region struct {
	pos     position
	name    string
	domains []string
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Domains returns the names of the failure domains. The caller must not change
// the slice.
func (r *Region) Domains() []string { return r.domains }

// Link joins two regions.
type Link struct {
	pos  position
	from string
	to   string
	rate int64
}

// From returns one of the regions.
func (l *Link) From() string { return l.from }

// To returns the other region.
func (l *Link) To() string { return l.to }

// Rate returns the capacity in bytes per second in each direction.
func (l *Link) Rate() int64 { return l.rate }

// Contract holds the deadline and the service-level objectives of a service.
type Contract struct {
	deadline   time.Duration
	firstToken time.Duration
	tokenGap   time.Duration
	resume     time.Duration
	target     float64
}

// The default objectives of a contract.
const (
	defaultFirstToken = 330 * time.Millisecond
	defaultTokenGap   = 64 * time.Millisecond
	defaultResume     = 4 * time.Second
	defaultTarget     = 95
)

// NewContract returns a contract with a request deadline and the default
// objectives: first token 330 ms, token gap 64 ms, resume 4 s, for 95%.
func NewContract(deadline time.Duration) *Contract {
	return &Contract{
		deadline:   deadline,
		firstToken: defaultFirstToken,
		tokenGap:   defaultTokenGap,
		resume:     defaultResume,
		target:     defaultTarget,
	}
}

// WithObjectives returns a copy of c with other objectives. target is the
// percentage of requests that must meet each of them.
func (c *Contract) WithObjectives(firstToken, tokenGap, resume time.Duration, target float64) *Contract {
	copied := *c
	copied.firstToken = firstToken
	copied.tokenGap = tokenGap
	copied.resume = resume
	copied.target = target
	return &copied
}

// Deadline returns the limit on the total time of a request.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// FirstToken returns the objective for the time to the first token.
func (c *Contract) FirstToken() time.Duration { return c.firstToken }

// TokenGap returns the objective for the time between two tokens.
func (c *Contract) TokenGap() time.Duration { return c.tokenGap }

// Resume returns the objective for the time until a stream continues after the
// loss of its upstream.
func (c *Contract) Resume() time.Duration { return c.resume }

// Target returns the percentage of requests that must meet each objective.
func (c *Contract) Target() float64 { return c.target }

// Model is a service whose upstreams are model engines.
type Model struct {
	pos      position
	name     string
	stable   string
	fenced   bool
	contract *Contract
}

// NewModel returns a model service. Its stable version serves all traffic unless
// a move is in progress.
func NewModel(name, stable string, contract *Contract) *Model {
	return &Model{
		name:     name,
		stable:   stable,
		contract: contract,
	}
}

// WithFencing returns a copy of m that declares that all of its engines reject
// orders with an outdated fencing number.
func (m *Model) WithFencing() *Model {
	copied := *m
	copied.fenced = true
	return &copied
}

// Name returns the service's name.
func (m *Model) Name() string { return m.name }

// Stable returns the stable version.
func (m *Model) Stable() string { return m.stable }

// Fenced reports whether all engines check fencing numbers.
func (m *Model) Fenced() bool { return m.fenced }

// Contract returns the service's contract.
func (m *Model) Contract() *Contract { return m.contract }

// Plain is a service whose upstreams are plain HTTP servers rather than model
// engines.
type Plain struct {
	pos      position
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

// Route assigns HTTP requests with a method and path prefix to a plain service.
type Route struct {
	pos        position
	name       string
	method     string
	path       string
	idempotent bool
	deadline   time.Duration
}

// NewRoute returns a route for a method and path prefix whose calls are not
// idempotent, so that they are never repeated; see Repeatable.
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
	copied := *r
	copied.idempotent = true
	return &copied
}

// Name returns the route's name within its service.
func (r *Route) Name() string { return r.name }

// Method returns the HTTP method.
func (r *Route) Method() string { return r.method }

// Path returns the path prefix.
func (r *Route) Path() string { return r.path }

// Idempotent reports whether a call may be repeated.
func (r *Route) Idempotent() bool { return r.idempotent }

// Deadline returns the limit on the total time of a call.
func (r *Route) Deadline() time.Duration { return r.deadline }

// Workspace is a customer's account.
type Workspace struct {
	pos    position
	name   string
	key    string
	weight int
	class  Class
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Key returns the hex SHA-256 digest of the bearer token.
func (w *Workspace) Key() string { return w.key }

// Weight returns the workspace's weight relative to other workspaces, which is
// at least 1 in a valid declaration.
func (w *Workspace) Weight() int { return w.weight }

// Class returns the admission class of the workspace's generations.
func (w *Workspace) Class() Class { return w.class }

// Move is the gradual transfer of a model service's traffic from one version to
// another.
type Move struct {
	pos      position
	name     string
	service  string
	from     string
	to       string
	start    time.Time
	deadline time.Time
	trial    float64
}

// NewMove returns a move of a service between two versions. Its name must never
// be used for another move, because the store keeps the result under it.
func NewMove(name, service, from, to string) *Move {
	return &Move{
		name:    name,
		service: service,
		from:    from,
		to:      to,
	}
}

// Between returns a copy of m that begins at start and is completed or rolled
// back by the deadline.
func (m *Move) Between(start, deadline time.Time) *Move {
	copied := *m
	copied.start = start
	copied.deadline = deadline
	return &copied
}

// WithTrial returns a copy of m whose new version gets at most the given
// percentage of the traffic until it has proved to meet the contract.
func (m *Move) WithTrial(percent float64) *Move {
	copied := *m
	copied.trial = percent
	return &copied
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

// Deadline returns the time by which the move is completed or rolled back.
func (m *Move) Deadline() time.Time { return m.deadline }

// Trial returns the largest percentage of the traffic that the new version gets
// before it has proved to meet the contract.
func (m *Move) Trial() float64 { return m.trial }
