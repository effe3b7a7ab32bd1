package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
)

// maxPatience bounds the timeout of state queries, which grows while the VM hears
// nothing.
const maxPatience = time.Second

// checkAlive queries the state of an engine that may be dead, and that of another one
// as a witness: if neither answers, the VM itself may be out of reach.
func (c *Core) checkAlive(now time.Time, u *pool.Upstream, reason string) {
	if !c.queryState(now, u, "", reason) || c.witnessAt.Equal(now) {
		return
	}
	w := c.pool.Witness(now, u, func(w *pool.Upstream) bool {
		_, ok := c.stateQueries[stateQueryKey(w.ID(), "")]
		return ok
	})
	if w != nil {
		c.witnessAt = now
		c.queryState(now, w, "", "witness")
	}
}

// noteAnswer records that an upstream answered a query that began at a time. A refused
// connection is an answer as well.
func (c *Core) noteAnswer(began time.Time) {
	c.answered = later(c.answered, began)
	c.unheard = 0
}

// atFault reports whether the silence of an engine to a query that began at a time is
// the engine's: another upstream answered a query that began no earlier, or there is no
// other one. The silence of all is charged to the VM or its link.
func (c *Core) atFault(now time.Time, u *pool.Upstream, began time.Time) bool {
	return !c.answered.Before(began) || c.pool.Witness(now, u, func(*pool.Upstream) bool { return false }) == nil
}

// heardSince reports whether the VM has received something since the time t that shows
// that it is not out of reach: a message of the upstream, or the answer of any other one
// to a query that began since then.
func (c *Core) heardSince(u *pool.Upstream, t time.Time) bool {
	return !c.answered.Before(t) || u.LastActivity().After(t)
}

// later returns the later one of two times.
func later(t, u time.Time) time.Time {
	if u.After(t) {
		return u
	}
	return t
}

// checkAgain queries the state of an engine once more after a silence that is not known
// to be the engine's, if attempts run there. The timeout doubles from the second time
// on, since each query that is given up costs a new connection.
func (c *Core) checkAgain(now time.Time, u *pool.Upstream) {
	c.unheard++
	for _, x := range c.inFlight {
		for _, a := range x.running() {
			if a.upstream == u {
				c.checkAlive(now, u, "unheard")
				return
			}
		}
	}
}

// patience returns the timeout of a state query.
func (c *Core) patience() time.Duration {
	t := queryTimeout
	for range c.unheard - 1 {
		t = min(2*t, maxPatience)
	}
	return t
}
