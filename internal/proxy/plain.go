package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

// scheduleHedge sets the time of the next hedge, if one is allowed.
func (c *Core) scheduleHedge(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	if x.route.Goal() == 0 || len(x.running()) > 1 || x.possibleRuns+1 >= x.route.Attempts() {
		return
	}
	if x.route.Kind() == table.Lookup || x.stream() && !x.headSent && x.route.Repeatable() {
		x.hedgeAt = c.hedges.At(now, x.beside(x.attempts[len(x.attempts)-1]))
	}
}

// beside describes an attempt to the decision about a hedge.
func (x *exchange) beside(a *attempt) hedge.Attempt {
	return hedge.Attempt{
		Service: x.need.Service(),
		Route:   x.route.Name(),
		Stream:  x.stream(),
		Goal:    x.route.Goal(),
		Arrived: x.arrived,
		Sent:    a.sent,
	}
}

// hedge starts a second attempt beside a slow one.
func (c *Core) hedge(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	if !c.canHedge(x) {
		return
	}
	if x.placement != nil && c.hedges.Limited() {
		x.hedgeAt = x.placement.deadline
		return
	}
	first := x.running()[0]
	pays, again := c.hedges.Pays(now, x.beside(first))
	if x.hedgeAt = again; !again.IsZero() {
		return
	}
	if at := c.hedges.LateAt(x.beside(first)); now.Before(at) {
		// The upstream is not known to be slow yet. If there is no hedge until then, this is
		// reviewed again.
		x.hedgeAt = at
	} else {
		first.upstream.RecordFault(now)
	}
	if !pays {
		return
	}
	if x.need.Memory() > 0 {
		c.placeOnEngine(now, x, "hedge")
		return
	}
	if upstream := c.pool.Pick(now, x.need, c.mayNotHedge(now, x)); c.takeHedge(now, x, upstream) {
		c.send(now, x, upstream, "hedge")
	}
}

// mayNotHedge returns a function that reports whether an upstream may not be sent a hedge.
// Under a limit, that includes those that have no free slot or no memory, so that hedges
// stop where all upstreams have queues.
func (c *Core) mayNotHedge(now time.Time, x *exchange) func(*pool.Upstream) bool {
	return func(u *pool.Upstream) bool {
		return x.excludes(u) || c.hedges.Limited() && !c.pool.HasSpace(now, x.need, u)
	}
}

// takeHedge reports whether a hedge may be sent to the upstream, and takes it from the
// limit of hedges and from the budget of repeats.
func (c *Core) takeHedge(now time.Time, x *exchange, u *pool.Upstream) bool {
	if u == nil || x.deadline.Sub(now) < minTimeLeft || c.mayNotHedge(now, x)(u) || u.BackingOff(now) || u.Limit() > 0 || !c.canHedge(x) {
		return false
	}
	sent, denial := c.hedges.Take(now, x.beside(x.running()[0]), c.budgets.Of(x.need.Service()), x.budgetShare())
	if denial != nil {
		c.emit(x, Action{
			kind:     Denied,
			position: denial.Left(),
			timeout:  denial.More(),
			reason:   denial.Reason(),
		})
	}
	return sent
}

// canHedge reports whether exactly one attempt runs and its answer has not
// started.
func (c *Core) canHedge(x *exchange) bool {
	return len(x.running()) == 1 && !x.headSent && !x.fence.closed
}

// retryPlain retries or fails a request other than a stream after an attempt
// without an answer.
func (c *Core) retryPlain(now time.Time, x *exchange, e Event) {
	switch {
	case e.cause.mayHaveRun() && !x.mayRepeat():
		c.fail(now, x, e.cause.String(), errs.Upstream)
	case x.consecutiveNotRun >= maxConsecutiveNotRun:
		c.fail(now, x, "refused by upstreams", errs.Upstream)
	case !c.allowed(now, x):
		c.fail(now, x, "budget of repeats used up", errs.Upstream)
	default:
		c.startAttempt(now, x, "after "+e.cause.String())
	}
}

// handleReply applies a complete response of an upstream. It can't continue a
// stream that the caller has a part of, so that it counts as a failure then.
func (c *Core) handleReply(now time.Time, x *exchange, a *attempt, answer *Answer) {
	c.endAttempt(now, x, a)
	x.possibleRuns++
	if !answer.Failed() && !x.headSent {
		if x.route.Kind() == table.Lookup {
			c.hedges.Answered(now, x.beside(a), now.Sub(a.sent))
		}
		c.reportOutcome(now, x, a)
		c.reportOvertaken(now, x, a)
		a.upstream.RecordSuccess(now)
		c.finish(now, x, Action{
			kind:   Deliver,
			reason: "answered",
			answer: answer,
		})
		return
	}
	x.pace.Ended(now, true, false)
	c.reportOutcome(now, x, a, move.Errors)
	a.upstream.RecordActivity(now)
	a.upstream.RecordFault(now)
	if !answer.PromisesNotRun() {
		// The upstream of a complete response has not stated that the request did
		// not run, so a status that promises it is not passed on.
		x.reply = answer
	}
	if len(x.running()) > 0 {
		return
	}
	c.repeatFailed(now, x)
}

// repeatFailed sends a request again after a response that can't be its answer, or
// fails it. A started stream waits for the budget of repeats.
func (c *Core) repeatFailed(now time.Time, x *exchange) {
	switch {
	case !x.mayRepeat():
		c.fail(now, x, "failed by upstream", errs.Upstream)
	case c.awaitUpstream(now, x):
	case c.allowed(now, x):
		c.startAttempt(now, x, "after failure")
	case x.headSent:
		x.retryAt = now.Add(retryPause)
	default:
		c.fail(now, x, "failed by upstream", errs.Upstream)
	}
}
