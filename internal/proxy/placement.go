package proxy

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// queryTimeout bounds a query of an engine's state or id. A new connection
	// and a request take two round trips of 24 ms between regions.
	queryTimeout = 130 * time.Millisecond
	// placementTimeout bounds the wait for the states of the candidates of a
	// placement.
	placementTimeout = 60 * time.Millisecond
	// placementCandidates is the number of engines that are considered for a
	// new run.
	placementCandidates = 4
	// resumeCandidates is the number of engines that are queried for the cached
	// prompt of a caller that resumes a stream. It is larger than
	// placementCandidates, since the set of engines may have changed in the
	// meantime.
	resumeCandidates = 6
	// prefillRate is the number of prompt tokens that an engine reads per
	// second. It converts cached tokens to the delay that they save.
	prefillRate = 5000
)

// PromptCached is the suffix of the reason of a Send to an engine that has
// cached the prompt of a caller that resumes a stream.
const PromptCached = ", prompt kept"

// placement is a pending choice of an engine that waits for the states of its
// candidates.
type placement struct {
	reason string
	// isHedge is true if the attempt would run beside another one.
	isHedge    bool
	deadline   time.Time
	candidates []*pool.Upstream
	// outstanding counts the answers that are still expected, by engine id.
	outstanding map[string]int
	// cachedTokens holds the number of prompt tokens that engines have cached,
	// by engine id.
	cachedTokens map[string]int
}

// queryState queries the state of an engine unless such a query is in flight or the
// engine rests. It reports whether it does.
func (c *Core) queryState(now time.Time, u *pool.Upstream, instance, reason string) bool {
	key := stateQueryKey(u.ID(), instance)
	if _, ok := c.stateQueries[key]; ok {
		return false
	}
	if instance == "" && !u.PermitQuery(now) {
		return false
	}
	c.stateQueries[key] = now
	c.actions = append(c.actions, Action{
		kind:     QueryState,
		upstream: u,
		instance: instance,
		timeout:  c.paths.Timeout(),
		reason:   reason,
	})
	return true
}

// stateQueryKey returns the key of a query in Core.stateQueries.
func stateQueryKey(upstream, instance string) string { return upstream + " " + instance }

// stateReported applies the state that an engine reported, or its failure to
// answer.
func (c *Core) stateReported(now time.Time, e Event) {
	began := c.stateQueries[stateQueryKey(e.upstream, e.instance)]
	delete(c.stateQueries, stateQueryKey(e.upstream, e.instance))
	if e.responded || e.refused {
		c.noteAnswer(c.pool.Find(e.upstream), began)
	}
	if e.instance != "" {
		c.otherAnswered(now, e)
		c.resumeMisdirected(now, e.upstream, e.instance)
		c.endAwaitingID(now, e.upstream, e.instance)
		return
	}
	listed, u := c.pool.Get(e.upstream), c.pool.Find(e.upstream)
	switch {
	case e.responded && listed != nil && listed.FromOtherIncarnation(e.state):
		c.queryID(u, e.state)
	case e.responded && u != nil && !u.FromOtherIncarnation(e.state):
		c.pool.UpdateState(now, u, e.state)
	case u != nil && !e.refused && (e.late > 0 || began.Before(c.pausedAt)):
		c.askAgain(now, u)
	case u != nil && !c.atFault(now, u, began):
		c.checkAgain(now, u, began)
	default:
		if listed != nil {
			c.upstreamUnreachable(now, listed)
		}
		c.engineDown(now, e.upstream, e.refused, e.responded)
	}
	if !c.awaitingID[e.upstream] {
		c.markAnswered(now, e.upstream, nil)
	}
}

// markAnswered ends the wait of all placements for an engine. If another engine
// succeeded it at its address, that one becomes a candidate.
func (c *Core) markAnswered(now time.Time, id string, successor *pool.Upstream) {
	for _, x := range c.sortedExchanges() {
		if x.placement == nil {
			continue
		}
		if successor != nil && x.placement.outstanding[id] > 0 {
			x.placement.candidates = append(x.placement.candidates, successor)
		}
		x.placement.markAnswered(id)
		c.decidePlacement(now, x)
	}
}

// queryID marks a listed engine as replaced by another incarnation at its
// address, and queries the id of that one if it serves the same service.
func (c *Core) queryID(u *pool.Upstream, s pool.State) {
	u.MarkReplaced()
	if !c.sameService(u, s) {
		return
	}
	c.awaitingID[u.ID()] = true
	c.actions = append(c.actions, Action{
		kind:     QueryID,
		upstream: u,
		path:     c.table.Service(u.Entry().Service()).HealthPath(),
		timeout:  queryTimeout,
		reason:   "another incarnation",
	})
}

// idReported queries the state of the engine that replaced another one and has the
// reported id, unless the pool has it already. The state that was reported before is
// of no use: the address may have passed to another service since.
func (c *Core) idReported(now time.Time, e Event) {
	if old := c.pool.Get(e.upstream); c.awaitingID[e.upstream] && old != nil && e.instance != "" && c.pool.Get(e.instance) == nil {
		c.queryState(now, old, e.instance, "another incarnation")
		return
	}
	c.endAwaitingID(now, e.upstream, e.instance)
}

// endAwaitingID ends the wait of placements for the engine that replaced another one.
func (c *Core) endAwaitingID(now time.Time, replaced, instance string) {
	if !c.awaitingID[replaced] {
		return
	}
	delete(c.awaitingID, replaced)
	c.markAnswered(now, replaced, c.pool.Get(instance))
}

// otherAnswered adds an engine to the pool that answered at the address of another
// one. Its id was reported before its state: if another incarnation has the address
// by the time of the state, the one with the id has ended and runs nothing.
func (c *Core) otherAnswered(now time.Time, e Event) {
	if old := c.pool.Get(e.upstream); e.responded && old != nil && c.sameService(old, e.state) {
		c.pool.AddProvisional(now, old, e.instance, e.state)
	}
}

// IdentifiedService returns the only service whose engines are like the one that
// reported its state in e, or "" if there is none. e must be a StateReported event.
func (c *Core) IdentifiedService(e Event) string {
	if c.table == nil || !e.responded {
		return ""
	}
	return c.table.Identify(e.state.Memory(), e.state.Models())
}

// sameService reports whether the state of an engine identifies it as one of
// the service of the upstream that it replaced.
func (c *Core) sameService(old *pool.Upstream, s pool.State) bool {
	return c.table != nil && c.table.Identify(s.Memory(), s.Models()) == old.Entry().Service()
}

// engineDown ends the attempts of repeatable streams at an engine that does not answer,
// refuses connections, or has ended. Streams that can't go on elsewhere keep theirs in the
// first case, since the engine may be silent for a while only.
func (c *Core) engineDown(now time.Time, id string, refused, ended bool) {
	for _, x := range c.sortedExchanges() {
		if !x.stream() || !x.route.Repeatable() {
			continue
		}
		for _, a := range x.running() {
			if a.upstream.ID() == id && (refused || ended || c.mayLeave(now, x, a)) {
				a.refused = refused
				c.giveUp(now, x, a, Silent, "engine dead")
			}
		}
		c.resetAlarm(x)
	}
}

// promptReported applies the number of prompt tokens that an engine has cached.
func (c *Core) promptReported(now time.Time, e Event) {
	x := c.inFlight[e.number]
	if x == nil || x.placement == nil {
		return
	}
	x.placement.cachedTokens[e.upstream] = e.index
	x.placement.markAnswered(e.upstream)
	c.decidePlacement(now, x)
}

// markAnswered counts one answer of an engine.
func (s *placement) markAnswered(id string) {
	if s.outstanding[id]--; s.outstanding[id] <= 0 {
		delete(s.outstanding, id)
	}
}

// placeOnEngine queries a few candidates and starts an attempt at the best of
// them. The queries are needed because most of an engine's load comes from
// other VMs. A caller that resumes a stream is preferably sent to an engine
// that has cached its prompt.
func (c *Core) placeOnEngine(now time.Time, x *exchange, reason string) {
	candidates, resuming := c.candidates(now, x)
	s := &placement{
		reason:       reason,
		isHedge:      len(x.running()) > 0,
		deadline:     now.Add(placementTimeout),
		candidates:   candidates,
		outstanding:  make(map[string]int),
		cachedTokens: make(map[string]int),
	}
	for _, u := range s.candidates {
		if !u.HasFreshState(now) {
			s.outstanding[u.ID()]++
			c.queryState(now, u, "", "survey")
		}
		if resuming {
			s.outstanding[u.ID()]++
			u.TakeAhead(now)
			c.emit(x, Action{
				kind:     QueryPrompt,
				upstream: u,
				timeout:  placementTimeout,
				prompt:   x.need.Prompt(),
			})
		}
	}
	x.placement = s
	c.decidePlacement(now, x)
}

// candidates returns the engines that are considered for a run, and whether its caller
// resumes a stream whose prompt engines may have cached.
func (c *Core) candidates(now time.Time, x *exchange) (list []*pool.Upstream, resuming bool) {
	resuming = x.q.Spec().Position > 0 && x.need.Prompt() != ""
	size := placementCandidates
	if resuming {
		size = resumeCandidates
	}
	return c.pool.Candidates(now, x.need, x.excludes, size), resuming
}

// decidePlacement sends the request once all candidates have answered or the
// placement has timed out.
func (c *Core) decidePlacement(now time.Time, x *exchange) {
	s := x.placement
	if s == nil || len(s.outstanding) > 0 && now.Before(s.deadline) {
		return
	}
	x.placement = nil
	// A move may have begun or ended since the candidates were chosen.
	candidates := slices.DeleteFunc(s.candidates, x.wrongVersion)
	upstream := c.pool.Best(now, x.need, candidates, func(u *pool.Upstream) float64 {
		return -float64(s.cachedTokens[u.ID()]) / prefillRate
	})
	switch {
	case s.isHedge && !c.takeHedge(now, x, upstream):
		// The running attempt continues.
	case upstream == nil || upstream.BackingOff(now):
		c.sendToBest(now, x, s.reason)
	case x.deadline.Sub(now) < minTimeLeft:
		c.fail(now, x, "no time left", errs.Expired)
	default:
		if s.cachedTokens[upstream.ID()] > 0 {
			s.reason += PromptCached
		}
		c.send(now, x, upstream, s.reason)
	}
	c.resetAlarm(x)
}
