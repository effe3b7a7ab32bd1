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
	first, resting := c.firstReturn(now, x)
	if x.stream() && x.headSent {
		x.retryAt = now.Add(retryPause)
		if silent := x.lastDelivered.Add(maxSilence); resting && first.After(x.retryAt) {
			x.retryAt = first
			if silent.Before(first) {
				x.retryAt = silent
			}
		}
		return
	}
	if !resting {
		c.fail(now, x, "no upstream", errs.Upstream)
		return
	}
	at := first.Add(c.spread(returnSpread))
	if x.deadline.Sub(at) < max(x.route.Goal(), minTimeLeft) {
		c.fail(now, x, "all upstreams rest", errs.Upstream)
		return
	}
	x.returnAt, x.waited = at, true
}

// reviewWaiting reconsiders the requests that wait for the end of a rest after a
// change of the upstreams. A request ends if no upstream returns in time any more,
// and is sent soon if there is one that does not rest.
func (c *Core) reviewWaiting(now time.Time, listed bool) {
	for _, x := range c.waitingForReturn() {
		first, resting := c.firstReturn(now, x)
		switch {
		case resting && !x.returnAt.Before(first):
		case !resting && c.pool.Pick(now, x.need, x.wrongVersion) != nil:
			if soon := now.Add(c.spread(returnSpread)); listed && soon.Before(x.returnAt) {
				x.returnAt = soon
			}
		default:
			x.returnAt = time.Time{}
			c.noUpstream(now, x)
		}
		c.resetAlarm(x)
	}
}

// waitingForReturn returns the requests that wait for the end of a rest, in order of
// arrival.
func (c *Core) waitingForReturn() []*exchange {
	var list []*exchange
	for _, x := range c.inFlight {
		if !x.returnAt.IsZero() {
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
// end of a rest if all upstreams rest.
func (c *Core) retryAfter(now time.Time, x *exchange) time.Duration {
	first, resting := c.firstReturn(now, x)
	if !resting {
		return retryAfter(x.q)
	}
	left := max(first.Sub(now), retrySoon)
	return left + c.spread(min(max(time.Duration(retrySpread*float64(left)), minRetrySpread), maxRetrySpread))
}

// spread returns a random time below d.
func (c *Core) spread(d time.Duration) time.Duration { return time.Duration(c.random() * float64(d)) }
