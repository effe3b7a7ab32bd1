package relay

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
)

// startHedge starts a hedge for a silent attempt. The silent attempt stays live;
// whichever attempt produces the next token first is kept.
func (r *Response) startHedge(now time.Time, a *attempt, out []Action) []Action {
	a.suspect = true
	if now.Sub(a.engine.Cadence().Last()) >= a.engine.Cadence().Silence(now) {
		a.engine.MarkSuspect(now)
	}
	r.stats.suspicions++
	r.stats.recordLoss(now)
	if len(r.live) >= maxLiveAttempts {
		oldest := r.live[0]
		out = r.cancel(oldest, out)
		r.removeAttempt(oldest)
	}
	r.avoidEngine(a.engine)
	return r.open(now, out)
}

// open starts an attempt on an engine chosen by the policy. If no engine accepts
// it and no healthy attempt runs, the response waits.
func (r *Response) open(now time.Time, out []Action) []Action {
	e := r.policy.choose(now, r, r.avoid)
	r.waiting = e == nil && !r.hasHealthyAttempt()
	if e == nil {
		return out
	}
	a := r.startAttempt(now, e)
	r.acceptedAttempts++
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

// attach starts an attempt that takes over the stream which the engine retains
// for the attempt source.
func (r *Response) attach(now time.Time, e *fleet.Engine, source uint32, out []Action) []Action {
	a := r.startAttempt(now, e)
	a.attached = true
	r.acceptedAttempts++
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

func (r *Response) startAttempt(now time.Time, e *fleet.Engine) *attempt {
	a := &attempt{
		number:  r.nextAttempt,
		engine:  e,
		started: now,
		resume:  r.Continues(),
		timeout: r.policy.timeout,
	}
	r.nextAttempt++
	r.stats.attempts++
	r.live = append(r.live, a)
	e.BeginAttempt(a.resume)
	r.waiting = false
	return a
}

// cancelOthers cancels every attempt but the one whose token was accepted. The
// other attempts were opened with a shorter prefix and must not continue the
// response.
func (r *Response) cancelOthers(winner *attempt, out []Action) []Action {
	if winner.suspect {
		r.stats.falseAlarms++
		winner.suspect = false
	}
	winner.engine.ClearSuspicion()
	r.waiting = false
	if len(r.live) == 1 {
		return out
	}
	for _, a := range slices.Clone(r.live) {
		if a != winner {
			out = r.cancel(a, out)
			r.removeAttempt(a)
		}
	}
	return out
}

// emit delivers the latest token unless the caller already has it. It fails the
// response if the regenerated tokens differ from those that the caller received
// before it reconnected.
func (r *Response) emit(now time.Time, text string, out []Action) []Action {
	n := len(r.tokens)
	if n == r.resumeOffset && r.digest != r.request.Resume().Digest() {
		return r.fail(now, errs.New(errs.Lost, errs.Ran, "the first %d tokens could not be reproduced", n), out)
	}
	if n <= r.resumeOffset {
		return out
	}
	r.avoid = nil
	return append(out, Action{
		kind:    Emit,
		request: r.request,
		output:  NewChunk(text, r.position()),
	})
}

// recordLoss updates the state of the engine and the statistics after an attempt
// ended without a finish.
func (r *Response) recordLoss(now time.Time, a *attempt, cause Cause) {
	switch cause {
	case Reset:
		if a.lastToken.IsZero() {
			a.engine.RecordBreak(now)
			r.stats.breaks++
		}
	case Unreachable:
		a.engine.MarkDead()
		r.stats.losses++
	case Departing:
		a.engine.MarkLeaving()
		r.stats.losses++
	case InvalidResponse:
		r.stats.errors++
	}
	if !a.attached && (cause == Refused || cause == Departing || cause == NotFound || cause == Unreachable) {
		r.acceptedAttempts--
	}
	if cause != Refused && cause != Departing {
		r.stats.recordLoss(now)
	}
}
