package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/gaps"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// retryPause is the wait before a started stream is retried for which there
	// was no upstream or no retry budget.
	retryPause = 150 * time.Millisecond
	// maxSendsToSame is the number of times that one request is sent to an
	// engine whose answers break off, before another engine has to read the
	// prompt again.
	maxSendsToSame = 2
	// maxCopyResends is the number of times that a resume from one copy is sent
	// again after its answer broke off. Each takes two round trips of 24 ms
	// between regions, out of the 700 ms that a pause may last.
	maxCopyResends = 3
)

// gaps returns how long the stream may pause.
func (x *exchange) gaps() gaps.Limits { return gaps.New(x.route.Goal(), x.route.Gap()) }

// nextCheck returns the time at which the progress of an attempt must be
// checked.
func (x *exchange) nextCheck(a *attempt) time.Time {
	if !x.stream() || a.heldBack {
		return x.deadline
	}
	at := a.lastProgress.Add(x.gaps().Probe(a.begun))
	switch stop, resume := x.stallCheck(), a.sent.Add(x.gaps().Resume()); {
	case a.begun && !x.stallHandled && stop.Before(at):
		return stop
	case !a.begun && x.headSent && !a.overdue && resume.Before(at):
		return resume
	default:
		return at
	}
}

// stallCheck returns the earliest time of the next check of a stall.
func (x *exchange) stallCheck() time.Time {
	return alarm.Later(x.lastDelivered.Add(x.gaps().Stall()), x.stallPostponed)
}

// handleTimer handles the deadlines and timers of an exchange that are due.
func (c *Core) handleTimer(now time.Time, x *exchange) {
	if !now.Before(x.deadline) && x.cutShort {
		c.fail(now, x, "stopping", errs.Expired)
		return
	}
	if !now.Before(x.deadline) {
		for _, a := range x.running() {
			a.upstream.RecordFault(now)
		}
		c.fail(now, x, "timeout", errs.Expired)
		return
	}
	c.decidePlacement(now, x)
	if !x.hedgeAt.IsZero() && !now.Before(alarm.Later(x.hedgeAt, c.settledAt)) {
		c.hedge(now, x)
	}
	if !x.returnAt.IsZero() && !now.Before(x.returnAt) {
		x.returnAt = time.Time{}
		c.startAttempt(now, x, afterRest)
	}
	if !x.retryAt.IsZero() && !now.Before(x.retryAt) {
		x.retryAt = time.Time{}
		if x.awaitedCopy == nil && c.awaitUpstream(now, x) {
			return
		}
		if !c.allowed(now, x) {
			x.retryAt = now.Add(retryPause)
			return
		}
		c.retryStream(now, x)
	}
	for _, a := range x.running() {
		if x.stream() && !now.Before(alarm.Later(x.nextCheck(a), c.settledAt)) {
			c.handleSilence(now, x, a)
		}
	}
}

// awaitUpstream makes a stream that has begun wait if there is no upstream for it, or its
// next attempt is not due, before it uses up a repeat, and reports whether it did.
func (c *Core) awaitUpstream(now time.Time, x *exchange) bool {
	if !x.headSent {
		return false
	}
	skip := c.skips(now, x)
	due := x.pace.Due(x.route.Attempts()-x.possibleRuns, c.pool.HasRoom(now, x.need, skip))
	if !now.Before(due) && c.pool.HasUpstream(now, x.need, func(u *pool.Upstream) bool { return skip(u) || x.unheard(u) }) {
		return false
	}
	c.noUpstream(now, x)
	x.retryAt = alarm.Later(x.retryAt, due)
	latest := x.attempts[len(x.attempts)-1].upstream
	if x.unheard(latest) && !latest.Gone() {
		c.queryState(now, latest, "", "awaited")
	}
	// Many streams may wait for the same engines.
	for ask := true; ask && len(c.stateQueries) < 2*placementCandidates; {
		ask = c.queryWitness(now, latest, func(u *pool.Upstream) bool { return !skip(u) && x.unheard(u) })
	}
	return true
}

// retryStream starts an attempt of a stream that had to wait for one, from the copy of
// its run if that may still be there. An engine without the copy refuses to run.
func (c *Core) retryStream(now time.Time, x *exchange) {
	from := x.awaitedCopy
	x.awaitedCopy = nil
	if from == nil || c.copyEnded(now, x) || x.fence.closed || x.fence.excludes(from.upstream) || !from.upstream.Available(now) || c.versionFull(x, from.upstream) {
		c.startAttempt(now, x, "retry")
		return
	}
	c.sendFrom(now, x, from.upstream, *from)
}

// handleSilence handles an attempt that has made no progress until its check
// was due.
func (c *Core) handleSilence(now time.Time, x *exchange, a *attempt) {
	if reason := c.stallReason(now, x, a); reason != "" {
		if c.mayLeave(now, x, a) {
			c.giveUp(now, x, a, Stalled, reason)
			return
		}
		// The check of the stall would stay due otherwise.
		x.stallHandled = true
	}
	if heard := a.upstream.LastActivity(); now.Sub(heard) < x.gaps().Probe(a.begun) {
		// Answers to other requests show that the engine is alive.
		a.lastProgress = heard
		return
	}
	// The next check is due after another interval.
	a.lastProgress = now
	if x.route.Repeatable() && x.need.Memory() > 0 {
		c.checkAlive(now, a.upstream, "silent")
	}
}

// stallReason returns why an attempt must be abandoned although its engine may
// be alive, or "".
func (c *Core) stallReason(now time.Time, x *exchange, a *attempt) string {
	silence := now.Sub(x.lastDelivered)
	switch {
	case !a.begun && (!x.headSent || now.Sub(a.sent) < x.gaps().Resume()):
		return ""
	case !a.begun:
		a.overdue = true
		return "resume overdue"
	case !c.heardSince(a.upstream, x.lastDelivered):
		// The next check of a stall is due after another query may have been answered.
		x.stallPostponed = now.Add(queryTimeout)
		return ""
	case silence >= x.gaps().Hung():
		return "hung"
	case x.stallHandled || silence < x.gaps().Stall():
		return ""
	}
	x.stallHandled = true
	if x.unproven(a.upstream) || c.standbyUnusable(now, x, a) != "" || !c.standbyIntact(now, a) {
		// A copy of a run at an unproven version goes on at that version, which
		// may be just as slow.
		return ""
	}
	return "stopped"
}

// giveUp cancels an attempt that makes no progress and treats it as lost.
func (c *Core) giveUp(now time.Time, x *exchange, a *attempt, cause Cause, reason string) {
	c.emit(x, Action{
		kind:     Cancel,
		attempt:  a.number,
		upstream: a.upstream,
		reason:   reason,
	})
	c.attemptLost(now, x, a, NewLost(x.q.Number(), a.number, cause, reason))
}

// handlePiece passes on the next piece of a stream. It drops pieces that the
// caller already has, and ends the attempt if a piece is missing.
func (c *Core) handlePiece(now time.Time, x *exchange, a *attempt, index int, bytes []byte) {
	a.upstream.RecordActivity(now)
	a.lastProgress = now
	if !a.begun {
		a.begun = true
		a.timeToFirst = now.Sub(a.sent)
		if !x.headSent {
			c.hedges.Answered(now, x.beside(a), a.timeToFirst)
		}
		a.upstream.FinishPrefill()
		a.upstream.RecordSuccess(now)
		// A stream lasts for seconds, and the evidence about a version must not
		// wait for its end.
		c.reportOutcome(now, x, a)
		c.reportOvertaken(now, x, a)
	}
	c.observePiece(now, x, a)
	for _, other := range x.running() {
		if other != a {
			c.cancelAttempt(now, x, other, "another engine was first")
			c.trackCancelled(now, x, other, true)
		}
	}
	x.hedgeAt = time.Time{}
	if index <= x.position {
		return
	}
	if x.position > 0 && index != x.position+1 {
		c.cancelAttempt(now, x, a, "piece missing")
		c.trackCancelled(now, x, a, false)
		x.possibleRuns++
		if x.lastDelivered.Before(a.sent) {
			x.pace.Ended(now, true, false)
		}
		c.recoverStream(now, x, a, NewLost(x.q.Number(), a.number, Garbled, "piece missing"))
		return
	}
	c.sendHead(x, a)
	x.pace.Begun()
	x.position, x.lastDelivered = index, now
	c.requestCopy(now, x, a)
	c.emit(x, Action{
		kind:  SendPiece,
		bytes: bytes,
	})
}

// sendHead sends the caller the head of the stream unless it already has one.
func (c *Core) sendHead(x *exchange, a *attempt) {
	if x.headSent {
		return
	}
	x.headSent = true
	c.emit(x, Action{
		kind:   SendHead,
		answer: a.head,
	})
}

// handleFinish applies the complete end of a stream.
func (c *Core) handleFinish(now time.Time, x *exchange, a *attempt) {
	c.endAttempt(now, x, a)
	if !a.begun {
		c.reportOutcome(now, x, a)
	}
	a.upstream.RecordSuccess(now)
	c.reportSurvival(now, x, a)
	c.sendHead(x, a)
	c.finish(now, x, Action{
		kind:   Close,
		reason: "complete",
	})
}

// recoverStream continues a stream after the loss of an attempt: from a copy of
// the run if there is one, else by reading the prompt again.
func (c *Core) recoverStream(now time.Time, x *exchange, a *attempt, e Event) {
	if x.fence.closed {
		c.failCharged(now, x)
		return
	}
	if c.awaitSuccessor(now, x, a, e) {
		return
	}
	from := c.resumeFrom(now, x, a, e)
	if from != nil && x.fence.excludes(from.upstream) {
		from = nil
	}
	if e.cause.mayHaveRun() && !x.mayRepeat() && from == nil {
		c.fail(now, x, e.cause.String(), errs.Upstream)
		return
	}
	if x.consecutiveNotRun >= maxConsecutiveNotRun && !x.headSent {
		c.fail(now, x, "refused by engines", errs.Upstream)
		return
	}
	if from == nil && c.awaitUpstream(now, x) {
		return
	}
	if !c.allowed(now, x) {
		if x.headSent {
			x.retryAt, x.awaitedCopy = now.Add(retryPause), from
			return
		}
		c.fail(now, x, "budget of repeats used up", errs.Upstream)
		return
	}
	switch {
	case from != nil:
		c.sendFrom(now, x, from.upstream, *from)
	case (e.cause == Broken || e.cause == Garbled) && a.upstream.Usable() && !a.upstream.Resting(now) && !a.upstream.BackingOff(now) && x.sendCount(a.upstream) <= maxSendsToSame && !x.wrongVersion(a.upstream):
		// An engine that is alive still has the prompt, and one that is dead
		// refuses the connection.
		c.send(now, x, a.upstream, "same after "+e.cause.String())
	default:
		reason := "after " + e.cause.String()
		if unusable := c.standbyUnusable(now, x, a); e.cause.mayHaveRun() && unusable != "" {
			reason += ", " + unusable
		}
		c.startAttempt(now, x, reason)
	}
}

// resumeFrom returns the upstream, the copy and the reason with which a stream
// resumes after the loss of an attempt, or nil if there is no copy of its run.
func (c *Core) resumeFrom(now time.Time, x *exchange, a *attempt, e Event) *Action {
	o := &a.onDemandCopy
	switch {
	case a.copied && c.versionFull(x, a.upstream):
		return nil
	case a.copied && e.cause == Misdirected && !x.copyFollowed && c.successor(now, x, a, e.instance) != nil:
		// The copy was placed by address, so the incarnation that now has the
		// address may hold it. An engine without the copy refuses to run.
		x.copyFollowed = true
		return &Action{
			upstream: c.pool.Get(e.instance),
			copied:   true,
			reason:   "copy moved",
		}
	case a.copied && !a.begun && e.cause == Broken && x.copyResends < maxCopyResends && a.upstream.Available(now):
		// Only this answer may be lost. The engine keeps a copy after its use,
		// and an engine without the copy refuses to run.
		x.copyResends++
		return &Action{
			upstream: a.upstream,
			copied:   true,
			source:   a.source,
			handle:   a.handle,
			reason:   "copy again after " + e.cause.String(),
		}
	case !e.cause.mayHaveRun(), e.cause == Stalled && x.unproven(a.upstream):
		return nil
	case c.standbyUnusable(now, x, a) == "" && (o.handle == "" || c.standbyIntact(now, a)):
		x.copyFollowed, x.copyResends = false, 0
		h := a.holder.Latest()
		return &Action{
			upstream: h,
			copied:   true,
			reason:   "copy after " + e.cause.String(),
		}
	case c.orderedUsable(now, x, a):
		return &Action{
			upstream: o.holder,
			copied:   true,
			source:   a.upstream.Address(),
			handle:   o.handle,
			reason:   "ordered copy after " + e.cause.String(),
		}
	default:
		return nil
	}
}

// orderedUsable reports whether there is an ordered copy of an attempt's run to resume from.
func (c *Core) orderedUsable(now time.Time, x *exchange, a *attempt) bool {
	o := &a.onDemandCopy
	return o.handle != "" && o.holder.Available(now) && !c.versionFull(x, o.holder) && !c.copyEnded(now, x)
}

// standbyUnusable returns why an attempt's standby copy can't be used, or "" if
// it can. A copy exists only once the run has produced output.
func (c *Core) standbyUnusable(now time.Time, x *exchange, a *attempt) string {
	if !a.begun {
		return "nothing copied"
	}
	if a.holder == nil {
		return "no holder"
	}
	if c.copyEnded(now, x) {
		return "copy ended"
	}
	switch h := a.holder.Latest(); {
	case h.Unavailable(now) != "":
		return "holder " + h.Unavailable(now)
	case c.versionFull(x, h):
		return "holder unproven"
	default:
		return ""
	}
}
