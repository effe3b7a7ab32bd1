package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/gaps"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// maxConsecutiveNotRun is the number of consecutive attempts that were
	// refused or not sent after which the request fails.
	maxConsecutiveNotRun = 5
	// minTimeLeft is the shortest remaining time in which an attempt is
	// started; no upstream answers faster.
	minTimeLeft = 10 * time.Millisecond
)

// startAttempt starts an attempt that does not resume from a copy. For an
// engine it queries a few candidates first; for a plain service it chooses
// among all upstreams.
func (c *Core) startAttempt(now time.Time, x *exchange, reason string) {
	if x.fence.closed {
		c.failCharged(now, x)
		return
	}
	x.need = x.need.WithOthers(c.others(x))
	if c.sendAwaited(now, x, reason) {
		return
	}
	if x.need.Memory() > 0 {
		c.placeOnEngine(now, x, reason)
		return
	}
	c.sendToBest(now, x, reason)
}

// sendToBest starts an attempt at the best upstream in the pool, or handles the
// lack of one.
func (c *Core) sendToBest(now time.Time, x *exchange, reason string) {
	if x.deadline.Sub(now) < minTimeLeft {
		c.fail(now, x, "no time left", errs.Expired)
		return
	}
	upstream := c.pool.Pick(now, x.need, x.excludes)
	if upstream == nil && (x.stream() || x.reply != nil || x.waited) {
		// A stream may be sent again to an upstream that refused it, a lookup to its
		// only upstream after a failed response, and any request to an upstream that
		// it has waited for.
		upstream = c.pool.Pick(now, x.need, x.unfit)
	}
	if upstream == nil && c.fallBack(now, x) {
		upstream = c.pool.Pick(now, x.need, x.excludes)
	}
	if upstream == nil || c.isCrowdedOut(now, x, upstream) {
		c.noUpstream(now, x)
		return
	}
	c.send(now, x, upstream, reason)
}

// send starts an attempt that does not resume from a copy.
func (c *Core) send(now time.Time, x *exchange, upstream *pool.Upstream, reason string) {
	c.sendFrom(now, x, upstream, Action{
		reason: reason,
	})
}

// sendFrom starts an attempt that only this incarnation of the upstream may run.
// options holds the copy to resume from and the reason; the other fields of the Send
// action are filled in.
func (c *Core) sendFrom(now time.Time, x *exchange, upstream *pool.Upstream, options Action) {
	a := &attempt{
		number:       len(x.attempts) + 1,
		hedge:        !x.headSent && len(x.running()) > 0,
		upstream:     upstream,
		copied:       options.copied,
		source:       options.source,
		handle:       options.handle,
		sent:         now,
		lastProgress: now,
	}
	x.attempts = append(x.attempts, a)
	c.cancelled.Suspend(upstream.Address(), x.q.ID())
	x.retryAt, x.returnAt, x.denied = time.Time{}, time.Time{}, false
	x.placement = nil
	x.recordVersion(upstream)
	upstream.AddAttempt(now, x.tokens, x.stream())
	if x.awaited == nil {
		upstream.TakeAhead(now)
	}
	x.awaited = nil
	if c.keepsCopies(x) {
		a.holder = c.pool.PickCopy(now, x.need, upstream, x.excludesHolder(upstream))
		if a.holder != nil {
			a.holder.AddCopyTokens(x.tokens)
		}
	}
	options.kind, options.attempt, options.upstream, options.holder = Send, a.number, upstream, a.holder
	options.instance = upstream.ID()
	options.stream, options.position, options.deadline = x.stream(), x.position, x.deadline
	options.workspace = x.workspace.Name()
	if a.number == 1 {
		c.order.Count(now, x.need.Service(), options.workspace, x.tokens)
	}
	options.rank = c.order.Rank(now, x.need.Service(), options.workspace, c.table.Urgency(x.need.Service(), x.route), x.headSent)
	c.emit(x, options)
	c.scheduleHedge(now, x)
}

// keepsCopies reports whether the runs of the exchange are copied to a second
// engine.
func (c *Core) keepsCopies(x *exchange) bool {
	if x.need.Memory() == 0 || !x.route.Repeatable() {
		return false
	}
	s := c.table.Service(x.need.Service())
	return s != nil && s.Engine() != nil && s.Engine().KeepsStandbyCopies()
}

// begunShare is the share of the budget of repeats that is left to streams whose callers
// have output: they stand still without it, and others can be refused.
const begunShare = 0.25

// allowed takes one retry from the service's budget and reports whether it was
// available.
func (c *Core) allowed(now time.Time, x *exchange) bool {
	b := c.budgets.Of(x.need.Service())
	if b.TakeAbove(now, x.budgetShare()) {
		return true
	}
	c.reportDenied(now, x, b)
	return false
}

// mayLeave reports whether an attempt of a stream whose engine may be alive may be given
// up: another one runs, or the stream can go on elsewhere at once. Else it is better off
// with its present attempt.
func (c *Core) mayLeave(now time.Time, x *exchange, a *attempt) bool {
	if len(x.running()) > 1 {
		return true
	}
	runs := x.possibleRuns
	if !a.copied {
		runs++
	}
	if !x.route.Repeatable() || runs >= x.route.Attempts() && c.standbyUnusable(now, x, a) != "" && !c.orderedUsable(now, x, a) {
		return false
	}
	return c.budgets.Of(x.need.Service()).Permits(now, x.budgetShare()) && c.hasPlace(now, x, a)
}

// hasPlace reports whether there is a better place for a stream than an attempt that is
// silent: a copy of its run, or an upstream that is likely to take it. After
// gaps.MaxSilence of the run, or of its engine before the first piece, any other one is. So
// it is for a resume that is overdue.
func (c *Core) hasPlace(now time.Time, x *exchange, a *attempt) bool {
	skip := c.skips(now, x)
	other := func(u *pool.Upstream) bool { return u == a.upstream || skip(u) }
	heard := x.lastDelivered
	if !a.begun && !a.overdue {
		heard = alarm.Later(a.sent, a.upstream.LastActivity())
	}
	if c.standbyUnusable(now, x, a) == "" || c.orderedUsable(now, x, a) ||
		now.Sub(heard) >= gaps.MaxSilence && c.pool.HasUpstream(now, x.need, other) ||
		c.pool.HasRoom(now, x.need, other) {
		return true
	}
	if !a.kept {
		a.kept = true
		c.emit(x, Action{
			kind:    Denied,
			attempt: a.number,
			reason:  "no better place",
		})
	}
	return false
}

// budgetShare returns the share of the budget of repeats that the exchange leaves to others.
func (x *exchange) budgetShare() float64 {
	if x.stream() && !x.headSent {
		return begunShare
	}
	return 0
}

// reportDenied reports that the budget denies a repeat, once for each wait.
func (c *Core) reportDenied(now time.Time, x *exchange, b *budget.Window) {
	if x.denied {
		return
	}
	x.denied = true
	left, more := b.Left(now)
	c.emit(x, Action{
		kind:     Denied,
		position: left,
		timeout:  more,
		reason:   "budget of repeats",
	})
}

// attemptLost applies the end of an attempt without an answer.
func (c *Core) attemptLost(now time.Time, x *exchange, a *attempt, e Event) {
	c.endAttempt(now, x, a)
	c.reportLost(now, x, a, e.cause)
	c.reportCrash(now, x, a, e.cause)
	switch e.cause {
	case Unsent, Silent:
		c.upstreamUnreachable(now, a.upstream)
	case Broken:
		// The upstream may have lost only this answer.
		if x.need.Memory() > 0 {
			c.checkAlive(now, a.upstream, "broken")
		}
	case Misdirected:
		c.misdirected(now, x, a, e.instance)
	case Stalled:
		a.upstream.BackOff(now)
	case NotRun:
		if !a.copied {
			a.upstream.BackOff(now)
		}
	case Garbled, Oversized:
		a.upstream.RecordFault(now)
	}
	if e.cause.mayHaveRun() {
		c.trackCancelled(now, x, a, e.cause == Stalled)
		if !a.copied {
			// An attempt that resumes from a copy belongs to a run that is
			// already counted.
			x.possibleRuns++
			a.counted = true
		}
		x.consecutiveNotRun = 0
		a.upstream.RecordFault(now)
	} else {
		x.consecutiveNotRun++
	}
	if !a.copied {
		x.pace.Ended(now, e.cause.mayHaveRun(), a.begun || e.cause >= Silent)
	}
	if len(x.running()) > 0 {
		return
	}
	if x.stream() {
		c.recoverStream(now, x, a, e)
		return
	}
	c.retryPlain(now, x, e)
}

// discount takes back the count of an attempt that was given up while its connection was
// being made, once it is known that nothing was sent.
func (x *exchange) discount(a *attempt, e Event) {
	if e.kind == Lost && !e.cause.mayHaveRun() && a.counted {
		a.counted = false
		x.possibleRuns--
	}
}

// upstreamUnreachable records that an upstream does not answer. If its failure
// domain seems to be affected, it queries the other engines of the domain that
// run attempts.
func (c *Core) upstreamUnreachable(now time.Time, upstream *pool.Upstream) {
	c.pool.RecordUnreachable(now, upstream)
	for _, x := range c.sortedExchanges() {
		for _, a := range x.running() {
			if x.need.Memory() > 0 && c.pool.Suspect(now, a.upstream) {
				c.checkAlive(now, a.upstream, "domain hit")
			}
		}
	}
}
