package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

const (
	// firstShare is the part of a stream's goal after which a second engine
	// reads the prompt too. A read takes about a second of the goal's 4.5 s.
	firstShare = 0.55
	// probeShare is the part of the longest good pause after which a silent
	// engine is probed. The rest must hold the probe and the resume.
	probeShare = 0.36
	// defaultGap stands in for a route that states no longest pause.
	defaultGap = 700 * time.Millisecond
	// readProbe is the pause between probes of an engine that reads a prompt
	// and is silent meanwhile.
	readProbe = 500 * time.Millisecond
	// hungGaps is the number of longest good pauses after which a stream is
	// moved although its engine answers probes.
	hungGaps = 2
	// stopShare is the same for a stream with a copy to go on from, once a
	// stream. Pauses last 230 ms while an engine reads another prompt, and the
	// rest holds the resume.
	stopShare = 0.65
	// retryPause is the wait before a stream that no engine takes is tried
	// again.
	retryPause = 150 * time.Millisecond
	// sameSends is how often an engine whose answers break off gets one request
	// before another engine reads the prompt again.
	sameSends = 2
	// copyRepeats is how often a resume from one copy is sent again after its
	// answer broke off. Each takes two round trips of 24 ms between regions, of
	// the 700 ms that a pause may last.
	copyRepeats = 3
	// maxSilence is the silence after which a begun stream is broken off.
	maxSilence = 10 * time.Second
)

// gap returns the longest pause between pieces that is on time.
func (x *exchange) gap() time.Duration {
	if g := x.route.Gap(); g > 0 {
		return g
	}
	return defaultGap
}

// quiet returns how long an attempt may stay silent before its engine is
// probed.
func (x *exchange) quiet(a *attempt) time.Duration {
	if a.begun {
		return time.Duration(probeShare * float64(x.gap()))
	}
	return readProbe
}

// check returns when an attempt must be looked at.
func (x *exchange) check(a *attempt) time.Time {
	if !x.stream() {
		return x.end
	}
	at := a.last.Add(x.quiet(a))
	switch stop, resume := x.passed.Add(x.stopAfter()), a.sent.Add(x.resumeWait()); {
	case a.begun && !x.stopped && stop.Before(at):
		return stop
	case !a.begun && x.opened && !a.overdue && resume.Before(at):
		return resume
	default:
		return at
	}
}

// stopAfter returns the silence after which a stream goes on from its copy.
func (x *exchange) stopAfter() time.Duration { return time.Duration(stopShare * float64(x.gap())) }

// resumeWait returns how long an attempt to go on with a stream may take to its
// first piece. The stream is late by then, so this is only for attempts that
// never begin: a new one takes the place in the queue that this one has.
func (x *exchange) resumeWait() time.Duration { return max(x.route.Goal(), hungGaps*x.gap()) }

// look applies the passing of time.
func (c *Core) look(now time.Time, x *exchange) {
	if !now.Before(x.end) {
		for _, a := range x.running() {
			a.up.RecordFault(now)
		}
		c.fail(now, x, "timeout", errs.Expired)
		return
	}
	c.conclude(now, x)
	if !x.hedgeAt.IsZero() && !now.Before(x.hedgeAt) {
		c.hedge(now, x)
	}
	if !x.retryAt.IsZero() && !now.Before(x.retryAt) {
		x.retryAt = time.Time{}
		if now.Sub(x.passed) > maxSilence {
			c.fail(now, x, "no upstream", errs.Upstream)
			return
		}
		if !c.allowed(now, x) {
			x.retryAt = now.Add(retryPause)
			return
		}
		c.begin(now, x, "retry")
	}
	for _, a := range x.running() {
		if x.stream() && !now.Before(x.check(a)) {
			c.silent(now, x, a)
		}
	}
}

// silent handles an attempt that has produced nothing for a while.
func (c *Core) silent(now time.Time, x *exchange, a *attempt) {
	if reason := c.stalled(now, x, a); reason != "" && x.mayRepeat() {
		c.giveUp(now, x, a, Stalled, reason)
		return
	}
	if heard := a.up.LastActivity(); now.Sub(heard) < x.quiet(a) {
		// Other streams of the engine show that it is alive.
		a.last = heard
		return
	}
	// The next look comes after one more such span.
	a.last = now
	if x.route.Repeatable() && x.need.Memory() > 0 {
		c.ask(now, a.up, "", "silent")
	}
}

// stalled returns why an attempt is given up although its engine may live, or
// "".
func (c *Core) stalled(now time.Time, x *exchange, a *attempt) string {
	silence := now.Sub(x.passed)
	switch {
	case !a.begun && (!x.opened || a.overdue || now.Sub(a.sent) < x.resumeWait()):
		return ""
	case !a.begun:
		a.overdue = true
		return "resume overdue"
	case silence >= hungGaps*x.gap():
		return "hung"
	case x.stopped || silence < x.stopAfter():
		return ""
	}
	x.stopped = true
	if c.copyState(now, a) != "" || !c.hasCopy(now, a) {
		return ""
	}
	return "stopped"
}

// giveUp ends an attempt that makes no progress.
func (c *Core) giveUp(now time.Time, x *exchange, a *attempt, cause Cause, reason string) {
	c.act(x, Action{
		kind:     Cancel,
		attempt:  a.number,
		upstream: a.up,
		reason:   reason,
	})
	c.lost(now, x, a, NewLost(x.q.Number(), a.number, cause, reason))
}

// piece passes on the next piece and drops those that the caller has.
func (c *Core) piece(now time.Time, x *exchange, a *attempt, index int, bytes []byte) {
	a.up.RecordActivity(now)
	a.last = now
	if !a.begun {
		a.begun = true
		a.first = now.Sub(a.sent)
		a.up.FinishPrefill()
		a.up.RecordSuccess(now)
	}
	for _, other := range x.running() {
		if other != a {
			c.drop(x, other, "another engine was first")
		}
	}
	x.hedgeAt = time.Time{}
	if index <= x.position {
		return
	}
	if x.position > 0 && index != x.position+1 {
		c.drop(x, a, "piece missing")
		x.ran++
		c.recover(now, x, a, NewLost(x.q.Number(), a.number, Garbled, "piece missing"))
		return
	}
	c.open(x, a)
	x.position = index
	x.passed = now
	c.keepCopy(now, x, a)
	c.act(x, Action{
		kind:  Pass,
		bytes: bytes,
	})
}

// open gives the caller the head of the first engine that produced a piece.
func (c *Core) open(x *exchange, a *attempt) {
	if x.opened {
		return
	}
	x.opened = true
	c.act(x, Action{
		kind:   Open,
		answer: a.head,
	})
}

// finished applies the complete end of a stream.
func (c *Core) finished(now time.Time, x *exchange, a *attempt) {
	c.end(x, a)
	c.judge(now, x, a)
	a.up.RecordSuccess(now)
	c.open(x, a)
	c.finish(now, x, Action{
		kind:   Close,
		reason: "complete",
	})
}

// recover continues a stream after its attempt was lost: from the standby copy
// where there is one, else by reading everything again at another engine.
func (c *Core) recover(now time.Time, x *exchange, a *attempt, e Event) {
	from := c.resumeFrom(now, x, a, e)
	if e.cause.mayHaveRun() && !x.mayRepeat() && from == nil {
		c.fail(now, x, e.cause.String(), errs.Upstream)
		return
	}
	if x.unrun >= maxUnrun && !x.opened {
		c.fail(now, x, "refused by engines", errs.Upstream)
		return
	}
	if !c.allowed(now, x) {
		if x.opened {
			x.retryAt = now.Add(retryPause)
			return
		}
		c.fail(now, x, "budget of repeats used up", errs.Upstream)
		return
	}
	switch {
	case from != nil:
		c.sendFrom(now, x, from.upstream, *from)
	case (e.cause == Broken || e.cause == Garbled) && a.up.Usable() && !a.up.BackingOff(now) && x.sends(a.up) <= sameSends:
		// The engine still holds the prompt if it lives, and refuses the
		// connection if it does not.
		c.send(now, x, a.up, a.up.ID(), false, "same after "+e.cause.String())
	default:
		reason := "after " + e.cause.String()
		if e.cause.mayHaveRun() {
			reason += ", " + c.copyState(now, a)
		}
		c.begin(now, x, reason)
	}
}

// resumeFrom returns how a stream continues from a copy of the lost attempt's
// run, or nil if there is none.
func (c *Core) resumeFrom(now time.Time, x *exchange, a *attempt, e Event) *Action {
	o := &a.ordered
	switch {
	case a.copied && e.cause == Moved && e.instance != "" && !x.followed:
		// The copy was placed by address, so that the incarnation that has
		// the address now may hold it. One that does not refuses to run.
		x.followed = true
		return &Action{
			upstream: a.up,
			instance: e.instance,
			copied:   true,
			reason:   "copy moved",
		}
	case a.copied && !a.begun && e.cause == Broken && x.repeats < copyRepeats && intact(now, a.up):
		// The engine may have lost only this answer. A copy lasts after its
		// use, and an engine without it refuses to run.
		x.repeats++
		return &Action{
			upstream: a.up,
			instance: a.up.ID(),
			copied:   true,
			source:   a.source,
			handle:   a.handle,
			reason:   "copy again after " + e.cause.String(),
		}
	case !e.cause.mayHaveRun():
		return nil
	case c.copyState(now, a) == "" && (o.handle == "" || c.hasCopy(now, a)):
		x.followed, x.repeats = false, 0
		h := a.holder.Latest()
		return &Action{
			upstream: h,
			instance: h.ID(),
			copied:   true,
			reason:   "copy after " + e.cause.String(),
		}
	case o.handle != "" && intact(now, o.holder):
		return &Action{
			upstream: o.holder,
			instance: o.holder.ID(),
			copied:   true,
			source:   a.up.Address(),
			handle:   o.handle,
			reason:   "ordered copy after " + e.cause.String(),
		}
	default:
		return nil
	}
}

// copyState returns why an attempt's standby copy can't be used, or "" if it
// can. A copy exists only once the run has produced something.
func (c *Core) copyState(now time.Time, a *attempt) string {
	if !a.begun {
		return "nothing copied"
	}
	if a.holder == nil {
		return "no holder"
	}
	switch h := a.holder.Latest(); {
	case h.Gone():
		return "holder gone"
	case !h.Usable():
		return "holder leaving"
	case h.BackingOff(now):
		return "holder resting"
	default:
		return ""
	}
}
