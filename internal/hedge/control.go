package hedge

import (
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/expect"
)

const (
	// lookupGoalShare is the fraction of a lookup's goal after which a hedge is due while
	// no latencies are known. The remaining time must suffice for a whole response.
	lookupGoalShare = 0.4
	// streamGoalShare is the fraction of a stream's goal after which a second engine reads
	// the prompt too while no latencies are known. A read takes about a second of the
	// goal's 4.5 s.
	streamGoalShare = 0.55
	// minDelay keeps the delay of a hedge above the round trip between regions plus the
	// usual processing time.
	minDelay = 55 * time.Millisecond
	// slowQuantile is the quantile of recent latencies after which an attempt is slow.
	slowQuantile = 0.95
	// usualQuantile is the quantile of recent latencies that a second attempt is expected
	// to take.
	usualQuantile = 0.5
	// reportInterval is the least time between two reports of denials of a route.
	reportInterval = time.Second
	// maxRoutes bounds the routes whose latencies are kept, of 300 bytes each.
	maxRoutes = 512
	// maxIdle is the time after which a route without latencies and reports is discarded if
	// there are maxRoutes. The latencies have lost 15 of 16 parts of their weight by then.
	maxIdle = 4 * halfLife
)

// Result is what became of a hedge, as a label value of metrics.
type Result string

// The results.
const (
	// Sent means that the hedge was sent.
	Sent Result = "sent"
	// OverLimit means that the limit of hedges denied it.
	OverLimit Result = "limit"
	// OverBudget means that the retry budget denied it.
	OverBudget Result = "budget"
	// Won means that the hedge was answered before the attempt beside it.
	Won Result = "won"
)

// Attempt describes the attempt that a hedge would run beside. Its fields are exported for
// construction only.
type Attempt struct {
	Service string
	Route   string
	// Stream is true for a stream, whose response begins with its first piece.
	Stream bool
	// Goal is the time from the arrival of the request in which its response should be
	// complete or, for a stream, begin.
	Goal    time.Duration
	Arrived time.Time
	Sent    time.Time
}

// due returns the time by which the response should be there.
func (a Attempt) due() time.Time { return a.Arrived.Add(a.Goal) }

// fixed returns the time of a hedge while no latencies are known.
func (a Attempt) fixed() time.Time {
	if a.Stream {
		return a.Sent.Add(time.Duration(streamGoalShare * float64(a.Goal)))
	}
	return a.Sent.Add(max(time.Duration(lookupGoalShare*float64(a.Goal)), minDelay))
}

// route is what is known of one route.
type route struct {
	latencies  latencies
	reportedAt time.Time
	usedAt     time.Time
}

// Control decides about the hedges of one VM. It is not safe for concurrent use.
type Control struct {
	shares *shares
	routes map[string]*route
	// beginnings holds how long runs take to their first piece, by service.
	beginnings map[string]*expect.Times
	observe    func(Result)
}

// New returns the control of a VM that divides the burst of the limit among least VMs until
// it knows of more. observe is called with each result and may be nil.
func New(l Limit, least int, observe func(Result)) *Control {
	if observe == nil {
		observe = func(Result) {}
	}
	return &Control{
		shares:     newShares(l, least),
		routes:     make(map[string]*route),
		beginnings: make(map[string]*expect.Times),
		observe:    observe,
	}
}

// Limited reports whether a limit is set. Without one, hedges are due after fixed parts of
// the goal.
func (c *Control) Limited() bool { return c.shares.limit.set }

// SetVMs sets the number of enrolled VMs.
func (c *Control) SetVMs(now time.Time, vms int) { c.shares.setVMs(now, vms) }

// CountFirst counts a first attempt of a service.
func (c *Control) CountFirst(now time.Time, service string) {
	if c.Limited() {
		c.shares.of(now, service).CountFirst(now)
	}
}

// Answered adds the time that an attempt took to its response, or to the first piece of a
// stream.
func (c *Control) Answered(now time.Time, a Attempt, d time.Duration) {
	c.record(now, a, d)
	if !a.Stream {
		return
	}
	times := c.beginnings[a.Service]
	if times == nil {
		times = &expect.Times{}
		c.beginnings[a.Service] = times
	}
	times.Observe(d)
}

// Overtaken adds an attempt whose hedge was answered first. Its latency would be longer than
// the time that has passed; without it, the slowest latencies would be missing.
func (c *Control) Overtaken(now time.Time, a Attempt) {
	c.record(now, a, now.Sub(a.Sent))
	c.observe(Won)
}

// record adds a latency of a route if quantiles are used.
func (c *Control) record(now time.Time, a Attempt, d time.Duration) {
	if !c.Limited() {
		return
	}
	if r := c.route(now, a.Route); r != nil {
		r.latencies.observe(now, d)
	}
}

// At returns the time at which a hedge beside an attempt that is sent now is due. Under a
// limit, that is when the attempt is slower than nearly all recent ones of the route, but
// not later than a usual response would still be in time, and not before minDelay.
func (c *Control) At(now time.Time, a Attempt) time.Time {
	r := c.routes[a.Route]
	if !c.Limited() || c.shares.limit.off() || r == nil || !r.latencies.known(now) {
		return a.fixed()
	}
	at := a.Sent.Add(r.latencies.quantile(slowQuantile))
	if latest := a.due().Add(-r.latencies.quantile(usualQuantile)); latest.Before(at) {
		at = latest
	}
	if earliest := a.Sent.Add(minDelay); at.Before(earliest) {
		return earliest
	}
	return at
}

// LateAt returns the time at which an attempt without a response is as late as a hedge
// without known latencies, so that its upstream counts as slow. The quantile alone does not
// show that: one in twenty attempts at a healthy upstream exceeds it.
func (c *Control) LateAt(a Attempt) time.Time { return a.fixed() }

// Pays reports whether a hedge beside the attempt pays now. If not, again is the time at
// which it does, or zero if hedging is off. A second read of a prompt that is not in time
// only delays the other runs of its engine.
func (c *Control) Pays(now time.Time, a Attempt) (pays bool, again time.Time) {
	if times := c.beginnings[a.Service]; times != nil && a.Stream && !times.Pays(now, a.Sent, a.due()) {
		return false, times.StuckAt(a.Sent, a.due())
	}
	return !c.shares.limit.off(), time.Time{}
}

// Take counts a hedge if the limit and then the retry budget permit it, and reports whether
// they do. share is the share of the budget that is left to others. A denial is returned
// only if it is to be logged, at most once for each route in reportInterval.
func (c *Control) Take(now time.Time, a Attempt, b *budget.Window, share float64) (bool, *Denial) {
	limit := c.shares.of(now, a.Service)
	switch {
	case c.Limited() && !limit.Permits(now, 0):
		return false, c.deny(now, a, OverLimit, limit)
	case !b.TakeAbove(now, share):
		return false, c.deny(now, a, OverBudget, b)
	}
	if c.Limited() {
		limit.Take(now)
	}
	c.observe(Sent)
	return true, nil
}

// deny counts a denial and returns it if it is to be logged.
func (c *Control) deny(now time.Time, a Attempt, result Result, w *budget.Window) *Denial {
	c.observe(result)
	r := c.route(now, a.Route)
	if r == nil || !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < reportInterval {
		return nil
	}
	r.reportedAt = now
	left, more := w.Left(now)
	return &Denial{
		reason: denialReasons[result],
		left:   left,
		more:   more,
	}
}

// denialReasons holds the reasons of denials for logs.
var denialReasons = map[Result]string{
	OverLimit:  "limit of hedges",
	OverBudget: "budget of repeats",
}

// Denial is a hedge that was denied.
type Denial struct {
	reason string
	left   int
	more   time.Duration
}

// Reason returns what denied the hedge, for logs.
func (d *Denial) Reason() string { return d.reason }

// Left returns the number of hedges or repeats that are still permitted, of which some may be
// left to others.
func (d *Denial) Left() int { return d.left }

// More returns the time after which more are permitted, or 0 if none are under way.
func (d *Denial) More() time.Duration { return d.more }

// route returns the record of a route, or nil if there are too many.
func (c *Control) route(now time.Time, name string) *route {
	r := c.routes[name]
	if r == nil {
		if len(c.routes) >= maxRoutes && !c.discardIdle(now) {
			return nil
		}
		r = &route{}
		c.routes[name] = r
	}
	r.usedAt = now
	return r
}

// discardIdle discards idle routes and reports whether there were any.
func (c *Control) discardIdle(now time.Time) bool {
	before := len(c.routes)
	for name, r := range c.routes {
		if now.Sub(r.usedAt) > maxIdle {
			delete(c.routes, name)
		}
	}
	return len(c.routes) < before
}
