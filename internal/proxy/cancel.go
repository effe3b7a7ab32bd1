package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/offer"
	"clementinelink.example/clementinelink/internal/reap"
)

// stopTimeout bounds an order to stop a run, whose answer comes once the run's memory
// has been moved. Connecting has a limit of its own.
const stopTimeout = time.Second

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
		Service:  a.upstream.Entry().Service(),
		Instance: a.upstream.ID(),
		Address:  a.upstream.Address(),
		Request:  x.q.ID(),
		Others:   c.otherEngines(now, a),
		Copied:   a.onDemandCopy.holder != nil || a.onDemandCopy.handle != "",
		Begun:    a.begun,
		Until:    x.deadline,
	}, silent)
}

// otherEngines returns the addresses of the engines that may be offered the memory
// of the attempt's run, the best one first.
func (c *Core) otherEngines(now time.Time, a *attempt) []string {
	run := offer.Run{
		Engine:  a.upstream,
		Standby: a.holder,
	}
	if a.onDemandCopy.handle != "" {
		run.Ordered = a.onDemandCopy.holder
	}
	return offer.Addresses(now, c.pool.Service(a.upstream.Entry().Service()), run, c.random)
}

// stopCancelled orders engines to stop the cancelled runs that are due. An order to
// an engine that rests is put off.
func (c *Core) stopCancelled(now time.Time) {
	for _, o := range c.cancelled.Due(now) {
		if c.pool.PassedOn(o.Run().Address, o.Run().Service) {
			c.cancelled.Answer(now, o, reap.Replaced)
			continue
		}
		u := c.pool.Get(o.Run().Instance)
		if u != nil && !u.PermitMessage(now) {
			c.cancelled.Answer(now, o, reap.Unanswered)
			continue
		}
		c.actions = append(c.actions, Action{
			kind:     StopRun,
			upstream: u,
			stop:     o,
			timeout:  stopTimeout,
			reason:   "cancelled",
		})
	}
}
