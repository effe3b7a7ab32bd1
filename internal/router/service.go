package router

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/admit"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// scheduleWaiting assigns free engines to waiting responses first and then to
// queued requests.
func (rt *Router) scheduleWaiting(now time.Time) {
	rt.lastScheduled = now
	for _, name := range rt.serviceNames() {
		ss := rt.services[name]
		if rt.retryWaiting(now, ss) {
			continue
		}
		for {
			i := ss.queue.Pop(now)
			if i == nil {
				break
			}
			e := rt.queued[i.ID()]
			delete(rt.queued, i.ID())
			if rt.admit(now, ss, e.request) {
				break
			}
		}
	}
}

// retryWaiting looks again for engines for the waiting responses of a service:
// first those that continue delivered output, then the others, each by deadline.
// It reports whether a response without output still waits and is not pausing
// after refusals; queued requests must not overtake such a response.
func (rt *Router) retryWaiting(now time.Time, ss *serviceState) bool {
	slices.SortStableFunc(ss.waiting, func(a, b *relay.Response) int {
		if a.Continues() != b.Continues() {
			if a.Continues() {
				return -1
			}
			return 1
		}
		return a.Request().Deadline().Compare(b.Request().Deadline())
	})
	for _, r := range slices.Clone(ss.waiting[:min(len(ss.waiting), maxRetriesPerPass)]) {
		rt.actions = r.Retry(now, rt.actions)
		if !r.Waiting() {
			ss.waiting = slices.DeleteFunc(ss.waiting, func(o *relay.Response) bool { return o == r })
			rt.updateResponse(now, r)
		}
	}
	return slices.ContainsFunc(ss.waiting, func(r *relay.Response) bool { return !r.Continues() && !r.Pausing(now) })
}

// admit starts the response to a request and reports whether the response has
// to wait for an engine.
func (rt *Router) admit(now time.Time, ss *serviceState, q *relay.Request) bool {
	r := relay.NewResponse(q, ss.chooseVersion(now, q), rt.policy)
	rt.responses[q.ID()] = r
	rt.actions = r.Start(now, rt.actions)
	if r.Waiting() && ss.shouldFallBack(r, rt.engines) {
		r.SwitchVersion(ss.defaultVersion())
		rt.actions = r.Retry(now, rt.actions)
	}
	rt.updateResponse(now, r)
	return r.Waiting()
}

// choose returns the engine for an attempt, preferring the local region. A
// response without output first switches to the default version if its version
// is banned or is an unproven version on which an attempt failed.
func (rt *Router) choose(now time.Time, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
	if ss, ok := rt.services[r.Request().Service()]; ok && (ss.isBanned(r.Version()) || ss.failedUnproven(r)) {
		r.SwitchVersion(ss.defaultVersion())
	}
	return rt.engines.choose(now, rt.rng, r, avoid)
}

// configure applies a configuration. Revisions that are not newer than the
// current one are ignored.
func (rt *Router) configure(now time.Time, m *world.Config) {
	if m.Revision() <= rt.config.Revision() {
		return
	}
	rt.config = m
	for name, s := range m.Services() {
		if s.Kind() != world.Engine {
			continue
		}
		ss, ok := rt.services[name]
		if !ok {
			ss = rt.newServiceState()
			rt.services[name] = ss
		}
		ss.service = s
		ss.setMove(s.Move(), rt.rng)
	}
	for name, ss := range rt.services {
		if m.Service(name) == nil {
			ss.setMove(nil, rt.rng)
		}
	}
	rt.engines.configure(now, m)
	rt.scheduleWaiting(now)
}

// applyLimits sets the traffic limits of the new version during a move. If the
// version is banned, waiting responses without output switch to the default
// version.
func (rt *Router) applyLimits(now time.Time, ev Event) {
	ss, ok := rt.services[ev.id]
	if !ok || ss.move == nil || ss.move.declared.To() != ev.version {
		return
	}
	ss.move.gate.Set(ev.limits)
	ss.move.done = ev.limits.Done()
	ss.move.banned = ev.banned
	if !ev.banned {
		return
	}
	for _, r := range ss.waiting {
		if ss.isBanned(r.Version()) {
			r.SwitchVersion(ss.defaultVersion())
		}
	}
	rt.scheduleWaiting(now)
}

// newServiceState returns the state of a service that was not configured before.
func (rt *Router) newServiceState() *serviceState {
	ss := &serviceState{meanDuration: defaultDuration}
	ss.queue = admit.NewQueue(ss.reserve, func() time.Duration {
		if !rt.engines.hasLiveEngine(ss.service.Name()) {
			return 0
		}
		return ss.meanDuration / time.Duration(rt.engines.maxConcurrent(ss.service.Name()))
	})
	if rt.fifo {
		ss.queue.SetFIFO()
	}
	return ss
}

// reserve returns how long before its deadline a request must leave the queue
// to be completed in time.
func (ss *serviceState) reserve(i *admit.Item) time.Duration {
	return min(ss.meanDuration+deviationFactor*ss.meanDeviation, time.Duration(maxReserveFraction*float64(i.Deadline().Sub(i.Arrived()))))
}

// recordDuration updates the average duration with that of an ended response.
// Abandoned and failed responses are ignored, except those that the deadline
// cut off after more than the average duration.
func (ss *serviceState) recordDuration(s *relay.Stats) {
	deviation := s.Total() - ss.meanDuration
	p := s.Problem()
	if s.Abandoned() || p != nil && (p.Kind() != errs.Expired || deviation < 0) {
		return
	}
	ss.meanDuration += time.Duration(durationWeight * float64(deviation))
	ss.meanDeviation += time.Duration(durationWeight * float64(deviation.Abs()-ss.meanDeviation))
}

func (rt *Router) addWaiting(r *relay.Response) {
	ss, ok := rt.services[r.Request().Service()]
	if ok && !slices.Contains(ss.waiting, r) {
		ss.waiting = append(ss.waiting, r)
	}
}

func (rt *Router) anyWaiting() bool {
	for _, ss := range rt.services {
		if len(ss.waiting) > 0 {
			return true
		}
	}
	return false
}

func (rt *Router) unqueue(e *queuedRequest) {
	id := e.request.ID()
	delete(rt.queued, id)
	rt.alarms.Clear(id)
	if ss, ok := rt.services[e.request.Service()]; ok {
		ss.queue.Drop(id)
	}
}

func (rt *Router) refuse(q *relay.Request, p *errs.Problem) {
	rt.actions = append(rt.actions, relay.Refuse(q, p)...)
}
