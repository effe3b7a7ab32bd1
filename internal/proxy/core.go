package proxy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fair"
	"clementinelink.example/clementinelink/internal/heard"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/quota"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// maxInFlight bounds the requests in flight, each of which holds its body
	// and some connections.
	maxInFlight = 1500
	// retrySoon is the Retry-After time for a request that did not run and that
	// another VM can take immediately.
	retrySoon = 50 * time.Millisecond
	// maxDrainResume is the time for which a draining VM takes the rests of lost
	// streams. The load balancer stops sending new connections within 2.5 s.
	maxDrainResume = 2800 * time.Millisecond
	// stopMargin is the time before a draining VM stops at which it answers what is
	// still under way, so that the answers arrive before the connections are cut.
	stopMargin = 100 * time.Millisecond
)

// Core holds the state of all requests that one VM forwards over HTTP. It is
// owned by the dispatcher's goroutine and is not safe for concurrent use.
type Core struct {
	table    *table.Table
	pool     *pool.Pool
	inFlight map[uint64]*exchange
	// omitted counts the requests in flight that a copy of a core leaves out.
	omitted int
	alarms  *alarm.Set[uint64]
	// budgets holds the retry budget of each service.
	budgets *budget.Shares
	// returns holds the time by service at which the latest request that was refused
	// because of limits was told to come back.
	returns *quota.Returns
	// moves holds the services whose traffic is moving to another version.
	moves    map[string]*serviceMove
	exposure move.Exposure
	// peers is the number of VMs that share the slack of the retry budgets.
	peers int
	// stateQueries holds the start time of each state query in flight, keyed by
	// the engine's id and the incarnation that the query is about.
	stateQueries map[string]time.Time
	// order ranks work at engines.
	order *fair.Order
	// hedges decides about second attempts beside slow ones.
	hedges *hedge.Control
	// paths tells the silence of an engine from that of the link to it.
	paths *heard.Paths
	// witnessAskedAt is when a witness was last queried.
	witnessAskedAt time.Time
	// awaitingID holds the ids of the engines that another one has replaced whose id or
	// state is being queried.
	awaitingID map[string]bool
	// cancelled holds the runs of engines that were cancelled while their requests
	// went on elsewhere.
	cancelled *reap.Set
	// pending holds the requests that arrived before the first configuration.
	pending  []pendingRequest
	draining bool
	// drainSince is when the VM began to drain, and stopBy is the time by which it
	// stops.
	drainSince time.Time
	stopBy     time.Time
	random     func() float64
	// charges holds the prompt parts that crash engines.
	charges []blame.Charge
	// pausedAt is the end of the VM's latest pause. No attempt is judged by a query that
	// began before it, and none by its silence before settledAt.
	pausedAt  time.Time
	settledAt time.Time
	actions   []Action
}

// New returns a core without a routing table. It takes ownership of the pool.
func New(p *pool.Pool, l budget.Limits, seed uint64) *Core {
	return &Core{
		pool:         p,
		inFlight:     make(map[uint64]*exchange),
		alarms:       alarm.New[uint64](),
		budgets:      budget.NewShares(l, move.MinVMs),
		returns:      quota.NewReturns(),
		moves:        make(map[string]*serviceMove),
		peers:        move.MinVMs,
		cancelled:    reap.New(),
		stateQueries: make(map[string]time.Time),
		order:        fair.NewOrder(false),
		hedges:       hedge.New(hedge.Limit{}, move.MinVMs, nil),
		paths:        heard.NewPaths(queryTimeout, maxPatience),
		awaitingID:   make(map[string]bool),
		random:       rand.New(rand.NewPCG(seed, 1)).Float64,
	}
}

// WithExposure sets the limit on requests to versions that are not proven yet.
// It must be called before the first Step.
func (c *Core) WithExposure(e move.Exposure) *Core {
	c.exposure = e
	return c
}

// WithOrder sets how work at engines is ranked. It must be called before the first Step.
func (c *Core) WithOrder(o *fair.Order) *Core {
	c.order = o
	return c
}

// WithHedges limits hedges. observe is called with what became of each. It must be called
// before the first Step.
func (c *Core) WithHedges(l hedge.Limit, observe func(hedge.Result)) *Core {
	c.hedges = hedge.New(l, move.MinVMs, observe)
	return c
}

// Table returns the current routing table, or nil before the first one.
func (c *Core) Table() *table.Table { return c.table }

// Pool returns the pool of upstreams, which the core owns.
func (c *Core) Pool() *pool.Pool { return c.pool }

// InFlight returns the number of requests in flight, without those that wait for
// the first configuration.
func (c *Core) InFlight() int { return len(c.inFlight) }

// Waiting returns the number of requests without a running attempt: those that
// wait for an upstream, for a retry or for the first configuration.
func (c *Core) Waiting() int {
	n := len(c.pending)
	for _, x := range c.inFlight {
		if len(x.running()) == 0 {
			n++
		}
	}
	return n
}

// WithStopObserver sets the function that is called with the end of the search for each
// cancelled run. It must be called before the first event.
func (c *Core) WithStopObserver(ended func(reap.Ended)) *Core {
	c.cancelled.WithObserver(ended)
	return c
}

// Ready reports whether the VM can serve requests: it has a routing table and
// upstreams and is not draining.
func (c *Core) Ready() bool { return c.table != nil && c.pool.Len() > 0 && !c.draining }

// Next returns the time at which the next Tick event is due, and false if none
// is.
func (c *Core) Next() (time.Time, bool) {
	at, ok := c.alarms.Next()
	if len(c.pending) > 0 && (!ok || c.pending[0].deadline.Before(at)) {
		at, ok = c.pending[0].deadline, true
	}
	if due, tracked := c.cancelled.Next(); tracked && (!ok || due.Before(at)) {
		at, ok = due, true
	}
	return at, ok
}

// Step applies one event and returns the resulting actions. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	c.pool.EndRests(now)
	switch e.kind {
	case Tick:
		if e.late > 0 {
			c.pausedAt, c.settledAt = now, now.Add(pause.Settle)
		}
	case Arrive:
		c.arrive(now, e.request)
	case CallerLeft:
		c.callerLeft(now, e.number)
	case StateReported:
		c.stateReported(now, e)
	case IDReported:
		c.idReported(now, e)
	case PromptReported:
		c.promptReported(now, e)
	case StopReported:
		c.cancelled.Answer(now, e.stop, e.stopOutcome)
	case Heard:
		c.pool.Hear(now, e.recipient, e.instance, e.statement, e.detail)
		c.reviewWaiting(now, false)
	case Configure:
		if c.table == nil || e.table.Version() > c.table.Version() {
			c.table = e.table
		}
		c.admitPending(now)
	case Members:
		for _, id := range e.unlisted {
			c.pool.Remove(id)
		}
		for _, l := range e.listed {
			c.pool.Upsert(now, l)
		}
		c.reviewWaiting(now, len(e.listed) > 0)
		c.admitPending(now)
	case MoveLimits:
		c.applyMove(e)
		c.reviewWaiting(now, e.limits.Done())
	case Peers:
		c.setPeers(now, e.index)
		c.pool.SetVMs(e.self, e.names)
	case Charges:
		c.applyCharges(now, e.charges)
		c.reviewWaiting(now, false)
	case Drain:
		c.drainSince, c.stopBy = now, e.until
		c.draining = true
		c.endBeforeStop()
		c.reviewWaiting(now, false)
	case Head, Piece, HeldBack, Copied, Finish, Reply, Lost:
		c.handleAttemptEvent(now, e)
	}
	c.fireAlarms(now)
	c.stopCancelled(now)
	return c.actions
}

// fireAlarms expires pending requests and handles every exchange whose alarm is
// due.
func (c *Core) fireAlarms(now time.Time) {
	c.expirePending(now)
	for {
		n, ok := c.alarms.PopDue(now)
		if !ok {
			return
		}
		if x := c.inFlight[n]; x != nil {
			c.handleTimer(now, x)
			c.resetAlarm(x)
		}
	}
}

// sortedExchanges returns the exchanges in order of arrival, so that the
// resulting actions do not depend on map order.
func (c *Core) sortedExchanges() []*exchange {
	list := slices.Collect(maps.Values(c.inFlight))
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.q.Number(), b.q.Number()) })
	return list
}

// resetAlarm updates the alarm of an exchange after a change of its state.
func (c *Core) resetAlarm(x *exchange) {
	if c.inFlight[x.q.Number()] == x {
		c.alarms.Schedule(x.q.Number(), x.nextDue(c.settledAt))
	}
}

// arrive admits a request and starts its first attempt, or refuses it.
func (c *Core) arrive(now time.Time, q *Request) {
	if c.table == nil || c.pool.Len() == 0 {
		c.holdPending(now, q)
		return
	}
	if x := c.admit(now, q); x != nil {
		c.begin(now, x)
	}
}

// admit decides about a request before the choice of an upstream, and returns nil if it
// refuses it.
func (c *Core) admit(now time.Time, q *Request) *exchange {
	rt := c.table.Match(q.Spec().Host, q.Spec().Path)
	if rt == nil {
		c.reject(q, errs.NotFound, "no such route", 0)
		return nil
	}
	var w *table.Workspace
	if c.table.RequiresKeys() && !rt.Public() {
		if w = c.table.WorkspaceForKey(q.Spec().Key); w == nil {
			c.reject(q, errs.Unauthorized, "unknown key", 0)
			return nil
		}
	}
	if c.draining && !c.fitsBeforeStop(now, rt, q, deadline(now, rt, q)) {
		c.reject(q, errs.Unavailable, "stopping", retrySoon)
		return nil
	}
	if len(c.inFlight)+c.omitted >= maxInFlight {
		c.reject(q, errs.Unavailable, "too many requests in flight", q.RetryAfter())
		return nil
	}
	x := &exchange{
		q:             q,
		route:         rt,
		workspace:     w,
		arrived:       now,
		lastDelivered: now,
		position:      q.Spec().Position,
		deadline:      deadline(now, rt, q),
	}
	x.need = c.newNeed(x)
	if x.stream() {
		x.fence = c.fenceFor(x.need.Service(), q.Spec().Parts)
	}
	if x.fence.closed {
		c.reject(q, errs.Unavailable, promptCharged, q.RetryAfter())
		return nil
	}
	c.assignVersion(now, x)
	return x
}

// begin starts the first attempt of an admitted request.
func (c *Core) begin(now time.Time, x *exchange) {
	c.inFlight[x.q.Number()] = x
	c.budgets.Of(x.need.Service()).CountFirst(now)
	c.hedges.CountFirst(now, x.need.Service())
	c.startAttempt(now, x, "first")
	c.resetAlarm(x)
}

// fitsBeforeStop reports whether a draining VM should take a request that is sent at
// the time now: it ends by its deadline before the VM stops, or it is the rest of a
// stream that the caller lost with another VM, which callers ask for only once. A new
// stream is better served by another VM.
func (c *Core) fitsBeforeStop(now time.Time, rt *table.Route, q *Request, deadline time.Time) bool {
	if rt.Kind() == table.Stream {
		return q.Spec().Position > 0 && rt.Repeatable() && now.Sub(c.drainSince) <= maxDrainResume
	}
	return !deadline.After(c.stopBy.Add(-stopMargin))
}

// endBeforeStop makes all requests other than streams end before a draining VM stops.
func (c *Core) endBeforeStop() {
	latest := c.stopBy.Add(-stopMargin)
	for _, x := range c.sortedExchanges() {
		if !x.stream() && x.deadline.After(latest) {
			x.deadline, x.cutShort = latest, true
			c.resetAlarm(x)
		}
	}
}

// newNeed draws a service of the request's route and returns what the request
// needs from an upstream of that service.
func (c *Core) newNeed(x *exchange) pool.Need {
	name := x.route.Service(c.random())
	n := pool.NewNeed(name)
	s := c.table.Service(name)
	if s == nil || s.Engine() == nil || !x.stream() {
		return n
	}
	x.tokens = x.q.Spec().Prompt + x.q.Spec().Output
	return n.WithTokens(x.tokens, s.Engine().Memory()).WithPrompt(x.q.Spec().Session)
}

// deadline returns the time by which the request must be answered: the earlier
// one of the route's and the caller's timeout.
func deadline(now time.Time, rt *table.Route, q *Request) time.Time {
	wait := rt.Timeout()
	if wait == 0 || q.Spec().Wait > 0 && q.Spec().Wait < wait {
		wait = q.Spec().Wait
	}
	if wait == 0 {
		wait = defaultWait
	}
	return now.Add(wait)
}

// defaultWait is the timeout of a request for which neither the route nor the
// caller states one.
const defaultWait = 30 * time.Second

// setPeers applies a new number of VMs to the retry budgets and the limit of hedges.
func (c *Core) setPeers(now time.Time, peers int) {
	c.peers = max(peers, move.MinVMs)
	c.budgets.SetVMs(c.peers)
	c.hedges.SetVMs(now, peers)
}

// callerLeft ends the request of a caller that disconnected.
func (c *Core) callerLeft(now time.Time, number uint64) {
	if i := slices.IndexFunc(c.pending, func(e pendingRequest) bool { return e.q.Number() == number }); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		c.actions = append(c.actions, Action{
			kind:   Forget,
			number: number,
			reason: "caller left",
		})
		return
	}
	x := c.inFlight[number]
	if x == nil {
		return
	}
	c.finish(now, x, Action{
		kind:   Forget,
		reason: "caller left",
	})
}

// handleAttemptEvent applies an event of one attempt and ignores events of
// attempts that have ended.
func (c *Core) handleAttemptEvent(now time.Time, e Event) {
	x := c.inFlight[e.number]
	if x == nil || e.attempt < 1 || e.attempt > len(x.attempts) {
		return
	}
	a := x.attempts[e.attempt-1]
	if a.ended {
		x.discount(a, e)
		return
	}
	c.pool.ReportLoad(now, a.upstream, e.load)
	switch e.kind {
	case Head:
		a.upstream.RecordActivity(now)
		a.head = e.answer
	case Piece:
		c.handlePiece(now, x, a, e.index, e.bytes)
	case HeldBack:
		// Its silence is the caller's.
		a.heldBack, a.lastProgress, x.lastDelivered = e.held, now, now
	case Copied:
		c.handleCopied(now, a, e.handle)
	case Finish:
		c.handleFinish(now, x, a)
	case Reply:
		c.handleReply(now, x, a, e.answer)
	case Lost:
		c.attemptLost(now, x, a, e)
	}
	c.resetAlarm(x)
}

// endAttempt marks an attempt as ended and releases the load and memory that
// were counted for it. An earlier run at the same address may be stopped from now
// on.
func (c *Core) endAttempt(now time.Time, x *exchange, a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	c.cancelled.Resume(now, a.upstream.Address(), x.q.ID())
	a.upstream.RemoveAttempt(x.tokens, x.stream() && !a.begun)
	if a.holder != nil {
		a.holder.AddCopyTokens(-x.tokens)
	}
	if a.onDemandCopy.holder != nil {
		a.onDemandCopy.holder.AddCopyTokens(-x.tokens)
	}
}

// cancelAttempt cancels an attempt unless it has ended.
func (c *Core) cancelAttempt(now time.Time, x *exchange, a *attempt, reason string) {
	if a.ended {
		return
	}
	c.endAttempt(now, x, a)
	c.emit(x, Action{
		kind:     Cancel,
		attempt:  a.number,
		upstream: a.upstream,
		reason:   reason,
	})
}

// finish ends the exchange with its final action and cancels the attempts that
// still run.
func (c *Core) finish(now time.Time, x *exchange, last Action) {
	for _, a := range x.running() {
		c.cancelAttempt(now, x, a, "not needed")
	}
	x.leaveMove()
	delete(c.inFlight, x.q.Number())
	c.alarms.Clear(x.q.Number())
	c.emit(x, last)
}

// fail ends the exchange without a good answer. The problem response states
// that the request did not run only if that is certain.
func (c *Core) fail(now time.Time, x *exchange, reason string, kind errs.Kind) {
	switch {
	case x.headSent:
		c.finish(now, x, Action{
			kind:   Abort,
			reason: reason,
		})
	case x.reply != nil:
		c.finish(now, x, Action{
			kind:   Deliver,
			reason: reason,
			answer: x.reply,
		})
	case x.possibleRuns == 0 && len(x.running()) == 0:
		// Nothing has run, and no attempt in flight can still run.
		c.finish(now, x, Action{
			kind:    Refuse,
			reason:  reason,
			problem: errs.New(errs.Unavailable, errs.NotRun, "%s", reason).WithRetry(c.retryAfter(now, x)),
		})
	default:
		c.finish(now, x, Action{
			kind:    Refuse,
			reason:  reason,
			problem: errs.New(kind, errs.Unknown, "%s", reason),
		})
	}
}

// reject refuses a request that has no exchange.
func (c *Core) reject(q *Request, kind errs.Kind, reason string, retry time.Duration) {
	c.actions = append(c.actions, Action{
		kind:    Refuse,
		number:  q.Number(),
		reason:  reason,
		problem: errs.New(kind, errs.NotRun, "%s", reason).WithRetry(retry),
	})
}

// emit appends an action of an exchange and fills in the request's number and
// route.
func (c *Core) emit(x *exchange, a Action) {
	a.number = x.q.Number()
	a.route = x.route.Name()
	a.class = x.route.Kind().String()
	c.actions = append(c.actions, a)
}
