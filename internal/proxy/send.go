package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// maxUnrun is the number of attempts in a row that were refused or not
	// sent, after which the caller is told to come back.
	maxUnrun = 5
	// resumeRank is how much more urgent a resumed stream is than a new one,
	// because its caller waits for the next piece.
	resumeRank = 2
	// newRank is the rank of new work towards an engine; ranks run from 0 to 9.
	newRank = 5
	// minLeft is the time below which an attempt is not started, since no
	// upstream answers that fast.
	minLeft = 10 * time.Millisecond
)

// begin starts an attempt with a full read: at the best of all upstreams of a
// plain service, or at the best of a few engines that are asked first.
func (c *Core) begin(now time.Time, x *exchange, reason string) {
	if x.need.Memory() > 0 {
		c.place(now, x, reason)
		return
	}
	c.launch(now, x, reason)
}

// launch starts an attempt at the best upstream, or ends the exchange if there
// is none.
func (c *Core) launch(now time.Time, x *exchange, reason string) {
	if x.end.Sub(now) < minLeft {
		c.fail(now, x, "no time left", errs.Expired)
		return
	}
	up := c.pool.Pick(now, x.need, x.skips)
	if up == nil && (x.stream() || x.reply != nil) {
		// A stream may go to an upstream again that refused it before, and a
		// lookup to the only one, which answered with a failure.
		up = c.pool.Pick(now, x.need, x.misfit)
	}
	if up == nil && c.fallBack(x) {
		up = c.pool.Pick(now, x.need, x.skips)
	}
	if up == nil {
		c.noUpstream(now, x)
		return
	}
	c.send(now, x, up, up.ID(), false, reason)
}

// send starts an attempt that must run at the incarnation. It continues from a
// standby copy if copied is true.
func (c *Core) send(now time.Time, x *exchange, up *pool.Upstream, instance string, copied bool, reason string) {
	c.sendFrom(now, x, up, Action{
		instance: instance,
		copied:   copied,
		reason:   reason,
	})
}

// sendFrom starts an attempt; how holds the instance, the copy that it
// continues from, and the reason.
func (c *Core) sendFrom(now time.Time, x *exchange, up *pool.Upstream, how Action) {
	a := &attempt{
		number: len(x.attempts) + 1,
		up:     up,
		copied: how.copied,
		source: how.source,
		handle: how.handle,
		sent:   now,
		last:   now,
	}
	x.attempts = append(x.attempts, a)
	x.retryAt = time.Time{}
	x.survey = nil
	up.AddAttempt(now, x.tokens, x.stream())
	if c.copies(x) {
		a.holder = c.pool.PickCopy(now, x.need, up, x.skips)
		if a.holder != nil {
			a.holder.AddCopyTokens(x.tokens)
		}
	}
	rank := newRank
	if x.opened {
		rank -= resumeRank
	}
	tenant := ""
	if x.workspace != nil {
		tenant = x.workspace.Name()
	}
	how.kind, how.attempt, how.upstream, how.holder = Send, a.number, up, a.holder
	how.stream, how.position, how.until = x.stream(), x.position, x.end
	how.rank, how.tenant = rank, tenant
	c.act(x, how)
	c.plan(now, x)
}

// copies reports whether runs of the exchange are copied to another engine.
func (c *Core) copies(x *exchange) bool {
	if x.need.Memory() == 0 || !x.route.Repeatable() {
		return false
	}
	s := c.table.Service(x.need.Service())
	return s != nil && s.Engine() != nil && s.Engine().KeepsStandbyCopies()
}

// allowed takes a repeated send from the service's budget.
func (c *Core) allowed(now time.Time, x *exchange) bool {
	return c.budget(x.need.Service()).Take(now)
}

// lost applies the end of an attempt that brought no answer.
func (c *Core) lost(now time.Time, x *exchange, a *attempt, e Event) {
	c.end(x, a)
	c.judgeLost(now, x, a, e.cause)
	switch e.cause {
	case Unsent, Silent:
		c.fell(now, a.up)
	case Broken:
		// The upstream may have lost only this answer.
		if x.need.Memory() > 0 {
			c.ask(now, a.up, "", "broken")
		}
	case Moved:
		c.moved(now, x, a, e.instance)
	case Stalled:
		a.up.BackOff(now)
	case NotRun:
		if !a.copied {
			a.up.BackOff(now)
		}
	case Garbled:
		a.up.RecordFault(now)
	}
	if e.cause.mayHaveRun() {
		if !a.copied {
			// What continues from a copy is the same run.
			x.ran++
		}
		x.unrun = 0
		a.up.RecordFault(now)
	} else {
		x.unrun++
	}
	if len(x.running()) > 0 {
		return
	}
	if x.stream() {
		c.recover(now, x, a, e)
		return
	}
	c.again(now, x, e)
}

// moved notes that another incarnation has the upstream's address. An engine is
// asked what it is, because the registry may lag or be away.
func (c *Core) moved(now time.Time, x *exchange, a *attempt, instance string) {
	if a.up.Gone() {
		return
	}
	a.up.MarkReplaced()
	if instance == "" || x.need.Memory() == 0 || c.pool.Get(instance) != nil {
		return
	}
	c.ask(now, a.up, instance, "moved")
}

// fell notes that an upstream does not answer, and asks the others of a failure
// domain that seems to be hit for a sign of life.
func (c *Core) fell(now time.Time, up *pool.Upstream) {
	c.pool.RecordUnreachable(now, up)
	for _, x := range c.ordered() {
		for _, a := range x.running() {
			if x.need.Memory() > 0 && c.pool.Suspect(now, a.up) {
				c.ask(now, a.up, "", "domain hit")
			}
		}
	}
}
