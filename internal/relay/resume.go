package relay

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
)

// suspect starts a hedge beside a silent attempt. The attempt stays live, so
// that the first to give the next token wins.
func (r *Response) suspect(now time.Time, a *attempt, out []Action) []Action {
	a.suspect = true
	if now.Sub(a.engine.Cadence().Last()) >= a.engine.Cadence().Silence(now) {
		a.engine.Doubt(now)
	}
	r.stats.suspicions++
	r.stats.lose(now)
	if len(r.live) >= maxLive {
		oldest := r.live[0]
		out = r.cancel(oldest, out)
		r.drop(oldest)
	}
	r.shun(a.engine)
	return r.open(now, out)
}

// open starts an attempt on a chosen engine, or waits for one.
func (r *Response) open(now time.Time, out []Action) []Action {
	e := r.policy.choose(now, r, r.avoid)
	r.waiting = e == nil && !r.healthy()
	if e == nil {
		return out
	}
	a := r.begin(now, e)
	r.taken++
	prefix := r.tokens[:len(r.tokens):len(r.tokens)]
	if r.policy.restart {
		prefix = nil
	}
	return append(out, Action{
		kind:    Open,
		request: r.request,
		engine:  e,
		vm:      e.VM(),
		version: r.version,
		attempt: a.number,
		prefix:  prefix,
	})
}

// attach takes over the stream that the engine retains.
func (r *Response) attach(now time.Time, e *fleet.Engine, source uint32, out []Action) []Action {
	a := r.begin(now, e)
	a.attached = true
	r.taken++
	return append(out, Action{
		kind:    Attach,
		request: r.request,
		engine:  e,
		vm:      e.VM(),
		version: r.version,
		attempt: a.number,
		source:  source,
		offset:  len(r.tokens),
	})
}

func (r *Response) begin(now time.Time, e *fleet.Engine) *attempt {
	a := &attempt{
		number:  r.next,
		engine:  e,
		started: now,
		resume:  r.Continues(),
		timeout: r.policy.timeout,
	}
	r.next++
	r.stats.attempts++
	r.live = append(r.live, a)
	e.Begin(a.resume)
	r.waiting = false
	return a
}

// fence cancels every attempt but the one that gave the accepted token. A
// stream that was opened with a shorter prefix must never continue this one.
func (r *Response) fence(winner *attempt, out []Action) []Action {
	if winner.suspect {
		r.stats.falseAlarms++
		winner.suspect = false
	}
	winner.engine.Trust()
	r.waiting = false
	if len(r.live) == 1 {
		return out
	}
	for _, a := range slices.Clone(r.live) {
		if a != winner {
			out = r.cancel(a, out)
			r.drop(a)
		}
	}
	return out
}

// emit delivers the newest token unless the caller already has it.
func (r *Response) emit(now time.Time, text string, out []Action) []Action {
	n := len(r.tokens)
	if n == r.from && r.digest != r.request.Resume().Digest() {
		return r.fail(now, errs.New(errs.Lost, errs.Ran, "the first %d tokens could not be reproduced", n), out)
	}
	if n <= r.from {
		return out
	}
	r.avoid = nil
	return append(out, Action{
		kind:    Emit,
		request: r.request,
		output:  NewChunk(text, r.position()),
	})
}

// note records why an attempt ended, for membership and statistics.
func (r *Response) note(now time.Time, a *attempt, cause Cause) {
	switch cause {
	case Reset:
		if a.last.IsZero() {
			a.engine.Broke(now)
			r.stats.breaks++
		}
	case Unreachable:
		a.engine.Fell()
		r.stats.losses++
	case Departing:
		a.engine.Left()
		r.stats.losses++
	case Bad:
		r.stats.errors++
	}
	if !a.attached && (cause == Refused || cause == Departing || cause == Absent || cause == Unreachable) {
		r.taken--
	}
	if cause != Refused && cause != Departing {
		r.stats.lose(now)
	}
}
