// Package judge describes attempts at services whose traffic is moving to another version,
// as they are judged.
package judge

import (
	"time"

	"clementinelink.example/clementinelink/internal/move"
)

// Spec lists the properties of an Attempt. Its fields are exported for construction only.
type Spec struct {
	Service string
	Route   string
	// NewVersion is true if the new version served the attempt.
	NewVersion bool
	// Outcome holds the metrics that the attempt failed, if any.
	Outcome move.Outcome
	// Upstream is the id of the upstream that served the attempt.
	Upstream string
	// Latency is the time to the first piece of a stream or to the whole answer of
	// another request, and Typical the old version's typical latency, or 0 if that is
	// unknown.
	Latency time.Duration
	Typical time.Duration
}

// Attempt is the outcome of one attempt. It is immutable.
type Attempt struct {
	spec Spec
}

// NewAttempt returns an attempt with the properties of s.
func NewAttempt(s Spec) Attempt {
	return Attempt{
		spec: s,
	}
}

// Service returns the service's name.
func (a Attempt) Service() string { return a.spec.Service }

// Route returns the name of the route.
func (a Attempt) Route() string { return a.spec.Route }

// NewVersion reports whether the new version served the attempt.
func (a Attempt) NewVersion() bool { return a.spec.NewVersion }

// Outcome returns the metrics that the attempt failed, if any.
func (a Attempt) Outcome() move.Outcome { return a.spec.Outcome }

// Upstream returns the id of the upstream that served the attempt.
func (a Attempt) Upstream() string { return a.spec.Upstream }

// Latency returns the time to the first piece of a stream or to the whole answer of
// another request.
func (a Attempt) Latency() time.Duration { return a.spec.Latency }

// Typical returns the old version's typical latency, or 0 if it is unknown.
func (a Attempt) Typical() time.Duration { return a.spec.Typical }
