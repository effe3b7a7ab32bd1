package proxy

import (
	"slices"
	"strconv"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// minSurvivedPieces and minSurvivedTime are the number of pieces, and the time
	// since the first one, from which an engine counts as having survived a prompt.
	minSurvivedPieces = 3
	minSurvivedTime   = 300 * time.Millisecond
)

// promptCharged is the reason for refusing a request whose prompt crashes engines.
const promptCharged = "prompt part charged"

// fence holds the charges that a request's prompt matches.
type fence struct {
	// closed is true if no engine of the service may be sent the prompt.
	closed bool
	// versions holds the versions that may not be sent the prompt.
	versions []string
}

// excludes reports whether the upstream may not be sent the prompt.
func (f fence) excludes(u *pool.Upstream) bool {
	return f.closed || slices.Contains(f.versions, u.Entry().Version())
}

// fenceFor returns the fence of a prompt with the given parts at a service.
func (c *Core) fenceFor(service string, parts []string) fence {
	versions, closed := blame.Excluded(c.charges, service, parts)
	return fence{
		closed:   closed,
		versions: versions,
	}
}

// applyCharges replaces the charges in force. Attempts without a piece are
// cancelled if their prompt is now charged; those with pieces may survive it.
func (c *Core) applyCharges(now time.Time, charges []blame.Charge) {
	c.charges = charges
	for _, x := range c.sortedExchanges() {
		if !x.stream() {
			continue
		}
		x.fence = c.fenceFor(x.need.Service(), x.q.Spec().Parts)
		c.enforceFence(now, x)
		c.resetAlarm(x)
	}
}

// enforceFence ends what the fence of an exchange no longer permits.
func (c *Core) enforceFence(now time.Time, x *exchange) {
	cancelled := false
	for _, a := range x.running() {
		if !a.begun && x.fence.excludes(a.upstream) {
			c.cancelAttempt(now, x, a, promptCharged)
			x.possibleRuns++
			cancelled = true
		}
	}
	if x.placement != nil {
		x.placement.candidates = slices.DeleteFunc(x.placement.candidates, x.fence.excludes)
	}
	if x.fence.closed {
		x.placement, x.hedgeAt = nil, time.Time{}
	}
	switch {
	case len(x.running()) > 0:
	case x.fence.closed:
		c.failCharged(now, x)
	case !cancelled:
	case x.mayRepeat() && c.allowed(now, x):
		c.startAttempt(now, x, promptCharged)
	default:
		c.fail(now, x, promptCharged, errs.Upstream)
	}
}

// failCharged ends an exchange whose prompt is charged.
func (c *Core) failCharged(now time.Time, x *exchange) {
	c.fail(now, x, promptCharged, errs.Upstream)
}

// observePiece reports a run that its engine has survived, once per attempt.
func (c *Core) observePiece(now time.Time, x *exchange, a *attempt) {
	if a.pieces++; a.pieces == 1 {
		a.firstPiece = now
	}
	if a.pieces >= minSurvivedPieces && now.Sub(a.firstPiece) >= minSurvivedTime {
		c.reportSurvival(now, x, a)
	}
}

// reportSurvival reports a run that its engine has survived unless it has been
// reported.
func (c *Core) reportSurvival(now time.Time, x *exchange, a *attempt) {
	if a.survived {
		return
	}
	a.survived = true
	c.reportRun(now, x, a, ReportSurvival)
}

// reportCrash reports a run that ended with its engine before the engine could
// survive it. The connections of a crashed process break, and it refuses new ones; an
// engine that is merely silent may be overloaded or cut off.
func (c *Core) reportCrash(now time.Time, x *exchange, a *attempt, cause Cause) {
	if !a.survived && (cause == Broken || cause == Silent && a.refused) {
		c.reportRun(now, x, a, ReportCrash)
	}
}

// reportRun reports a run of a prompt that has parts which other requests share.
func (c *Core) reportRun(now time.Time, x *exchange, a *attempt, kind ActionKind) {
	if !x.stream() || x.need.Memory() == 0 || len(x.q.Spec().Parts) == 0 {
		return
	}
	e := a.upstream.Entry()
	c.emit(x, Action{
		kind:     kind,
		attempt:  a.number,
		upstream: a.upstream,
		run: blame.NewRun(now, blame.RunSpec{
			Service: e.Service(),
			Version: e.Version(),
			Engine:  e.ID() + "@" + strconv.FormatInt(e.StartedAt(), 10),
			Domain:  e.Domain(),
			Session: x.q.Spec().Session,
			Parts:   x.q.Spec().Parts,
		}),
	})
}
