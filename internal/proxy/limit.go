package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// limitWaitShare is the fraction of its goal for which a request waits at most
	// until the limit of an upstream permits it. The rest is left for its work.
	limitWaitShare = 0.5
	// maxReturnTime bounds the time after which a request that was refused because of
	// limits is told to come back.
	maxReturnTime = 10 * time.Second
	// startedStreamDebt is the number of requests by which the rest of a started
	// stream may go beyond the limit of an upstream, since its caller waits.
	startedStreamDebt = 2
)

// afterLimit is the reason of an attempt that waited for the limit of an upstream.
const afterLimit = "within the limit"

// atLimits is the reason of the refusal of a request that no upstream's limit permits
// in time.
const atLimits = "upstreams at their limits"

// others returns the number of requests that the limit of an upstream must leave for
// more urgent requests than this one.
func (c *Core) others(x *exchange) int {
	switch {
	case x.headSent:
		return -startedStreamDebt
	case c.rank(x) > c.table.TopPriority(x.need.Service()):
		return 1
	default:
		return 0
	}
}

// rank returns the rank of a request; 0 is the most urgent.
func (c *Core) rank(x *exchange) int {
	return x.workspace.Rank(x.route)
}

// awaitLimit handles a request that no upstream can take at present if one can once
// its limit permits it. A request waits for that if it can be served by its goal, and
// is failed at once otherwise. It reports false if the limit of no upstream matters.
func (c *Core) awaitLimit(now time.Time, x *exchange) bool {
	u, at := c.pool.Earliest(now, x.need, c.mayNotTake(x))
	switch {
	case u == nil:
		return false
	case x.headSent:
		x.retryAt = now.Add(retryPause)
		if at.After(x.retryAt) {
			x.retryAt = at
		}
		return true
	case at.After(x.arrived.Add(limitWait(x))) || c.others(x) > 0 || !c.mayWait(x, at):
		c.fail(now, x, atLimits, errs.Upstream)
		return true
	}
	u.Take(now)
	x.awaited, x.returnAt, x.waited = u, at, true
	return true
}

// isCrowdedOut reports whether the upstream is only the best for a request since
// others are at their limits, and has no room itself. What others do not take would
// pile up there.
func (c *Core) isCrowdedOut(now time.Time, x *exchange, u *pool.Upstream) bool {
	if x.headSent || !u.BackingOff(now) && !u.Crowded(now) {
		return false
	}
	first, at := c.pool.Earliest(now, x.need, c.mayNotTake(x))
	return first != nil && first != u && now.Before(at)
}

// limitWait returns how long after its arrival a request waits at most for the limit
// of an upstream.
func limitWait(x *exchange) time.Duration {
	wait := x.route.Goal()
	if wait == 0 {
		wait = x.deadline.Sub(x.arrived)
	}
	return time.Duration(limitWaitShare * float64(wait))
}

// mayNotTake returns a function that reports whether an upstream may not be sent the
// request even when its limit permits it.
func (c *Core) mayNotTake(x *exchange) func(*pool.Upstream) bool {
	mayResend := x.stream() || x.reply != nil
	return func(u *pool.Upstream) bool { return x.wrongVersion(u) || !mayResend && x.tried(u) }
}

// sendAwaited sends a request that has waited to the upstream that set it aside, and
// reports whether it did.
func (c *Core) sendAwaited(now time.Time, x *exchange, reason string) bool {
	u := x.awaited
	if u == nil {
		return false
	}
	if !u.Usable() || u.Resting(now) || x.wrongVersion(u) || x.fence.excludes(u) {
		x.awaited = nil
		return false
	}
	if reason == afterRest {
		reason = afterLimit
	}
	c.send(now, x, u, reason)
	return true
}

// reviewAwaited sends a request elsewhere whose upstream can't take it any more.
func (c *Core) reviewAwaited(now time.Time, x *exchange) {
	if u := x.awaited; u.Usable() && !u.Resting(now) && !x.wrongVersion(u) {
		return
	}
	x.awaited, x.returnAt = nil, time.Time{}
	c.startAttempt(now, x, afterLimit)
}

// limitedRetry returns the Retry-After time for a request that was refused because of
// limits, and false if they do not matter. Callers are told times that follow one
// another at the rate of the limits, so that they do not come back together.
func (c *Core) limitedRetry(now time.Time, x *exchange) (time.Duration, bool) {
	u, at := c.pool.Earliest(now, x.need, c.mayNotTake(x))
	if u == nil || !now.Before(at) {
		return 0, false
	}
	if c.draining {
		return retrySoon + c.spread(minRetrySpread), true
	}
	service := x.need.Service()
	at = c.returns.Next(service, at, now.Add(maxReturnTime), c.pool.Interval(now, service))
	return max(at.Sub(now), retrySoon) + c.spread(minRetrySpread), true
}
