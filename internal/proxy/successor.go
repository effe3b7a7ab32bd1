package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
)

// misdirectedResume is an attempt to resume from a copy that another incarnation than
// the copy's holder received, with the event that tells so.
type misdirectedResume struct {
	attempt *attempt
	lost    Event
}

// misdirected handles an attempt that another incarnation received at the
// upstream's address. The state of an unknown engine is queried, because the
// registry may lag or be unreachable.
func (c *Core) misdirected(now time.Time, x *exchange, a *attempt, instance string) {
	if a.upstream.Gone() {
		return
	}
	a.upstream.MarkReplaced()
	if instance == "" || x.need.Memory() == 0 || c.pool.Get(instance) != nil {
		return
	}
	c.queryState(now, a.upstream, instance, "moved")
}

// successor returns the incarnation with the given id if a resume that it received in
// place of the holder of a copy may be sent to it, or else nil. It must be known as an
// upstream of the request's service, since addresses pass between services.
func (c *Core) successor(now time.Time, x *exchange, a *attempt, instance string) *pool.Upstream {
	u := c.pool.Get(instance)
	if u == nil || u.Entry().Service() != x.need.Service() || u.Address() != a.upstream.Address() || !u.Available(now) || c.versionFull(x, u) {
		return nil
	}
	return u
}

// awaitSuccessor makes a resume that another incarnation received wait for that one's
// state if it is being queried, and reports whether it did.
func (c *Core) awaitSuccessor(now time.Time, x *exchange, a *attempt, e Event) bool {
	if !a.copied || e.cause != Misdirected || x.copyFollowed || c.pool.Refuses(now, e.instance) {
		return false
	}
	if _, ok := c.stateQueries[stateQueryKey(a.upstream.ID(), e.instance)]; !ok {
		return false
	}
	x.misdirected = &misdirectedResume{
		attempt: a,
		lost:    e,
	}
	return true
}

// resumeMisdirected continues the streams that waited for the state of the
// incarnation that received their resume in place of the upstream.
func (c *Core) resumeMisdirected(now time.Time, upstream, instance string) {
	for _, x := range c.sortedExchanges() {
		m := x.misdirected
		if m == nil || m.attempt.upstream.ID() != upstream || m.lost.instance != instance {
			continue
		}
		x.misdirected = nil
		c.recoverStream(now, x, m.attempt, m.lost)
		c.resetAlarm(x)
	}
}
