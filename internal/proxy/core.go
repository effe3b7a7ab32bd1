package proxy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// maxLive bounds the requests in flight, each of which holds its body and
	// some connections.
	maxLive = 1500
	// soon is told to callers of work that did not run and can be tried again
	// at another VM at once.
	soon = 50 * time.Millisecond
	// minLater and maxLater bound what is told to callers of work that can't
	// be taken at present; a crashed upstream is back after about a second.
	minLater = 200 * time.Millisecond
	maxLater = 1500 * time.Millisecond
	// laterShare is the part of the caller's time after which it is told to
	// come back; callers come back within a third of it.
	laterShare = 0.3
)

// Core holds all requests of one VM that are forwarded over HTTP. It is owned
// by the dispatcher.
type Core struct {
	table  *table.Table
	pool   *pool.Pool
	live   map[uint64]*exchange
	alarms *alarm.Set[uint64]
	// budgets holds the budget of repeated sends of each service.
	budgets map[string]*budget.Window
	limits  Budget
	// shifts holds the services whose traffic goes over to another version.
	shifts   map[string]*shift
	exposure move.Exposure
	// peers is the number of VMs that share the slack of the budgets.
	peers int
	// asking holds the time at which each engine that has not answered was
	// asked, by its id and the incarnation in question.
	asking map[string]time.Time
	// unnamed holds the statements of engines whose id is asked for, by the id
	// of the former ones at their addresses.
	unnamed map[string]pool.State
	// early holds the requests that arrived before the first table.
	early    []earlyRequest
	draining bool
	// until is when a stopping VM ends.
	until time.Time
	draw  func() float64
	out   []Action
}

// Budget bounds repeated sends, summed over all VMs.
type Budget struct {
	ratio float64
	slack float64
	span  time.Duration
}

// NewBudget returns a bound of ratio repeats for each request, and slack more,
// in every span of time.
func NewBudget(ratio, slack float64, span time.Duration) Budget {
	return Budget{
		ratio: ratio,
		slack: slack,
		span:  span,
	}
}

// New returns a core without a table and with the pool, which it owns.
func New(p *pool.Pool, b Budget, seed uint64) *Core {
	return &Core{
		pool:    p,
		live:    make(map[uint64]*exchange),
		alarms:  alarm.New[uint64](),
		budgets: make(map[string]*budget.Window),
		shifts:  make(map[string]*shift),
		peers:   move.MinVMs,
		limits:  b,
		asking:  make(map[string]time.Time),
		unnamed: make(map[string]pool.State),
		draw:    rand.New(rand.NewPCG(seed, 1)).Float64,
	}
}

// WithExposure sets the bound on unproven versions. Call it before the first
// event.
func (c *Core) WithExposure(e move.Exposure) *Core {
	c.exposure = e
	return c
}

// Table returns the routing table in force, or nil.
func (c *Core) Table() *table.Table { return c.table }

// Pool returns the upstreams.
func (c *Core) Pool() *pool.Pool { return c.pool }

// Live returns the number of requests in flight.
func (c *Core) Live() int { return len(c.live) }

// Waiting returns the number of requests in flight without an attempt that
// runs: they wait for a place, an upstream or the routing table.
func (c *Core) Waiting() int {
	n := len(c.early)
	for _, x := range c.live {
		if len(x.running()) == 0 {
			n++
		}
	}
	return n
}

// Ready reports whether the VM can serve: it has a table, knows upstreams and
// is not stopping.
func (c *Core) Ready() bool { return c.table != nil && c.pool.Len() > 0 && !c.draining }

// Next returns the time at which a Tick is due and whether there is one.
func (c *Core) Next() (time.Time, bool) {
	at, ok := c.alarms.Next()
	if len(c.early) > 0 && (!ok || c.early[0].end.Before(at)) {
		return c.early[0].end, true
	}
	return at, ok
}

// Step applies one event and returns the actions that follow from it. The
// slice is valid until the next call.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = c.out[:0]
	switch e.kind {
	case Arrive:
		c.arrive(now, e.request)
	case Gone:
		c.gone(now, e.number)
	case Stated:
		c.stated(now, e)
	case Named:
		c.named(now, e)
	case Found:
		c.found(now, e)
	case Configure:
		if c.table == nil || e.table.Version() > c.table.Version() {
			c.table = e.table
		}
		c.admit(now)
	case Members:
		for _, id := range e.gone {
			c.pool.Remove(id)
		}
		for _, l := range e.listed {
			c.pool.Upsert(l)
		}
		c.admit(now)
	case Shift:
		c.shiftTo(e)
	case Peers:
		c.recount(e.index)
	case Drain:
		c.until = e.until
		c.draining = true
	case Head, Piece, Copied, Finish, Reply, Lost:
		c.progress(now, e)
	}
	c.ring(now)
	return c.out
}

// ring looks at every exchange whose time has come.
func (c *Core) ring(now time.Time) {
	c.expire(now)
	for {
		n, ok := c.alarms.Due(now)
		if !ok {
			return
		}
		if x := c.live[n]; x != nil {
			c.look(now, x)
			c.settle(x)
		}
	}
}

// ordered returns the exchanges in order of arrival, so that equal events give
// equal actions.
func (c *Core) ordered() []*exchange {
	list := slices.Collect(maps.Values(c.live))
	slices.SortFunc(list, func(a, b *exchange) int { return cmp.Compare(a.q.Number(), b.q.Number()) })
	return list
}

// settle sets the exchange's alarm after a change.
func (c *Core) settle(x *exchange) {
	if c.live[x.q.Number()] == x {
		c.alarms.Set(x.q.Number(), x.due())
	}
}

func (c *Core) arrive(now time.Time, q *Request) {
	if c.table == nil || c.pool.Len() == 0 {
		c.hold(now, q)
		return
	}
	rt := c.table.Match(q.spec.Host, q.spec.Path)
	if rt == nil {
		c.reject(q, errs.NotFound, "no such route", 0)
		return
	}
	var w *table.Workspace
	if c.table.RequiresKeys() && !rt.Public() {
		if w = c.table.WorkspaceForKey(q.spec.Key); w == nil {
			c.reject(q, errs.Unauthorized, "unknown key", 0)
			return
		}
	}
	if c.draining && (rt.Kind() == table.Stream || deadline(now, rt, q).After(c.until)) {
		c.reject(q, errs.Unavailable, "stopping", soon)
		return
	}
	if len(c.live) >= maxLive {
		c.reject(q, errs.Unavailable, "too many requests in flight", later(q))
		return
	}
	x := &exchange{
		q:         q,
		route:     rt,
		workspace: w,
		arrived:   now,
		passed:    now,
		position:  q.spec.Position,
		end:       deadline(now, rt, q),
	}
	x.need = c.need(x)
	c.enlist(now, x)
	c.live[q.Number()] = x
	c.budget(x.need.Service()).Count(now)
	c.begin(now, x, "first")
	c.settle(x)
}

// need returns what the request takes of an upstream of a drawn service.
func (c *Core) need(x *exchange) pool.Need {
	name := x.route.Service(c.draw())
	n := pool.NewNeed(name)
	s := c.table.Service(name)
	if s == nil || s.Engine() == nil || !x.stream() {
		return n
	}
	x.tokens = x.q.spec.Prompt + x.q.spec.Output
	return n.WithTokens(x.tokens, s.Engine().Memory()).WithPrompt(x.q.spec.Session)
}

// deadline returns the time of the final answer: the route's bound or the
// caller's, whichever is earlier.
func deadline(now time.Time, rt *table.Route, q *Request) time.Time {
	wait := rt.Timeout()
	if wait == 0 || q.spec.Wait > 0 && q.spec.Wait < wait {
		wait = q.spec.Wait
	}
	if wait == 0 {
		wait = defaultWait
	}
	return now.Add(wait)
}

// defaultWait bounds a request for which neither the route nor the caller
// states a time.
const defaultWait = 30 * time.Second

// budget returns the bound on repeated sends to a service.
func (c *Core) budget(service string) *budget.Window {
	b := c.budgets[service]
	if b == nil {
		b = budget.NewWindow(c.limits.ratio, c.share(), c.limits.span)
		c.budgets[service] = b
	}
	return b
}

// share returns this VM's part of the slack.
func (c *Core) share() float64 { return c.limits.slack / float64(c.peers) }

// recount applies the number of VMs.
func (c *Core) recount(peers int) {
	c.peers = max(peers, move.MinVMs)
	for _, b := range c.budgets {
		b.SetSlack(c.share())
	}
}

// gone ends the exchange of a caller that left.
func (c *Core) gone(now time.Time, number uint64) {
	c.early = slices.DeleteFunc(c.early, func(e earlyRequest) bool { return e.q.Number() == number })
	x := c.live[number]
	if x == nil {
		return
	}
	c.finish(now, x, Action{
		kind:   Forget,
		reason: "caller left",
	})
}

// progress applies an event of an attempt.
func (c *Core) progress(now time.Time, e Event) {
	x := c.live[e.number]
	if x == nil || e.attempt < 1 || e.attempt > len(x.attempts) {
		return
	}
	a := x.attempts[e.attempt-1]
	if a.ended {
		return
	}
	if e.load.known {
		a.up.ReportLoad(now, e.load.running, e.load.waiting)
	}
	switch e.kind {
	case Head:
		a.up.RecordActivity(now)
		a.head = e.answer
	case Piece:
		c.piece(now, x, a, e.index, e.bytes)
	case Copied:
		c.copied(now, a, e.handle)
	case Finish:
		c.finished(now, x, a)
	case Reply:
		c.replied(now, x, a, e.answer)
	case Lost:
		if e.leaving {
			a.up.MarkLeaving()
		}
		c.lost(now, x, a, e)
	}
	c.settle(x)
}

// end closes the books of an attempt.
func (c *Core) end(x *exchange, a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	a.up.RemoveAttempt(x.tokens, x.stream() && !a.begun)
	if a.holder != nil {
		a.holder.AddCopyTokens(-x.tokens)
	}
	if a.ordered.holder != nil {
		a.ordered.holder.AddCopyTokens(-x.tokens)
	}
}

// drop gives up an attempt that has not ended.
func (c *Core) drop(x *exchange, a *attempt, reason string) {
	if a.ended {
		return
	}
	c.end(x, a)
	c.act(x, Action{
		kind:     Cancel,
		attempt:  a.number,
		upstream: a.up,
		reason:   reason,
	})
}

// finish ends the exchange with a last action and gives up what still runs.
func (c *Core) finish(_ time.Time, x *exchange, last Action) {
	for _, a := range x.running() {
		c.drop(x, a, "not needed")
	}
	x.delist()
	delete(c.live, x.q.Number())
	c.alarms.Clear(x.q.Number())
	c.act(x, last)
}

// fail ends the exchange without an answer of an upstream. The problem states
// that the request has not run only if that is proven.
func (c *Core) fail(now time.Time, x *exchange, reason string, kind errs.Kind) {
	switch {
	case x.opened:
		c.finish(now, x, Action{
			kind:   Break,
			reason: reason,
		})
	case x.reply != nil:
		c.finish(now, x, Action{
			kind:   Deliver,
			reason: reason,
			answer: x.reply,
		})
	case x.ran == 0 && len(x.running()) == 0:
		// An attempt in flight may still run.
		c.finish(now, x, Action{
			kind:    Refuse,
			reason:  reason,
			problem: errs.New(errs.Unavailable, errs.NotRun, "%s", reason).WithRetry(later(x.q)),
		})
	default:
		c.finish(now, x, Action{
			kind:    Refuse,
			reason:  reason,
			problem: errs.New(kind, errs.Unknown, "%s", reason),
		})
	}
}

// later returns when the caller of a refused request should come back.
func later(q *Request) time.Duration {
	return min(max(time.Duration(laterShare*float64(q.spec.Wait)), minLater), maxLater)
}

// reject answers a request that was not admitted.
func (c *Core) reject(q *Request, kind errs.Kind, reason string, retry time.Duration) {
	c.out = append(c.out, Action{
		kind:    Refuse,
		number:  q.Number(),
		reason:  reason,
		problem: errs.New(kind, errs.NotRun, "%s", reason).WithRetry(retry),
	})
}

func (c *Core) act(x *exchange, a Action) {
	a.number = x.q.Number()
	a.route = x.route.Name()
	a.class = x.route.Kind().String()
	c.out = append(c.out, a)
}
