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
// silent is true if the connection may no longer work, because nothing has arrived
// on it while another engine answered or the same one answered on others.
func (c *Core) trackCancelled(now time.Time, x *exchange, a *attempt, silent bool) {
	if !x.stream() || x.need.Memory() == 0 {
		return
	}
	c.cancelled.Add(now, reap.Run{
		Instance: a.instance,
		Address:  a.upstream.Address(),
		Request:  x.q.ID(),
		Other:    c.otherEngine(now, a),
		Begun:    a.begun,
		Until:    x.deadline,
	}, silent)
}

// otherEngine returns the address of an engine that may be offered the memory of
// the attempt's run, or "". It is the one that has an ordered copy of the run, which
// is then only refreshed, or the least used one that the request does not go on at.
func (c *Core) otherEngine(now time.Time, a *attempt) string {
	if a.onDemandCopy.handle != "" {
		return a.onDemandCopy.holder.Address()
	}
	other := a.holder
	for _, u := range c.pool.Service(a.upstream.Entry().Service()) {
		if u == a.holder || u.Address() == a.upstream.Address() || !available(now, u) || u.Entry().Version() != a.upstream.Entry().Version() {
			continue
		}
		if other == a.holder || u.Tokens() < other.Tokens() {
			other = u
		}
	}
	if other == nil {
		return ""
	}
	return other.Address()
}

// stopCancelled orders engines to stop the cancelled runs that are due. An order to
// an engine that rests is put off.
func (c *Core) stopCancelled(now time.Time) {
	for _, o := range c.cancelled.Due(now) {
		if u := c.pool.Get(o.Run().Instance); u != nil && !u.PermitMessage(now) {
			c.cancelled.Answer(now, o, reap.Refused)
			continue
		}
		c.actions = append(c.actions, Action{
			kind:    StopRun,
			stop:    o,
			timeout: stopTimeout,
			reason:  "cancelled",
		})
	}
}
