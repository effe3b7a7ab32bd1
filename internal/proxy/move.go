package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/expect"
	"clementinelink.example/clementinelink/internal/judge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
)

// serviceMove is the gradual transfer of a service's traffic to another
// version.
type serviceMove struct {
	target string
	gate   *move.Gate
	limits move.Limits
	// banned is true once the new version was found to be bad.
	banned bool
	// quota bounds the attempts that are sent to the new version before it is
	// proven.
	quota *move.Quota
	// oldInFlight counts the requests in flight that are assigned to the old
	// version.
	oldInFlight int
	// typical holds the old version's typical latencies.
	typical *expect.Typical
}

// applyMove starts the move of a service to a new version, or updates its
// limits.
func (c *Core) applyMove(e Event) {
	s := c.moves[e.service]
	if s == nil || s.target != e.target {
		s = &serviceMove{
			target:  e.target,
			gate:    move.NewGate(uint64(e.index)),
			quota:   move.NewQuota(c.exposure, uint64(e.index)),
			typical: expect.NewTypical(),
		}
		if e.resumes {
			s.quota.Resume(e.taken)
		}
		c.moves[e.service] = s
		c.joinMove(e.service, s)
	}
	s.limits, s.banned = e.limits, e.banned
	s.gate.Set(e.limits)
}

// joinMove assigns the requests in flight that arrived before a move to the old
// version. Their next attempts could reach the new version otherwise.
func (c *Core) joinMove(service string, s *serviceMove) {
	for _, x := range c.inFlight {
		if x.need.Service() == service {
			x.move, x.versionState = s, versionState{}
			s.oldInFlight++
		}
	}
}

// assignVersion decides which version serves a request. Until the move is done,
// the number of requests that the new version gets is limited by the exposure.
func (c *Core) assignVersion(now time.Time, x *exchange) {
	s := c.moves[x.need.Service()]
	if s == nil {
		return
	}
	x.move = s
	s.quota.Count()
	x.newVersion = s.gate.AdmitIf(now, s.limits.Done() || !s.banned && s.quota.Free(c.peers))
	if x.newVersion {
		s.quota.Take()
		x.reserved = true
	} else {
		s.oldInFlight++
	}
}

// versionState is how a request takes part in the move of its service.
type versionState struct {
	// newVersion is true if the request is assigned to the new version.
	newVersion bool
	// reserved is true if the quota has counted an attempt at the new version
	// that was not sent yet.
	reserved bool
	// exposed is true once the request was sent to the new version before that
	// was proven.
	exposed bool
}

// wantsNew reports whether the next attempt belongs at the new version. Until it
// is proven, only the first one does: a version that is slow or fails would
// otherwise get several attempts for each request. Once the move is done, every
// one does, since the engines of the old version stop.
func (x *exchange) wantsNew() bool {
	return x.move.limits.Done() || x.newVersion && !x.exposed && !x.move.banned
}

// recordVersion counts an attempt that is sent to the upstream.
func (x *exchange) recordVersion(u *pool.Upstream) {
	s := x.move
	switch {
	case s == nil:
	case s.limits.Done():
		if !x.newVersion && u.Entry().Version() == s.target && len(x.running()) == 1 {
			x.leaveMove()
			x.newVersion = true
		}
	case u.Entry().Version() == s.target:
		if !x.reserved {
			s.quota.Take()
		}
		x.reserved, x.exposed = false, true
	case x.newVersion:
		x.assignOld()
	}
}

// assignOld assigns a request of the new version to the old one.
func (x *exchange) assignOld() {
	x.returnQuota()
	x.newVersion = false
	x.move.oldInFlight++
}

// returnQuota releases what the quota has counted for an attempt that was not sent.
func (x *exchange) returnQuota() {
	if x.reserved {
		x.move.quota.Return()
		x.reserved = false
	}
}

// unproven reports whether the upstream runs a version that was not proven yet.
func (x *exchange) unproven(u *pool.Upstream) bool {
	return x.move != nil && !x.move.limits.Done() && u.Entry().Version() == x.move.target
}

// versionFull reports whether the upstream runs an unproven version that must
// get no further attempts.
func (c *Core) versionFull(x *exchange, u *pool.Upstream) bool {
	return x.unproven(u) && (x.move.banned || !x.move.quota.Free(c.peers))
}

// leaveMove removes a request that ends from the counts of the move.
func (x *exchange) leaveMove() {
	if x.move == nil {
		return
	}
	x.returnQuota()
	if !x.newVersion {
		x.move.oldInFlight--
	}
}

// wrongVersion reports whether the upstream runs a version that the request
// must not be sent to, because of a move or because its prompt is charged.
func (x *exchange) wrongVersion(u *pool.Upstream) bool {
	return x.fence.excludes(u) || x.move != nil && (u.Entry().Version() == x.move.target) != x.wantsNew()
}

// excludes reports whether a new attempt must not go to the upstream, because
// of its version or because the request was sent there before.
func (x *exchange) excludes(u *pool.Upstream) bool { return x.unfit(u) || x.tried(u) }

// unfit reports whether a new attempt must not go to the upstream even if the request was
// sent there before.
func (x *exchange) unfit(u *pool.Upstream) bool { return x.wrongVersion(u) || x.unheard(u) }

// skips returns a function that reports whether a stream that has begun must not be sent to
// an upstream. Once a move is done, it falls back to the old version if there is no other.
func (c *Core) skips(now time.Time, x *exchange) func(*pool.Upstream) bool {
	if x.move != nil && x.move.limits.Done() && !c.pool.HasUpstream(now, x.need, x.unfit) {
		return x.fence.excludes
	}
	return x.wrongVersion
}

// excludesHolder reports which upstreams must not hold a copy of a run: those of
// another version, those that may not be sent the prompt, and those that the request
// was sent to before.
func (x *exchange) excludesHolder(of *pool.Upstream) func(*pool.Upstream) bool {
	return func(u *pool.Upstream) bool {
		if x.fence.excludes(u) || x.tried(u) {
			return true
		}
		return x.move != nil && (u.Entry().Version() == x.move.target) != (of.Entry().Version() == x.move.target)
	}
}

// fallBack reassigns a request to the old version if no upstream of the new
// version can serve it, or to any version once the move is done, since the old
// version's upstreams stop then, unless one of the new version returns from a rest.
// It reports whether it changed the assignment.
func (c *Core) fallBack(now time.Time, x *exchange) bool {
	switch {
	case x.move == nil:
		return false
	case x.move.limits.Done():
		if _, resting := c.firstReturn(now, x); resting {
			return false
		}
		x.leaveMove()
		x.move = nil
	case !x.newVersion:
		return false
	default:
		x.assignOld()
	}
	return true
}

// reportOutcome reports how an attempt ended, which decides whether the move
// goes on. bad lists the metrics that the attempt failed. A resumed stream is
// judged only if it failed.
func (c *Core) reportOutcome(now time.Time, x *exchange, a *attempt, bad ...move.Metric) {
	if x.move == nil || x.position > 0 && len(bad) == 0 {
		// The first piece of a resumed stream comes at once if its run has a copy.
		return
	}
	latency := now.Sub(a.sent)
	if x.stream() && a.begun {
		latency = a.timeToFirst
	}
	typical := x.move.typical.Of(x.route.Name())
	if x.move.typical.Slow(x.route.Name(), latency) && len(bad) == 0 {
		bad = append(bad, move.SlowFirst)
	}
	newVersion := a.upstream.Entry().Version() == x.move.target
	if !newVersion && len(bad) == 0 {
		x.move.typical.Observe(x.route.Name(), latency)
	}
	c.emit(x, Action{
		kind: ReportOutcome,
		judged: judge.NewAttempt(judge.Spec{
			Service:    x.need.Service(),
			Route:      x.route.Name(),
			NewVersion: newVersion,
			Outcome:    move.NewOutcome(bad...),
			Upstream:   a.upstream.ID(),
			Latency:    latency,
			Typical:    typical,
		}),
	})
}

// reportOvertaken reports the attempts that a, which was sent later, answers before, and
// that a hedge has won.
// They are cancelled, and a version whose hedges at the other one win would give no
// answers to judge.
func (c *Core) reportOvertaken(now time.Time, x *exchange, a *attempt) {
	for _, other := range x.running() {
		if other == a || !other.sent.Before(a.sent) {
			continue
		}
		if a.hedge {
			c.hedges.Overtaken(now, x.beside(other))
		}
		if a.hedge && a.sent.Before(c.hedges.LateAt(x.beside(other))) {
			other.upstream.RecordFault(now)
		}
		if x.position == 0 {
			c.reportOutcome(now, x, other, move.SlowFirst)
		}
	}
}

// reportLost reports an attempt that ended without an answer. The loss of an
// engine is not attributed to its version.
func (c *Core) reportLost(now time.Time, x *exchange, a *attempt, cause Cause) {
	if cause == Garbled || cause == Oversized || cause == Broken && x.need.Memory() == 0 {
		c.reportOutcome(now, x, a, move.Truncated)
	}
}

// OldInFlight returns the number of requests in flight at the old version of a
// service. It is -1 until the move is done, because a count of 0 between two
// requests does not mean that the old version may be stopped.
func (c *Core) OldInFlight(service string) int {
	if s := c.moves[service]; s != nil && s.limits.Done() {
		return s.oldInFlight
	}
	return -1
}
