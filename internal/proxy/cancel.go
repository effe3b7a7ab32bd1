package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/reap"
)

// stopTimeout bounds an order to stop a run. A new connection and a request take
// two round trips of 24 ms between regions.
const stopTimeout = 200 * time.Millisecond

// trackCancelled tracks the run of an attempt that ended without an answer until
// its engine is known to have ended it, since the request goes on at another
// engine. The engine may not learn that the attempt's connection was closed.
// silent is true if the connection has delivered nothing for long although the
// engine may be alive.
func (c *Core) trackCancelled(now time.Time, x *exchange, a *attempt, silent bool) {
	if !x.stream() || x.need.Memory() == 0 {
		return
	}
	c.cancelled.Add(now, reap.Run{
		Upstream: a.upstream.ID(),
		Address:  a.upstream.Address(),
		Request:  x.q.ID(),
		Other:    c.otherEngine(a),
		Begun:    a.begun,
	}, silent)
}

// otherEngine returns the address of an engine that may be offered the memory of
// the attempt's run: the holder of its standby copy, which has most of it.
func (c *Core) otherEngine(a *attempt) string {
	if a.holder != nil {
		return a.holder.Address()
	}
	for _, u := range c.pool.Service(a.upstream.Entry().Service()) {
		if u.Usable() && u.Address() != a.upstream.Address() {
			return u.Address()
		}
	}
	return ""
}

// stopCancelled orders engines to stop the cancelled runs that are due.
func (c *Core) stopCancelled(now time.Time) {
	for _, o := range c.cancelled.Due(now) {
		c.actions = append(c.actions, Action{
			kind:    StopRun,
			stop:    o,
			timeout: stopTimeout,
			reason:  "cancelled",
		})
	}
}
