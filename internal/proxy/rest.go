package proxy

import (
	"cmp"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// returnSpread is the range of the random delay with which requests that waited
	// for the end of a rest are sent, so that they do not arrive together.
	returnSpread = 300 * time.Millisecond
	// retrySpread is the range of a random addition to the Retry-After time, as a
	// fraction of it, within minRetrySpread and maxRetrySpread.
	retrySpread    = 0.25
	minRetrySpread = 100 * time.Millisecond
	maxRetrySpread = time.Second
)

// afterRest is the reason of an attempt that waited for the end of a rest.
const afterRest = "after a rest"

// noUpstream handles a request that no upstream can take at present. A stream that
// has started is retried. If all upstreams rest, the request waits for the first one
// that returns in time. Any other request fails.
func (c *Core) noUpstream(now time.Time, x *exchange) {
	if c.awaitLimit(now, x) {
		return
	}
	first, resting := c.firstReturn(now, x)
	if x.stream() && x.headSent {
		x.retryAt = now.Add(retryPause)
		if resting && first.After(x.retryAt) {
			x.retryAt = first
		}
		return
	}
	if !resting {
		c.fail(now, x, "no upstream", errs.Upstream)
		return
	}
	at := first.Add(c.spread(returnSpread))
	if !c.mayWait(x, at) {
		c.fail(now, x, "all upstreams rest", errs.Upstream)
		return
	}
	x.returnAt, x.waited = at, true
}

// mayWait reports whether waiting until the time at serves the caller: the request can
// still be served by its deadline, or a stream on time, before a draining VM stops.
func (c *Core) mayWait(x *exchange, at time.Time) bool {
	if c.draining && !c.fitsBeforeStop(at, x.route, x.q, x.deadline) {
		return false
	}
	goal := x.route.Goal()
	if x.stream() && goal > 0 && at.After(x.arrived.Add(goal)) {
		// The stream would be late, and may be on time at another VM.
		return false
	}
	return x.deadline.Sub(at) >= max(goal, minTimeLeft)
}

// reviewWaiting reconsiders the requests that wait for an upstream after a change of
// the upstreams that may serve them. A request ends if no upstream returns in time any
// more. If some were added, it is sent soon if there is one that does not rest.
func (c *Core) reviewWaiting(now time.Time, added bool) {
	for _, x := range c.waiting() {
		if x.awaited != nil {
			c.reviewAwaited(now, x)
			c.resetAlarm(x)
			continue
		}
		first, resting := c.firstReturn(now, x)
		switch {
		case x.returnAt.IsZero():
			if soon := now.Add(retryPause); added && soon.Before(x.retryAt) && c.pool.Pick(now, x.need, x.wrongVersion) != nil {
				x.retryAt = soon
			}
		case resting && !x.returnAt.Before(first) && c.mayWait(x, x.returnAt):
		case !resting && c.pool.Pick(now, x.need, x.wrongVersion) != nil:
			if soon := now.Add(c.spread(returnSpread)); added && soon.Before(x.returnAt) {
				x.returnAt = soon
			}
		default:
			x.returnAt = time.Time{}
			c.noUpstream(now, x)
		}
		c.resetAlarm(x)
	}
}

// waiting returns the requests that wait for the end of a rest and the streams that
// wait for a retry, in order of arrival.
func (c *Core) waiting() []*exchange {
	var list []*exchange
	for _, x := range c.inFlight {
		if !x.returnAt.IsZero() || !x.retryAt.IsZero() {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.q.Number(), b.q.Number()) })
	return list
}

// firstReturn returns the earliest end of a rest if all upstreams rest that the
// request may be sent to. Those that have refused it and do not rest do not count.
func (c *Core) firstReturn(now time.Time, x *exchange) (time.Time, bool) {
	mayResend := x.stream() || x.reply != nil || x.waited
	return c.pool.FirstReturn(now, x.need.Service(), func(u *pool.Upstream) bool {
		return x.wrongVersion(u) || !mayResend && x.tried(u) && !u.Resting(now)
	})
}

// retryAfter returns the Retry-After time for a request that did not run: the first
// end of a rest if all upstreams rest. Another VM may take the requests of a draining
// one before that.
func (c *Core) retryAfter(now time.Time, x *exchange) time.Duration {
	if left, limited := c.limitedRetry(now, x); limited {
		return left
	}
	first, resting := c.firstReturn(now, x)
	if !resting {
		return x.q.RetryAfter()
	}
	left := max(first.Sub(now), retrySoon)
	if c.draining {
		left = retrySoon
	}
	return left + c.spread(min(max(time.Duration(retrySpread*float64(left)), minRetrySpread), maxRetrySpread))
}

// spread returns a random time below d.
func (c *Core) spread(d time.Duration) time.Duration { return time.Duration(c.random() * float64(d)) }
