package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/admit"
	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/picker"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// durationWeight is the weight of a new observation in the exponential
	// moving averages of response durations.
	durationWeight = 0.1
	// deviationFactor is the number of mean deviations added to the mean duration
	// when deciding whether a request can still finish before its deadline. With
	// the mean alone, about half of the requests admitted last miss it.
	deviationFactor = 3
	// defaultDuration is the initial mean duration of a service's responses.
	defaultDuration = 2 * time.Second
	// maxReserveFraction limits the part of the time between arrival and deadline
	// that is reserved for running a queued request.
	maxReserveFraction = 0.5
	// maxRetriesPerPass bounds the waiting responses of one service that one
	// scheduling pass retries.
	maxRetriesPerPass = 64
	// scheduleInterval is the time between two scheduling passes when no event
	// frees capacity.
	scheduleInterval = 50 * time.Millisecond
	// pauseThreshold is the timer delay above which this VM itself is assumed to
	// have been paused.
	pauseThreshold = 200 * time.Millisecond
	// pauseGrace delays all timers after a pause, so that tokens buffered
	// meanwhile are read before a stream is considered silent.
	pauseGrace = 100 * time.Millisecond
)

// Router holds the state of all generations on one entry VM and decides what
// to do on each event. It is not safe for concurrent use; the dispatcher
// goroutine owns it.
type Router struct {
	config  *world.Config
	engines *engineSet
	// services is keyed by the name of the model service.
	services  map[string]*serviceState
	responses map[string]*relay.Response
	// queued holds the requests that are not admitted yet, by request ID.
	queued map[string]*queuedRequest
	alarms *alarm.Set[string]
	rng    *rand.Rand
	policy *relay.Policy
	// fifo makes admission first come, first served, without early refusal.
	fifo bool
	// retries limits repeated attempts that are not caused by the loss of an
	// engine.
	retries *budget.Retry
	// report is called once for each response that ended.
	report func(now time.Time, r *relay.Response)
	// lastScheduled is the time of the last scheduling pass.
	lastScheduled time.Time
	// lastStep is the time of the last call of Step. After a pause of this VM,
	// no timer fires before alarmsHeldUntil.
	lastStep        time.Time
	alarmsHeldUntil time.Time
	actions         []relay.Action
}

// queuedRequest is a request that waits for admission.
type queuedRequest struct {
	request *relay.Request
	item    *admit.Item
}

// serviceState holds the admission state of one model service.
type serviceState struct {
	service *world.Service
	queue   *admit.Queue
	// waiting holds admitted responses for which no engine is available.
	waiting []*relay.Response
	move    *activeMove
	// meanDuration and meanDeviation are exponential moving averages over ended
	// responses.
	meanDuration  time.Duration
	meanDeviation time.Duration
}

// New returns a router for an entry VM in the given region. The router calls
// report, which may be nil, for each response that ended.
func New(region string, seed uint64, report func(now time.Time, r *relay.Response)) *Router {
	rt := &Router{
		config:    world.NewConfig(0, nil, nil, nil, nil),
		engines:   newEngineSet(region),
		services:  make(map[string]*serviceState),
		responses: make(map[string]*relay.Response),
		queued:    make(map[string]*queuedRequest),
		alarms:    alarm.New[string](),
		rng:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		retries:   budget.NewRetry(budget.DefaultRatio, budget.DefaultFloor, budget.DefaultBurst),
		report:    report,
	}
	if rt.report == nil {
		rt.report = func(time.Time, *relay.Response) {}
	}
	rt.policy = relay.NewPolicy(rt.choose, rt.engines.find, rt.retries.Take)
	return rt
}

// UseBaseline makes the router use the baseline policy that the regular one is
// compared with: a fixed silence timeout, restarts instead of resumes, and the
// engine with the lowest reported load.
func (rt *Router) UseBaseline(timeout time.Duration) {
	rt.policy = rt.policy.Baseline(timeout)
	rt.engines.pick = func(_ time.Time, _ *rand.Rand, p *picker.Pool, _ *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
		return p.LeastReported(avoid)
	}
}

// SetFIFO makes the router admit requests first come, first served, without
// early refusal, as a baseline for comparison. It must be called before the
// first event.
func (rt *Router) SetFIFO() { rt.fifo = true }

// Step applies one event, handles all timers that are due at now, and returns
// the actions to take. The slice is valid until the next call.
func (rt *Router) Step(now time.Time, ev Event) []relay.Action {
	rt.actions = rt.actions[:0]
	if at, ok := rt.alarms.Next(); ok && now.Sub(at) > pauseThreshold && now.Sub(rt.lastStep) > pauseThreshold {
		rt.alarmsHeldUntil = now.Add(pauseGrace)
	}
	rt.lastStep = now
	switch ev.kind {
	case Arrive:
		rt.arrive(now, ev.request)
	case Token, Finish, Lost, CallerLeft, SlowReader:
		rt.applyResponseEvent(now, ev)
	case Load:
		rt.engines.recordLoad(now, ev.id, ev.load)
		rt.engines.rebuildIfDue(now)
		rt.scheduleWaiting(now)
	case Unreachable:
		rt.engines.markUnreachable(ev.id)
	case Members:
		rt.engines.updateMembers(ev.vms)
		rt.engines.rebuildIfDue(now)
		rt.scheduleWaiting(now)
	case Config:
		rt.configure(now, ev.config)
	case MoveLimits:
		rt.applyLimits(now, ev)
	}
	if rt.engines.dirty {
		rt.engines.rebuildIfDue(now)
	}
	rt.fireAlarms(now)
	return rt.actions
}

// Next returns the time by which Step must be called again, with a Tick if
// there is no other event. It returns false if no timer is set.
func (rt *Router) Next() (time.Time, bool) {
	at, ok := rt.alarms.Next()
	if p := rt.engines.nextRebuild(); rt.engines.dirty && (!ok || p.Before(at)) {
		at, ok = p, true
	}
	if rt.anyWaiting() {
		if p := rt.lastScheduled.Add(scheduleInterval); !ok || p.Before(at) {
			at, ok = p, true
		}
	}
	if ok && at.Before(rt.alarmsHeldUntil) {
		return rt.alarmsHeldUntil, true
	}
	return at, ok
}

// Config returns the configuration in force.
func (rt *Router) Config() *world.Config { return rt.config }

// Engines returns all engines known to this VM, sorted by name.
func (rt *Router) Engines() []*fleet.Engine { return rt.engines.sorted() }

// Live returns the number of admitted responses that have not ended.
func (rt *Router) Live() int { return len(rt.responses) }

// Queued returns the number of queued requests plus the number of admitted
// responses that wait for an engine.
func (rt *Router) Queued() int {
	n := len(rt.queued)
	for _, ss := range rt.services {
		n += len(ss.waiting)
	}
	return n
}

// arrive admits, queues or refuses a request.
func (rt *Router) arrive(now time.Time, q *relay.Request) {
	if rt.config.Revision() == 0 {
		rt.refuse(q, errs.New(errs.Unavailable, errs.NotRun, "no configuration is known yet").WithRetry(time.Second))
		return
	}
	ss, ok := rt.services[q.Service()]
	if !ok {
		rt.refuse(q, unknownService(q.Service()))
		return
	}
	rt.retries.CountFirst(now)
	if q.Resume() != nil {
		rt.reconnect(now, ss, q)
		return
	}
	weight := 1
	if w := rt.config.Workspace(q.Workspace()); w != nil {
		weight = w.Weight()
	}
	i := admit.NewItem(q.ID(), q.Workspace(), weight, q.Class(), q.Limit(), q.Deadline())
	if p := ss.queue.Push(now, i); p != nil {
		rt.refuse(q, p)
		return
	}
	rt.queued[q.ID()] = &queuedRequest{
		request: q,
		item:    i,
	}
	startBy := q.Deadline()
	if !rt.fifo {
		startBy = startBy.Add(-ss.reserve(i))
	}
	rt.alarms.Schedule(q.ID(), startBy)
	rt.scheduleWaiting(now)
}

// reconnect continues a response for a caller that reconnected. It takes over
// the earlier response if that still runs on this VM, and otherwise starts from
// the caller's cursor.
func (rt *Router) reconnect(now time.Time, ss *serviceState, q *relay.Request) {
	old, ok := rt.responses[q.ID()]
	if !ok {
		rt.admit(now, ss, q)
		return
	}
	ss.waiting = slices.DeleteFunc(ss.waiting, func(o *relay.Response) bool { return o == old })
	var r *relay.Response
	r, rt.actions = relay.TakeOver(old, q, rt.actions)
	rt.responses[q.ID()] = r
	rt.actions = r.Start(now, rt.actions)
	rt.updateResponse(now, r)
}

// applyResponseEvent applies an event that concerns one response. Any event but
// a Token removes a request that is still queued.
func (rt *Router) applyResponseEvent(now time.Time, ev Event) {
	r, ok := rt.responses[ev.id]
	if !ok {
		if e, ok := rt.queued[ev.id]; ok && ev.kind != Token {
			rt.unqueue(e)
		}
		return
	}
	switch ev.kind {
	case Token:
		rt.actions = r.Token(now, ev.attempt, ev.index, ev.token, ev.text, rt.actions)
	case Finish:
		rt.actions = r.Finish(now, ev.attempt, ev.index, ev.text, ev.promptTokens, rt.actions)
	case Lost:
		rt.actions = r.Lost(now, ev.attempt, ev.cause, rt.actions)
	case CallerLeft:
		rt.actions = r.Disconnect(now, rt.actions)
	case SlowReader:
		rt.actions = r.Stop(now, errs.New(errs.Slow, errs.Ran, "the response was not read in time"), rt.actions)
	}
	rt.updateResponse(now, r)
	if ev.kind != Token || r.Ended() {
		rt.scheduleWaiting(now)
	}
}

// updateResponse updates the waiting list and the timer of a response after an
// event, and removes the response if it ended.
func (rt *Router) updateResponse(now time.Time, r *relay.Response) {
	id := r.Request().ID()
	if r.Ended() {
		rt.removeResponse(now, r)
		return
	}
	if r.Waiting() {
		rt.addWaiting(r)
	}
	rt.alarms.Schedule(id, r.NextTick(now))
}

func (rt *Router) removeResponse(now time.Time, r *relay.Response) {
	id := r.Request().ID()
	delete(rt.responses, id)
	rt.alarms.Clear(id)
	if ss, ok := rt.services[r.Request().Service()]; ok {
		ss.waiting = slices.DeleteFunc(ss.waiting, func(o *relay.Response) bool { return o == r })
		ss.recordDuration(r.Stats())
	}
	rt.report(now, r)
}

// fireAlarms handles every timer that is due, unless this VM was just paused.
func (rt *Router) fireAlarms(now time.Time) {
	if now.Before(rt.alarmsHeldUntil) {
		return
	}
	for {
		id, ok := rt.alarms.PopDue(now)
		if !ok {
			break
		}
		if r, ok := rt.responses[id]; ok {
			rt.actions = r.Tick(now, rt.actions)
			rt.updateResponse(now, r)
		} else if e, ok := rt.queued[id]; ok {
			rt.unqueue(e)
			rt.refuse(e.request, errs.New(errs.Overload, errs.NotRun, "no engine became free before the deadline").WithRetry(time.Second))
		}
	}
	if rt.anyWaiting() && !now.Before(rt.lastScheduled.Add(scheduleInterval)) {
		rt.scheduleWaiting(now)
	}
}

// serviceNames returns the service names in a fixed order, so that the same
// events always produce the same actions.
func (rt *Router) serviceNames() []string {
	names := make([]string, 0, len(rt.services))
	for name := range rt.services {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
