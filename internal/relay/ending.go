package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

func (r *Response) fail(now time.Time, p *errs.Problem, out []Action) []Action {
	if r.ended {
		return out
	}
	for _, a := range r.live {
		out = r.cancel(a, out)
		a.release()
	}
	r.live = nil
	r.stats.recordFailure(now, p)
	out = append(out, Action{
		kind:    Emit,
		request: r.request,
		output:  NewFailed(p, r.position()),
	})
	return r.end(out)
}

// expire ends a response whose deadline passed. If no engine ever accepted an
// attempt, the request is refused as not run.
func (r *Response) expire(now time.Time, out []Action) []Action {
	if r.outcome() == errs.NotRun {
		p := errs.New(errs.Overload, errs.NotRun, "no engine became free before the deadline").WithRetry(time.Second)
		return r.fail(now, p, out)
	}
	return r.fail(now, errs.New(errs.Expired, r.outcome(), "deadline passed after %d tokens", len(r.tokens)), out)
}

// abandon ends the response of a caller that disconnected and did not reconnect
// within the grace period.
func (r *Response) abandon(out []Action) []Action {
	for _, a := range r.live {
		out = r.cancel(a, out)
		a.release()
	}
	r.live = nil
	r.stats.abandoned = true
	return r.end(out)
}

func (r *Response) end(out []Action) []Action {
	r.ended = true
	r.waiting = false
	return append(out, Action{
		kind:    End,
		request: r.request,
	})
}

func (r *Response) cancel(a *attempt, out []Action) []Action {
	return append(out, Action{
		kind:    Cancel,
		request: r.request,
		engine:  a.engine,
		vm:      a.engine.VM(),
		attempt: a.number,
	})
}

// outcome returns whether the request ran, as far as is known.
func (r *Response) outcome() errs.Outcome {
	switch {
	case r.Continues():
		return errs.Ran
	case r.acceptedAttempts > 0:
		return errs.Unknown
	default:
		return errs.NotRun
	}
}
