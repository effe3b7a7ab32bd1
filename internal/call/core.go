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
	// maxAttempts bounds the attempts of one call, with the hedge.
	maxAttempts = 4
	// rest is the time for which an upstream that could not be reached or
	// refused is used last. Its failures are quick, so that it would otherwise
	// have the least outstanding work.
	rest = time.Second
	// away is the time for which an upstream that is leaving gets no new work.
	// The list names it as leaving within that time, or it has restarted.
	away = 5 * time.Second
	// again is the pause before an upstream is tried a second time.
	again      = 20 * time.Millisecond
	retryAfter = time.Second
	// maxCalls bounds the calls in flight, each of which holds a goroutine and
	// its answer.
	maxCalls = 8192
)

type attempt struct {
	upstream *world.VM
	start    time.Time
	ended    bool
}

type state struct {
	number     uint64
	service    string
	route      string
	idempotent bool
	deadline   time.Time
	// attempts are numbered from 1 by their position.
	attempts []attempt
	// hedgeAt and retryAt are zero when no such attempt is due.
	hedgeAt time.Time
	retryAt time.Time
	last    *errs.Problem
	// sent is true when an attempt may have run.
	sent bool
	// finished is true once the outcome was given or the caller left. The
	// state stays until all attempts have ended.
	finished bool
}

// Core holds the plain calls of one VM. It is owned by one goroutine.
type Core struct {
	calls map[uint64]*state
	// load counts the attempts in flight by upstream name.
	load map[string]int
	// tired holds the end of the rest by upstream name.
	tired map[string]time.Time
	// left holds the end of the absence of leaving upstreams by name.
	left   map[string]time.Time
	recent map[string]*latency
	budget *budget.Retry
	// live returns the upstreams of a service that take new work.
	live func(service string) []*world.VM
	turn int
	due  time.Time
	out  []Action
}

// New returns a core that sends to the upstreams that live names.
func New(live func(service string) []*world.VM, b *budget.Retry) *Core {
	return &Core{
		calls:  map[uint64]*state{},
		load:   map[string]int{},
		tired:  map[string]time.Time{},
		left:   map[string]time.Time{},
		recent: map[string]*latency{},
		budget: b,
		live:   live,
	}
}

// Step tells the core of an event and returns its orders.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = nil
	switch e.kind {
	case begin:
		c.begin(now, e)
	case gone:
		c.gone(e.number)
	case ended:
		c.ended(now, e)
	}
	c.expire(now)
	return c.out
}

// Next returns the time of the next tick that the core needs, or zero.
func (c *Core) Next() time.Time { return c.due }

// Calls returns the number of calls with attempts in flight or to come.
func (c *Core) Calls() int { return len(c.calls) }

func (c *Core) begin(now time.Time, e Event) {
	s := &state{
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
	c.budget.Count(now)
	if !c.open(now, s) {
		c.fail(s, errs.New(errs.Unavailable, errs.NotRun, "no upstream of %s is live", s.service).WithRetry(retryAfter))
	}
	c.tidy(s)
}

// takers returns the live upstreams of a service that are not leaving.
func (c *Core) takers(now time.Time, service string) []*world.VM {
	live := c.live(service)
	if len(c.left) == 0 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(v *world.VM) bool { return now.Before(c.left[v.Name()]) })
}

// open starts an attempt at the live upstream with the least outstanding work.
// Upstreams that the call has not used come first, rested ones before tired.
func (c *Core) open(now time.Time, s *state) bool {
	live := c.takers(now, s.service)
	c.turn++
	var best *world.VM
	bestRank := 0
	for i := range live {
		v := live[(i+c.turn)%len(live)]
		rank := c.load[v.Name()]
		if now.Before(c.tired[v.Name()]) {
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
	c.out = append(c.out, Action{
		kind:     Open,
		number:   s.number,
		attempt:  len(s.attempts),
		upstream: best,
	})
	if s.idempotent {
		c.wake(s.deadline)
	}
	if s.idempotent && len(s.attempts) == 1 && len(live) > 1 {
		s.hedgeAt = now.Add(c.latency(s.route).hedge())
		c.wake(s.hedgeAt)
	}
	return true
}

func (s *state) used(v *world.VM) bool {
	for _, a := range s.attempts {
		if a.upstream.Name() == v.Name() {
			return true
		}
	}
	return false
}

func (s *state) running() int {
	n := 0
	for _, a := range s.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

func (c *Core) ended(now time.Time, e Event) {
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
	defer c.tidy(s)
	if e.leaving {
		c.left[name] = now.Add(away)
	}
	if s.finished {
		return
	}
	if e.problem == nil {
		delete(c.tired, name)
		c.latency(s.route).add(now.Sub(a.start))
		c.finish(s, Action{
			answer: e.answer,
		})
		return
	}
	c.failed(now, s, name, e.problem)
}

// failed handles the problem of one attempt.
func (c *Core) failed(now time.Time, s *state, name string, p *errs.Problem) {
	s.last = p
	if p.Outcome() == errs.NotRun {
		c.tired[name] = now.Add(rest)
	} else {
		s.sent = true
	}
	if s.running() > 0 {
		return
	}
	if c.repeatable(now, s, p) {
		s.hedgeAt = time.Time{}
		s.retryAt = now
		if c.fresh(now, s) == 0 {
			s.retryAt = now.Add(again << len(s.attempts))
		}
		c.wake(s.retryAt)
		return
	}
	c.fail(s, p)
}

// repeatable reports whether the call may be sent again: a lookup always, a
// booking only after the proof that it has not run, and to another upstream.
func (c *Core) repeatable(now time.Time, s *state, p *errs.Problem) bool {
	if len(s.attempts) >= maxAttempts || !now.Before(s.deadline) {
		return false
	}
	if !s.idempotent && (p.Outcome() != errs.NotRun || c.fresh(now, s) == 0) {
		return false
	}
	return c.budget.Take(now)
}

// fresh returns the number of live upstreams that the call has not used.
func (c *Core) fresh(now time.Time, s *state) int {
	n := 0
	for _, v := range c.takers(now, s.service) {
		if !s.used(v) {
			n++
		}
	}
	return n
}

// fail finishes the call with a problem. A lookup is not proven not to have
// run if any of its attempts may have, and is safe to repeat in any case.
func (c *Core) fail(s *state, p *errs.Problem) {
	if s.idempotent {
		if s.sent && p.Outcome() == errs.NotRun {
			p = errs.New(p.Kind(), errs.Unknown, "%s", p.Detail())
		}
		p = p.WithRetry(max(p.Retry(), retryAfter))
	}
	c.finish(s, Action{
		problem: p,
	})
}

func (c *Core) finish(s *state, a Action) {
	a.kind = Finish
	a.number = s.number
	c.out = append(c.out, a)
	c.stop(s)
}

// stop cancels what still runs of a lookup.
func (c *Core) stop(s *state) {
	s.finished = true
	s.hedgeAt, s.retryAt = time.Time{}, time.Time{}
	if !s.idempotent {
		return
	}
	for i, a := range s.attempts {
		if !a.ended {
			c.out = append(c.out, Action{
				kind:    Cancel,
				number:  s.number,
				attempt: i + 1,
			})
		}
	}
}

func (c *Core) gone(number uint64) {
	if s := c.calls[number]; s != nil && !s.finished && s.idempotent {
		c.stop(s)
		c.tidy(s)
	}
}

// tidy forgets a finished call whose attempts have all ended.
func (c *Core) tidy(s *state) {
	if s.finished && s.running() == 0 {
		delete(c.calls, s.number)
	}
}

// expire handles the times that have passed.
func (c *Core) expire(now time.Time) {
	if c.due.IsZero() || now.Before(c.due) {
		return
	}
	c.due = time.Time{}
	for _, n := range slices.Sorted(maps.Keys(c.calls)) {
		if s := c.calls[n]; !s.finished {
			c.expireCall(now, s)
			c.tidy(s)
		}
	}
	for _, m := range []map[string]time.Time{c.tired, c.left} {
		maps.DeleteFunc(m, func(_ string, t time.Time) bool { return !now.Before(t) })
	}
}

func (c *Core) expireCall(now time.Time, s *state) {
	if s.idempotent && !now.Before(s.deadline) {
		s.sent = s.sent || s.running() > 0
		c.fail(s, errs.New(errs.Expired, errs.NotRun, "no answer before the deadline"))
		return
	}
	if s.idempotent {
		c.wake(s.deadline)
	}
	if !s.retryAt.IsZero() {
		if now.Before(s.retryAt) {
			c.wake(s.retryAt)
			return
		}
		s.retryAt = time.Time{}
		if !c.open(now, s) {
			c.fail(s, s.last)
		}
		return
	}
	if s.hedgeAt.IsZero() {
		return
	}
	if now.Before(s.hedgeAt) {
		c.wake(s.hedgeAt)
		return
	}
	s.hedgeAt = time.Time{}
	if c.fresh(now, s) > 0 && c.budget.Take(now) {
		c.open(now, s)
	}
}

func (c *Core) latency(route string) *latency {
	l := c.recent[route]
	if l == nil {
		l = &latency{}
		c.recent[route] = l
	}
	return l
}

func (c *Core) wake(at time.Time) {
	if c.due.IsZero() || at.Before(c.due) {
		c.due = at
	}
}
