package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// lookupHedgeShare is the fraction of a lookup's goal after which a second
	// upstream is asked. The remaining time must suffice for a whole answer.
	lookupHedgeShare = 0.4
	// minHedgeDelay keeps the delay of a hedge above the round trip between
	// regions plus the usual processing time.
	minHedgeDelay = 55 * time.Millisecond
)

// scheduleHedge sets the time of the next hedge, if one is allowed.
func (c *Core) scheduleHedge(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	goal := x.route.Goal()
	if goal == 0 || len(x.running()) > 1 || x.possibleRuns+1 >= x.route.Attempts() {
		return
	}
	switch {
	case x.route.Kind() == table.Lookup:
		x.hedgeAt = now.Add(max(time.Duration(lookupHedgeShare*float64(goal)), minHedgeDelay))
	case x.stream() && !x.headSent && x.route.Repeatable():
		x.hedgeAt = now.Add(time.Duration(streamHedgeShare * float64(goal)))
	}
}

// hedge starts a second attempt beside a slow one.
func (c *Core) hedge(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	if !c.canHedge(x) {
		return
	}
	// A second read of a prompt that is not in time only delays the other runs there.
	first, due := x.running()[0], x.arrived.Add(x.route.Goal())
	if times := c.beginnings[x.need.Service()]; times != nil && x.stream() && !times.Pays(now, first.sent, due) {
		x.hedgeAt = times.StuckAt(first.sent, due)
		return
	}
	first.upstream.RecordFault(now)
	if x.need.Memory() > 0 {
		c.placeOnEngine(now, x, "hedge")
		return
	}
	upstream := c.pool.Pick(now, x.need, x.excludes)
	if upstream == nil || upstream.BackingOff(now) || upstream.Limit() > 0 || !c.allowed(now, x) {
		return
	}
	c.send(now, x, upstream, "hedge")
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
	if !answer.promisesNotRun() {
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
