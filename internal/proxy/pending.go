package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

const (
	// pendingShare is the fraction of the caller's timeout for which a request
	// waits for the first configuration. A new VM receives it within 100 ms if
	// the store answers, and callers retry only once.
	pendingShare = 0.3
	// maxPendingWait is the upper limit of that wait.
	maxPendingWait = 1500 * time.Millisecond
)

// pendingRequest is a request that arrived before the first routing table or
// upstream.
type pendingRequest struct {
	q        *Request
	deadline time.Time
}

// holdPending queues a request until the first configuration arrives.
func (c *Core) holdPending(now time.Time, q *Request) {
	if len(c.pending) >= maxInFlight {
		c.reject(q, errs.Unavailable, "no configuration yet", q.RetryAfter())
		return
	}
	wait := min(time.Duration(pendingShare*float64(q.Spec().Wait)), maxPendingWait)
	c.pending = append(c.pending, pendingRequest{
		q:        q,
		deadline: now.Add(wait),
	})
}

// admitPending admits the queued requests once there are a routing table and an
// upstream.
func (c *Core) admitPending(now time.Time) {
	if c.table == nil || c.pool.Len() == 0 {
		return
	}
	kept := c.pending
	c.pending = nil
	for _, e := range kept {
		c.arrive(now, e.q)
	}
}

// expirePending refuses the queued requests whose wait has expired.
func (c *Core) expirePending(now time.Time) {
	rest := c.pending[:0]
	for _, e := range c.pending {
		if now.Before(e.deadline) {
			rest = append(rest, e)
			continue
		}
		c.reject(e.q, errs.Unavailable, "no configuration yet", e.q.RetryAfter())
	}
	c.pending = rest
}
