package proxy

import (
	"cmp"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/reap"
)

// maxOthers is the number of engines that are offered the memory of a cancelled run
// in turn.
const maxOthers = 8

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
// of the attempt's run, the best one first. It is the one that has an ordered copy of
// the run, which is then only refreshed, or the least used one that the request does
// not go on at. Equal ones come in random order, since all VMs choose when a failure
// domain is lost. One that seems unable to take the memory is better than none.
func (c *Core) otherEngines(now time.Time, a *attempt) []string {
	var others []*pool.Upstream
	for _, u := range c.pool.Service(a.upstream.Entry().Service()) {
		if u.Address() != a.upstream.Address() && !u.Gone() {
			others = append(others, u)
		}
	}
	for i := range others {
		j := i + int(c.random()*float64(len(others)-i))
		others[i], others[j] = others[j], others[i]
	}
	penalty := func(u *pool.Upstream) int {
		switch {
		case a.onDemandCopy.handle != "" && u == a.onDemandCopy.holder:
			return 0
		case !u.Available(now) || u.Entry().Version() != a.upstream.Entry().Version():
			return 3
		case u == a.holder:
			return 2
		default:
			return 1
		}
	}
	slices.SortStableFunc(others, func(u, v *pool.Upstream) int {
		return cmp.Or(cmp.Compare(penalty(u), penalty(v)), cmp.Compare(u.Tokens(), v.Tokens()))
	})
	var addresses []string
	for _, u := range others[:min(len(others), maxOthers)] {
		addresses = append(addresses, u.Address())
	}
	return addresses
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
