package world

import "time"

// Class orders requests for admission.
type Class uint8

// The admission classes, most urgent first.
const (
	// Lookup is a short idempotent call with a short deadline.
	Lookup Class = iota
	// Interactive is a request that a person waits for.
	Interactive
	// Batch is a request without a waiting person.
	Batch
	// Classes is the number of classes.
	Classes
)

// String returns the class name in declarations.
func (c Class) String() string {
	switch c {
	case Lookup:
		return "lookup"
	case Batch:
		return "batch"
	default:
		return "interactive"
	}
}

// Contract states what a service promises its callers.
type Contract struct {
	deadline   time.Duration
	firstToken time.Duration
	tokenGap   time.Duration
	resume     time.Duration
	// target is the fraction of requests that meet each objective.
	target float64
}

// NewContract returns a contract with a request deadline and the default
// objectives: first token 0.33 s, token gap 64 ms, resume 4 s, for 95%.
func NewContract(deadline time.Duration) *Contract {
	return &Contract{
		deadline:   deadline,
		firstToken: 330 * time.Millisecond,
		tokenGap:   64 * time.Millisecond,
		resume:     4 * time.Second,
		target:     0.95,
	}
}

// WithObjectives returns a copy of c with other objectives.
func (c *Contract) WithObjectives(firstToken, tokenGap, resume time.Duration, target float64) *Contract {
	d := *c
	d.firstToken = firstToken
	d.tokenGap = tokenGap
	d.resume = resume
	d.target = target
	return &d
}

// Deadline returns the time that a request may take in all.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// FirstToken returns the objective for the first token.
func (c *Contract) FirstToken() time.Duration { return c.firstToken }

// TokenGap returns the objective for the time between tokens.
func (c *Contract) TokenGap() time.Duration { return c.tokenGap }

// Resume returns the objective for going on after a loss.
func (c *Contract) Resume() time.Duration { return c.resume }

// Target returns the fraction of requests that must meet each objective.
func (c *Contract) Target() float64 { return c.target }

// Route maps callers' HTTP requests to a plain service.
type Route struct {
	name       string
	method     string
	path       string
	idempotent bool
	deadline   time.Duration
}

// NewRoute returns a route for a method and path prefix.
func NewRoute(name, method, path string, idempotent bool, deadline time.Duration) *Route {
	return &Route{
		name:       name,
		method:     method,
		path:       path,
		idempotent: idempotent,
		deadline:   deadline,
	}
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

// Service is a model or plain service that callers name.
type Service struct {
	name     string
	kind     Kind
	contract *Contract
	// stable is the version that serves all traffic outside a move.
	stable string
	// fenced is true when every upstream rejects an old fencing number.
	fenced bool
	routes []*Route
	move   *Move
}

// NewModel returns a model service whose stable version is given.
func NewModel(name, stable string, contract *Contract) *Service {
	return &Service{
		name:     name,
		kind:     Engine,
		contract: contract,
		stable:   stable,
	}
}

// NewPlain returns a plain service with its routes.
func NewPlain(name string, contract *Contract, routes ...*Route) *Service {
	return &Service{
		name:     name,
		kind:     Plain,
		contract: contract,
		routes:   routes,
	}
}

// WithMove returns a copy of s with a move in progress; nil ends it.
func (s *Service) WithMove(m *Move) *Service {
	t := *s
	t.move = m
	return &t
}

// WithFencing returns a copy of s whose upstreams check fencing numbers.
func (s *Service) WithFencing(fenced bool) *Service {
	t := *s
	t.fenced = fenced
	return &t
}

// Name returns the service's name; callers give it as the model.
func (s *Service) Name() string { return s.name }

// Kind returns Engine for a model service and Plain for a plain one.
func (s *Service) Kind() Kind { return s.kind }

// Contract returns the service's contract.
func (s *Service) Contract() *Contract { return s.contract }

// Stable returns the version that serves outside a move.
func (s *Service) Stable() string { return s.stable }

// Fenced reports whether all upstreams check fencing numbers.
func (s *Service) Fenced() bool { return s.fenced }

// Routes returns the routes of a plain service. The caller must not change it.
func (s *Service) Routes() []*Route { return s.routes }

// Move returns the move in progress, or nil.
func (s *Service) Move() *Move { return s.move }

// Move shifts the traffic of a service from one version to another.
type Move struct {
	name string
	from string
	to   string
	// start is not after deadline.
	start    time.Time
	deadline time.Time
	// trial is the largest share, from 0 to 1, of a version not proved yet.
	trial float64
}

// NewMove returns a move between two versions of a service.
func NewMove(name, from, to string, start, deadline time.Time, trial float64) *Move {
	return &Move{
		name:     name,
		from:     from,
		to:       to,
		start:    start,
		deadline: deadline,
		trial:    trial,
	}
}

// Name returns the move's unique name.
func (m *Move) Name() string { return m.name }

// From returns the old version.
func (m *Move) From() string { return m.from }

// To returns the new version.
func (m *Move) To() string { return m.to }

// Start returns the time at which the move begins.
func (m *Move) Start() time.Time { return m.start }

// Deadline returns the time by which the move is done or rolled back.
func (m *Move) Deadline() time.Time { return m.deadline }

// Trial returns the largest share of traffic for an unproved version.
func (m *Move) Trial() float64 { return m.trial }
