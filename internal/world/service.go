package world

import "time"

// Class is the admission class of a request. Lower values are more urgent.
type Class uint8

// The admission classes, most urgent first.
const (
	// Lookup is for short idempotent calls with a short deadline.
	Lookup Class = iota
	// Interactive is for requests that a person waits for.
	Interactive
	// Batch is for requests that no person waits for.
	Batch
	// NumClasses is the number of admission classes.
	NumClasses
)

// String returns the name of the class in the configuration.
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

// Contract holds the service level objectives of a service towards its callers.
type Contract struct {
	deadline   time.Duration
	firstToken time.Duration
	tokenGap   time.Duration
	resume     time.Duration
	// target is the fraction of requests that must meet each objective, from 0
	// to 1.
	target float64
}

// NewContract returns a contract with a request deadline and the default
// objectives, which 95% of requests must meet: first token within 330 ms, at most
// 64 ms between tokens, and recovery from a loss within 4 s.
func NewContract(deadline time.Duration) *Contract {
	return &Contract{
		deadline:   deadline,
		firstToken: 330 * time.Millisecond,
		tokenGap:   64 * time.Millisecond,
		resume:     4 * time.Second,
		target:     0.95,
	}
}

// WithObjectives returns a copy of c with the given objectives; target is the
// fraction of requests that must meet each of them.
func (c *Contract) WithObjectives(firstToken, tokenGap, resume time.Duration, target float64) *Contract {
	d := *c
	d.firstToken = firstToken
	d.tokenGap = tokenGap
	d.resume = resume
	d.target = target
	return &d
}

// Deadline returns the longest time that a request may take.
func (c *Contract) Deadline() time.Duration { return c.deadline }

// FirstToken returns the objective for the time to the first token.
func (c *Contract) FirstToken() time.Duration { return c.firstToken }

// TokenGap returns the objective for the time between two tokens.
func (c *Contract) TokenGap() time.Duration { return c.tokenGap }

// Resume returns the objective for the time until output continues after the loss
// of an engine.
func (c *Contract) Resume() time.Duration { return c.resume }

// Target returns the fraction of requests that must meet each objective.
func (c *Contract) Target() float64 { return c.target }

// Route maps HTTP requests of callers to a plain service.
type Route struct {
	name       string
	method     string
	path       string
	idempotent bool
	deadline   time.Duration
}

// NewRoute returns a route for an HTTP method and a path prefix. Calls of an
// idempotent route may be repeated after a failure; deadline is the longest time
// that a call may take.
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

// Deadline returns the longest time that a call may take.
func (r *Route) Deadline() time.Duration { return r.deadline }

// Service is a service that callers can use: a model service, which generates
// tokens, or a plain service, which answers the HTTP requests of its routes.
type Service struct {
	name     string
	kind     Kind
	contract *Contract
	// stable is the version that serves all traffic outside a move.
	stable string
	// fenced is true if every upstream rejects requests with an old fencing
	// number.
	fenced bool
	routes []*Route
	move   *Move
}

// NewModelService returns a model service. The stable version serves all its
// traffic outside a move.
func NewModelService(name, stable string, contract *Contract) *Service {
	return &Service{
		name:     name,
		kind:     Engine,
		contract: contract,
		stable:   stable,
	}
}

// NewPlainService returns a plain service with its routes.
func NewPlainService(name string, contract *Contract, routes ...*Route) *Service {
	return &Service{
		name:     name,
		kind:     Plain,
		contract: contract,
		routes:   routes,
	}
}

// WithMove returns a copy of s with the move in progress, or without one if m is
// nil.
func (s *Service) WithMove(m *Move) *Service {
	t := *s
	t.move = m
	return &t
}

// WithFencing returns a copy of s; fenced states whether all its upstreams check
// fencing numbers.
func (s *Service) WithFencing(fenced bool) *Service {
	t := *s
	t.fenced = fenced
	return &t
}

// Name returns the service's name. Callers of a model service pass it as the
// model name.
func (s *Service) Name() string { return s.name }

// Kind returns Engine for a model service and Plain for a plain one.
func (s *Service) Kind() Kind { return s.kind }

// Contract returns the service's contract.
func (s *Service) Contract() *Contract { return s.contract }

// Stable returns the version that serves all traffic outside a move. It is empty
// for a plain service.
func (s *Service) Stable() string { return s.stable }

// Fenced reports whether all upstreams check fencing numbers.
func (s *Service) Fenced() bool { return s.fenced }

// Routes returns the routes of a plain service. The caller must not modify the
// slice.
func (s *Service) Routes() []*Route { return s.routes }

// Move returns the move in progress, or nil.
func (s *Service) Move() *Move { return s.move }

// Move is the gradual transfer of a service's traffic from one version to
// another.
type Move struct {
	name string
	from string
	to   string
	// start must not be after deadline.
	start    time.Time
	deadline time.Time
	// unprovenShare is the largest share of traffic, from 0 to 1, that the new
	// version gets before it is proven.
	unprovenShare float64
}

// NewMove returns a move between two versions of a service. Until the new version
// is proven, it gets at most the share unprovenShare of the traffic, from 0 to 1.
func NewMove(name, from, to string, start, deadline time.Time, unprovenShare float64) *Move {
	return &Move{
		name:          name,
		from:          from,
		to:            to,
		start:         start,
		deadline:      deadline,
		unprovenShare: unprovenShare,
	}
}

// Name returns the unique name of the move.
func (m *Move) Name() string { return m.name }

// From returns the old version.
func (m *Move) From() string { return m.from }

// To returns the new version.
func (m *Move) To() string { return m.to }

// Start returns the time at which the move begins.
func (m *Move) Start() time.Time { return m.start }

// Deadline returns the time by which the move must be done; otherwise it is
// rolled back.
func (m *Move) Deadline() time.Time { return m.deadline }

// UnprovenShare returns the largest share of traffic, from 0 to 1, that the new
// version gets before it is proven.
func (m *Move) UnprovenShare() float64 { return m.unprovenShare }
