package call

import (
	"maps"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// maxAttempts limits the attempts of one call, including the hedge.
	maxAttempts = 4
	// failurePenalty is the time for which an upstream that refused a call or could
	// not be reached is ranked behind the others. Since it fails quickly, it would
	// otherwise have the least outstanding work and attract more calls.
	failurePenalty = time.Second
	// leavingPeriod is the time for which an upstream that states that it is leaving
	// gets no new work. After that time the list of live upstreams shows that it
	// is leaving, or it has restarted.
	leavingPeriod = 5 * time.Second
	// baseBackoff, doubled for each attempt of a call so far, is the time before
	// the call is repeated on an upstream that it has already used.
	baseBackoff = 20 * time.Millisecond
	// retryAfter is sent to callers whose call may be repeated.
	retryAfter = time.Second
	// maxCalls limits the calls in flight, each of which holds a goroutine and its
	// answer in memory.
	maxCalls = 8192
)

type attempt struct {
	upstream *world.VM
	start    time.Time
	ended    bool
}

// callState is a call with its attempts.
type callState struct {
	number     uint64
	service    string
	route      string
	idempotent bool
	deadline   time.Time
	// attempts are in the order in which they were started; the number of an
	// attempt is its index plus 1.
	attempts []attempt
	// hedgeAt and retryAt are the times of the next hedge and retry, or zero.
	hedgeAt time.Time
	retryAt time.Time
	last    *errs.Problem
	// maybeRan is true when the upstream may have run an attempt.
	maybeRan bool
	// finished is true once Finish was emitted or the caller of a lookup has left.
	// The state is kept until all attempts have ended.
	finished bool
}

// Core decides the attempts of the plain calls of one VM as a deterministic state
// machine: Step takes an event and returns the actions that the adapter carries
// out. It is not safe for concurrent use.
type Core struct {
	calls map[uint64]*callState
	// load counts the attempts in flight by upstream name.
	load map[string]int
	// penalizedUntil holds the end of the failurePenalty by upstream name.
	penalizedUntil map[string]time.Time
	// leavingUntil holds the end of the leavingPeriod by upstream name.
	leavingUntil map[string]time.Time
	latencies    map[string]*latency
	budget       *budget.Retry
	// live returns the upstreams of a service that take new work.
	live      func(service string) []*world.VM
	rotation  int
	nextTimer time.Time
	actions   []Action
}

// New returns a core that sends calls to the upstreams that live returns and takes
// the hedges and retries from the budget b.
func New(live func(service string) []*world.VM, b *budget.Retry) *Core {
	return &Core{
		calls:          map[uint64]*callState{},
		load:           map[string]int{},
		penalizedUntil: map[string]time.Time{},
		leavingUntil:   map[string]time.Time{},
		latencies:      map[string]*latency{},
		budget:         b,
		live:           live,
	}
}

// Step handles an event and returns the actions that follow from it, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = nil
	switch e.kind {
	case begin:
		c.beginCall(now, e)
	case gone:
		c.callerLeft(e.number)
	case ended:
		c.attemptEnded(now, e)
	}
	c.runTimers(now)
	return c.actions
}

// Next returns the time at which the core needs the next Tick, or zero.
func (c *Core) Next() time.Time { return c.nextTimer }

// Calls returns the number of calls with an attempt in flight or due.
func (c *Core) Calls() int { return len(c.calls) }

func (c *Core) beginCall(now time.Time, e Event) {
	s := &callState{
		number:     e.number,
		service:    e.service,
		route:      e.route,
		idempotent: e.idempotent,
		deadline:   e.deadline,
	}
	if len(c.calls) >= maxCalls {
		c.fail(s, errs.New(errs.Overload, errs.NotRun, "too many calls are in flight").WithRetry(retryAfter))
		return
	}
	c.calls[s.number] = s
	c.budget.CountFirst(now)
	if !c.startAttempt(now, s) {
		c.fail(s, errs.New(errs.Unavailable, errs.NotRun, "no upstream of %s is live", s.service).WithRetry(retryAfter))
	}
	c.forgetIfDone(s)
}

// candidates returns the live upstreams of a service that have not stated that they
// are leaving.
func (c *Core) candidates(now time.Time, service string) []*world.VM {
	live := c.live(service)
	if len(c.leavingUntil) == 0 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(v *world.VM) bool { return now.Before(c.leavingUntil[v.Name()]) })
}

// startAttempt starts an attempt at the candidate with the least outstanding work.
// Upstreams that the call has not used come first, and among equals those
// without a recent failure. The rotation spreads calls over upstreams with the
// same rank.
func (c *Core) startAttempt(now time.Time, s *callState) bool {
	live := c.candidates(now, s.service)
	c.rotation++
	var best *world.VM
	bestRank := 0
	for i := range live {
		v := live[(i+c.rotation)%len(live)]
		rank := c.load[v.Name()]
		if now.Before(c.penalizedUntil[v.Name()]) {
			rank += 1 << 20
		}
		if s.used(v) {
			rank += 1 << 21
		}
		if best == nil || rank < bestRank {
			best, bestRank = v, rank
		}
	}
	if best == nil {
		return false
	}
	c.load[best.Name()]++
	s.attempts = append(s.attempts, attempt{
		upstream: best,
		start:    now,
	})
	c.actions = append(c.actions, Action{
		kind:     Open,
		number:   s.number,
		attempt:  len(s.attempts),
		upstream: best,
	})
	if s.idempotent {
		c.scheduleTick(s.deadline)
	}
	if s.idempotent && len(s.attempts) == 1 && len(live) > 1 {
		s.hedgeAt = now.Add(c.latency(s.route).hedgeDelay())
		c.scheduleTick(s.hedgeAt)
	}
	return true
}

func (s *callState) used(v *world.VM) bool {
	for _, a := range s.attempts {
		if a.upstream.Name() == v.Name() {
			return true
		}
	}
	return false
}

func (s *callState) running() int {
	n := 0
	for _, a := range s.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

func (c *Core) attemptEnded(now time.Time, e Event) {
	s := c.calls[e.number]
	if s == nil || e.attempt < 1 || e.attempt > len(s.attempts) || s.attempts[e.attempt-1].ended {
		return
	}
	a := &s.attempts[e.attempt-1]
	a.ended = true
	name := a.upstream.Name()
	if c.load[name]--; c.load[name] == 0 {
		delete(c.load, name)
	}
	defer c.forgetIfDone(s)
	if e.leaving {
		c.leavingUntil[name] = now.Add(leavingPeriod)
	}
	if s.finished {
		return
	}
	if e.problem == nil {
		delete(c.penalizedUntil, name)
		c.latency(s.route).add(now.Sub(a.start))
		c.finish(s, Action{
			answer: e.answer,
		})
		return
	}
	c.attemptFailed(now, s, name, e.problem)
}

// attemptFailed handles an attempt that ended with a problem.
func (c *Core) attemptFailed(now time.Time, s *callState, name string, p *errs.Problem) {
	s.last = p
	if p.Outcome() == errs.NotRun {
		c.penalizedUntil[name] = now.Add(failurePenalty)
	} else {
		s.maybeRan = true
	}
	if s.running() > 0 {
		return
	}
	if c.repeatable(now, s, p) {
		s.hedgeAt = time.Time{}
		s.retryAt = now
		if c.unused(now, s) == 0 {
			s.retryAt = now.Add(baseBackoff << len(s.attempts))
		}
		c.scheduleTick(s.retryAt)
		return
	}
	c.fail(s, p)
}

// repeatable reports whether the call may be sent again, and takes the retry from
// the budget. A lookup may always be repeated, a booking only if it did not run
// and there is an upstream that it has not used.
func (c *Core) repeatable(now time.Time, s *callState, p *errs.Problem) bool {
	if len(s.attempts) >= maxAttempts || !now.Before(s.deadline) {
		return false
	}
	if !s.idempotent && (p.Outcome() != errs.NotRun || c.unused(now, s) == 0) {
		return false
	}
	return c.budget.Take(now)
}

// unused returns the number of candidates that the call has not used.
func (c *Core) unused(now time.Time, s *callState) int {
	n := 0
	for _, v := range c.candidates(now, s.service) {
		if !s.used(v) {
			n++
		}
	}
	return n
}

// fail finishes the call with a problem. The outcome of a lookup is unknown if any
// of its attempts may have run. A lookup is always safe to repeat, so its problem
// has a retry time.
func (c *Core) fail(s *callState, p *errs.Problem) {
	if s.idempotent {
		if s.maybeRan && p.Outcome() == errs.NotRun {
			p = errs.New(p.Kind(), errs.Unknown, "%s", p.Detail())
		}
		p = p.WithRetry(max(p.Retry(), retryAfter))
	}
	c.finish(s, Action{
		problem: p,
	})
}

func (c *Core) finish(s *callState, a Action) {
	a.kind = Finish
	a.number = s.number
	c.actions = append(c.actions, a)
	c.stopCall(s)
}

// stopCall marks the call as finished and cancels the attempts in flight of a
// lookup.
func (c *Core) stopCall(s *callState) {
	s.finished = true
	s.hedgeAt, s.retryAt = time.Time{}, time.Time{}
	if !s.idempotent {
		return
	}
	for i, a := range s.attempts {
		if !a.ended {
			c.actions = append(c.actions, Action{
				kind:    Cancel,
				number:  s.number,
				attempt: i + 1,
			})
		}
	}
}

func (c *Core) callerLeft(number uint64) {
	if s := c.calls[number]; s != nil && !s.finished && s.idempotent {
		c.stopCall(s)
		c.forgetIfDone(s)
	}
}

// forgetIfDone removes a finished call whose attempts have all ended.
func (c *Core) forgetIfDone(s *callState) {
	if s.finished && s.running() == 0 {
		delete(c.calls, s.number)
	}
}

// runTimers handles the calls whose time has come and removes past penalties.
func (c *Core) runTimers(now time.Time) {
	if c.nextTimer.IsZero() || now.Before(c.nextTimer) {
		return
	}
	c.nextTimer = time.Time{}
	for _, n := range slices.Sorted(maps.Keys(c.calls)) {
		if s := c.calls[n]; !s.finished {
			c.runCallTimers(now, s)
			c.forgetIfDone(s)
		}
	}
	for _, m := range []map[string]time.Time{c.penalizedUntil, c.leavingUntil} {
		maps.DeleteFunc(m, func(_ string, t time.Time) bool { return !now.Before(t) })
	}
}

func (c *Core) runCallTimers(now time.Time, s *callState) {
	if s.idempotent && !now.Before(s.deadline) {
		s.maybeRan = s.maybeRan || s.running() > 0
		c.fail(s, errs.New(errs.Expired, errs.NotRun, "no answer before the deadline"))
		return
	}
	if s.idempotent {
		c.scheduleTick(s.deadline)
	}
	if !s.retryAt.IsZero() {
		if now.Before(s.retryAt) {
			c.scheduleTick(s.retryAt)
			return
		}
		s.retryAt = time.Time{}
		if !c.startAttempt(now, s) {
			c.fail(s, s.last)
		}
		return
	}
	if s.hedgeAt.IsZero() {
		return
	}
	if now.Before(s.hedgeAt) {
		c.scheduleTick(s.hedgeAt)
		return
	}
	s.hedgeAt = time.Time{}
	if c.unused(now, s) > 0 && c.budget.Take(now) {
		c.startAttempt(now, s)
	}
}

func (c *Core) latency(route string) *latency {
	l := c.latencies[route]
	if l == nil {
		l = &latency{}
		c.latencies[route] = l
	}
	return l
}

func (c *Core) scheduleTick(at time.Time) {
	if c.nextTimer.IsZero() || at.Before(c.nextTimer) {
		c.nextTimer = at
	}
}
