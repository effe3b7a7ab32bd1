package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
)

// Policy holds the choices that a response leaves to its surroundings.
type Policy struct {
	// choose returns the engine for an attempt, or nil when none accepts it.
	choose func(now time.Time, r *Response, avoid []*fleet.Engine) *fleet.Engine
	// find returns an engine by name, or one that is reached at the address.
	find func(name, address string) *fleet.Engine
	// retry reports whether the retry budget allows another attempt.
	retry func(now time.Time) bool
	// timeout is how long an attempt may be silent, or nil for the engine's
	// cadence.
	timeout func(started bool) time.Duration
	// restart makes a resume generate from the first token again.
	restart bool
}

// NewPolicy returns a policy of the three functions.
func NewPolicy(
	choose func(now time.Time, r *Response, avoid []*fleet.Engine) *fleet.Engine,
	find func(name, address string) *fleet.Engine,
	retry func(now time.Time) bool,
) *Policy {
	return &Policy{
		choose: choose,
		find:   find,
		retry:  retry,
	}
}

// Simple returns a copy of p with a fixed silence timeout, and resumes that
// generate from the start. It is the baseline that resumes are measured against.
func (p *Policy) Simple(timeout time.Duration) *Policy {
	q := *p
	q.timeout = func(bool) time.Duration { return timeout }
	q.restart = true
	return &q
}
