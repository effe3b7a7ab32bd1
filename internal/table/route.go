package table

import "time"

// Kind determines whether a request on a route may be repeated.
type Kind uint8

// The kinds of route. The zero value is the one that allows no repetition.
const (
	// Booking is the kind of requests that run at most once.
	Booking Kind = iota
	// Lookup is the kind of idempotent requests.
	Lookup
	// Stream is the kind of requests that are answered with a stream of indexed
	// pieces.
	Stream
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Lookup:
		return "lookup"
	case Stream:
		return "stream"
	default:
		return "booking"
	}
}

// Share is the fraction of a route's traffic that a service gets.
type Share struct {
	service string
	weight  int
}

// NewShare returns a share whose weight is relative to those of the route's
// other shares.
func NewShare(service string, weight int) Share {
	return Share{
		service: service,
		weight:  weight,
	}
}

// Service returns the service's name.
func (s Share) Service() string { return s.service }

// Weight returns the relative weight, which may be 0.
func (s Share) Weight() int { return s.weight }

// RouteSpec lists the properties of a route. Its fields are exported for
// construction only.
type RouteSpec struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable allows a stream to resume at another upstream.
	Resumable bool
	// Public is true if requests need no workspace key.
	Public bool
	// Attempts is the maximum number of attempts that may run one request.
	Attempts int
	// Timeout bounds the time to the final answer; 0 means no limit.
	Timeout time.Duration
	// Goal is the time within which an answer, or the first piece of a stream,
	// counts as on time.
	Goal time.Duration
	// Gap is the longest pause between pieces of a stream that counts as on
	// time.
	Gap time.Duration
	// Priority is the rank of requests among those of other routes; 0 is the
	// most urgent.
	Priority int
	Shares   []Share
}

// Route describes how the requests to a host and path prefix are forwarded. It
// is immutable.
type Route struct {
	spec  RouteSpec
	total int
}

// NewRoute returns a route with the properties of s.
func NewRoute(s RouteSpec) *Route {
	r := &Route{
		spec: s,
	}
	for _, sh := range s.Shares {
		r.total += sh.weight
	}
	return r
}

// Name returns the route's name.
func (r *Route) Name() string { return r.spec.Name }

// Kind returns the kind of the route's requests.
func (r *Route) Kind() Kind { return r.spec.Kind }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.spec.Kind == Lookup || r.spec.Kind == Stream && r.spec.Resumable
}

// Public reports whether requests need no workspace key.
func (r *Route) Public() bool { return r.spec.Public }

// Attempts returns the maximum number of attempts that may run one request, at
// least 1.
func (r *Route) Attempts() int { return max(r.spec.Attempts, 1) }

// Timeout returns the limit on the time to the final answer, or 0 if there is
// none.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Goal returns the time within which an answer, or the first piece of a stream,
// counts as on time.
func (r *Route) Goal() time.Duration { return r.spec.Goal }

// Gap returns the longest pause between pieces of a stream that counts as on
// time.
func (r *Route) Gap() time.Duration { return r.spec.Gap }

// Priority returns the rank of requests among those of other routes; 0 is the
// most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Shares returns the services of the route with their weights. The caller must not modify
// the slice.
func (r *Route) Shares() []Share { return r.spec.Shares }

// Draw returns a number for which Service returns the share with the given index, and the
// fraction of requests that the share gets, which is 0 if there is no such number.
func (r *Route) Draw(index int) (draw, fraction float64) {
	if r.total == 0 {
		if index == 0 {
			return 0, 1
		}
		return 0, 0
	}
	before := 0
	for _, s := range r.spec.Shares[:index] {
		before += s.weight
	}
	weight := float64(r.spec.Shares[index].weight)
	return (float64(before) + weight/2) / float64(r.total), weight / float64(r.total)
}

// Service returns the name of the service for a random number in [0, 1). If all
// weights are 0 it returns the first service, and "" if there are no shares.
func (r *Route) Service(draw float64) string {
	if len(r.spec.Shares) == 0 {
		return ""
	}
	at := int(draw * float64(r.total))
	for _, s := range r.spec.Shares {
		if at -= s.weight; at < 0 {
			return s.service
		}
	}
	return r.spec.Shares[0].service
}
