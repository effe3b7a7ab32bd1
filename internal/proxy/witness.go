package proxy

import (
	"maps"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/heard"
	"clementinelink.example/clementinelink/internal/pool"
)

// maxPatience bounds the timeout of state queries, which grows while the VM hears
// nothing.
const maxPatience = time.Second

// checkAlive queries the state of an engine that may be dead, and that of another one
// as a witness, in another failure domain of its region if there is one.
func (c *Core) checkAlive(now time.Time, u *pool.Upstream, reason string) {
	if !c.queryState(now, u, "", reason) || c.witnessAskedAt.Equal(now) {
		return
	}
	c.witnessAskedAt = now
	if !c.queryWitness(now, u, pool.Beside(now, u)) {
		c.queryWitness(now, u, pool.Anywhere)
	}
}

// checkAgain queries the state of an engine once more after a silence that is not known
// to be the engine's, if attempts run there. A second witness in another region tells
// the silence of a region from that of all upstreams.
func (c *Core) checkAgain(now time.Time, u *pool.Upstream, began time.Time) {
	if now.Sub(began) < queryTimeout/2 {
		// A query that fails at once shows no silence, and would be repeated without a
		// pause. The stream's next check asks again.
		return
	}
	c.paths.Silent(now, u.Entry().Region())
	if !c.hasAttempts(u) {
		return
	}
	if c.queryState(now, u, "", "unheard") {
		c.queryWitness(now, u, pool.Beside(now, u))
		c.queryWitness(now, u, func(w *pool.Upstream) bool { return w.Entry().Region() != u.Entry().Region() })
	}
}

// askAgain queries the state of an engine once more after a query whose timeout was due
// while the VM had paused, if attempts run there. Its silence may have been the VM's.
func (c *Core) askAgain(now time.Time, u *pool.Upstream) {
	if c.hasAttempts(u) {
		c.checkAlive(now, u, "paused")
	}
}

// hasAttempts reports whether attempts are in progress at the upstream.
func (c *Core) hasAttempts(u *pool.Upstream) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(c.inFlight)), func(x *exchange) bool {
		return slices.ContainsFunc(x.running(), func(a *attempt) bool { return a.upstream == u })
	})
}

// queryWitness queries the state of another engine of the service for which match
// returns true, and reports whether there is one that is not being queried.
func (c *Core) queryWitness(now time.Time, u *pool.Upstream, match func(*pool.Upstream) bool) bool {
	w := c.pool.Witness(now, u, func(w *pool.Upstream) bool {
		_, pending := c.stateQueries[stateQueryKey(w.ID(), "")]
		return match(w) && !pending
	})
	return w != nil && c.queryState(now, w, "", "witness")
}

// noteAnswer records that an upstream answered a query that began at a time. A refused
// connection is an answer as well.
func (c *Core) noteAnswer(u *pool.Upstream, began time.Time) {
	if u == nil {
		c.paths.Answered("", "", began)
		return
	}
	c.paths.Answered(u.ID(), u.Entry().Region(), began)
}

// atFault reports whether the silence of an engine to a query that began at a time is the
// engine's.
func (c *Core) atFault(now time.Time, u *pool.Upstream, began time.Time) bool {
	return c.paths.AtFault(now, u.Entry().Region(), began, heard.Witnesses{
		Beside:   c.pool.Witness(now, u, pool.Beside(now, u)) != nil,
		Anywhere: c.pool.Witness(now, u, pool.Anywhere) != nil,
	})
}

// heardSince reports whether the VM has received something since the time t that shows
// that the upstream is not out of reach: a message of its own, or an answer from its
// region to a query that began since then.
func (c *Core) heardSince(u *pool.Upstream, t time.Time) bool {
	return !c.paths.Region(u.Entry().Region()).Before(t) || u.LastActivity().After(t)
}
