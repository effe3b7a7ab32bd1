package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
)

// Policy holds the functions and settings that a Response takes from its router.
// All responses of a router share one Policy.
type Policy struct {
	// choose returns the engine for the next attempt, or nil if none accepts
	// it now.
	choose func(now time.Time, r *Response, avoid []*fleet.Engine) *fleet.Engine
	// find returns the engine with the name. For an unknown name it returns
	// a temporary engine with the address.
	find func(name, address string) *fleet.Engine
	// retry takes one attempt from the retry budget and reports whether the
	// budget allowed it.
	retry func(now time.Time) bool
	// timeout returns how long an attempt may be silent before or after its
	// first token. If nil, the engine's cadence determines that.
	timeout func(started bool) time.Duration
	// restart makes new attempts generate the response from the first token
	// instead of continuing it.
	restart bool
}

// NewPolicy returns a policy with the three functions. The function choose
// returns the engine for an attempt or nil, find returns an engine by name or
// else one with the address, and retry reports whether the retry budget allows
// another attempt.
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

// Baseline returns a copy of p with a fixed silence timeout, in which lost
// responses are generated from the start again. It serves as the baseline when
// resumes are evaluated.
func (p *Policy) Baseline(timeout time.Duration) *Policy {
	q := *p
	q.timeout = func(bool) time.Duration { return timeout }
	q.restart = true
	return &q
}
