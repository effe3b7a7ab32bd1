package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// slowFactor is the multiple of the old version's typical latency above
	// which an answer of either version counts as slow.
	slowFactor = 3
	// minSlowExcess is the least excess over the typical latency of a slow
	// answer, so that short answers do not count as slow by chance.
	minSlowExcess = 40 * time.Millisecond
	// typicalWeight is the weight of a new sample in the moving average of the
	// typical latency.
	typicalWeight = 0.05
)

// VersionOutcome is the outcome of one attempt at a service whose traffic is
// moving to another version.
type VersionOutcome struct {
	service    string
	route      string
	newVersion bool
	outcome    move.Outcome
}

// Service returns the service's name.
func (v VersionOutcome) Service() string { return v.service }

// Route returns the name of the route.
func (v VersionOutcome) Route() string { return v.route }

// NewVersion reports whether the new version served the attempt.
func (v VersionOutcome) NewVersion() bool { return v.newVersion }

// Outcome returns the metrics that the attempt failed, if any.
func (v VersionOutcome) Outcome() move.Outcome { return v.outcome }

// serviceMove is the gradual transfer of a service's traffic to another
// version.
type serviceMove struct {
	target string
	gate   *move.Gate
	limits move.Limits
	// banned is true once the new version was found to be bad.
	banned bool
	// quota bounds the requests that were assigned to the new version before it
	// was proven.
	quota *move.Quota
	// oldInFlight counts the requests in flight that are assigned to the old
	// version.
	oldInFlight int
	// typical holds the old version's typical latency by route: the moving
	// average of its good answers.
	typical map[string]time.Duration
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
			typical: make(map[string]time.Duration),
		}
		if e.resumes {
			s.quota.Resume(e.taken)
		}
		c.moves[e.service] = s
	}
	s.limits, s.banned = e.limits, e.banned
	s.gate.Set(e.limits)
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
	} else {
		s.oldInFlight++
	}
}

// leaveMove removes a request that ends from the count of the old version.
func (x *exchange) leaveMove() {
	if x.move != nil && !x.newVersion {
		x.move.oldInFlight--
	}
}

// wrongVersion reports whether the upstream runs a version that the request
// must not be sent to, because of a move or because its prompt is charged.
func (x *exchange) wrongVersion(u *pool.Upstream) bool {
	return x.fence.excludes(u) || x.move != nil && (u.Entry().Version() == x.move.target) != x.newVersion
}

// excludes reports whether a new attempt must not go to the upstream, because
// of its version or because the request was sent there before.
func (x *exchange) excludes(u *pool.Upstream) bool { return x.wrongVersion(u) || x.tried(u) }

// fallBack reassigns a request to the old version if no upstream of the new
// version can serve it, or to any version once the move is done. It reports
// whether it changed the assignment.
func (c *Core) fallBack(x *exchange) bool {
	switch {
	case x.move == nil || !x.newVersion:
		return false
	case x.move.limits.Done():
		x.move = nil
	default:
		x.newVersion = false
		x.move.oldInFlight++
	}
	return true
}

// reportOutcome reports how an attempt ended, which decides whether the move
// goes on. bad lists the metrics that the attempt failed.
func (c *Core) reportOutcome(now time.Time, x *exchange, a *attempt, bad ...move.Metric) {
	if x.move == nil {
		return
	}
	latency := now.Sub(a.sent)
	if x.stream() && a.begun {
		latency = a.timeToFirst
	}
	typical := x.move.typical[x.route.Name()]
	if typical > 0 && latency > max(slowFactor*typical, typical+minSlowExcess) && len(bad) == 0 {
		bad = append(bad, move.SlowFirst)
	}
	newVersion := a.upstream.Entry().Version() == x.move.target
	if !newVersion && len(bad) == 0 {
		if typical == 0 {
			typical = latency
		}
		x.move.typical[x.route.Name()] = typical + time.Duration(typicalWeight*float64(latency-typical))
	}
	c.emit(x, Action{
		kind: ReportOutcome,
		versionOutcome: VersionOutcome{
			service:    x.need.Service(),
			route:      x.route.Name(),
			newVersion: newVersion,
			outcome:    move.NewOutcome(bad...),
		},
	})
}

// reportLost reports an attempt that ended without an answer. The loss of an
// engine is not attributed to its version.
func (c *Core) reportLost(now time.Time, x *exchange, a *attempt, cause Cause) {
	switch {
	case cause == Garbled, cause == Oversized, cause == Broken && x.need.Memory() == 0:
		c.reportOutcome(now, x, a, move.Truncated)
	case cause == Unsent:
		return
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
