package reap

import (
	"maps"
	"slices"
	"time"
)

const (
	// checkDelay is the time that the close of a connection has to reach the
	// engine before the run is looked for, and the time between two checks. A round
	// trip between regions takes 24 ms, and a run must be stopped within 400 ms of
	// its begin.
	checkDelay = 250 * time.Millisecond
	// retryDelay is the pause before an order is sent again that the engine could not
	// carry out with any other engine.
	retryDelay = 100 * time.Millisecond
	// retryInterval is the time between two orders to an engine that does not answer
	// or refuses connections.
	retryInterval = 300 * time.Millisecond
	// maxChecks is the number of times that a run is looked for which may be in the
	// engine's queue, where it is not found. It covers 4 s.
	maxChecks = 16
	// maxOrders is the number of orders at once to an engine that answers. A run may
	// go on for 400 ms, and an order takes 50 to 100 ms between regions.
	maxOrders = 8
	// maxRetryDelay bounds the pause before an order is sent again that the engine could
	// not carry out. The pause doubles each time that all other engines were tried.
	maxRetryDelay = 800 * time.Millisecond
	// maxRunOrders is the number of orders about one run, after which it is left to its
	// deadline. An engine that does not answer gets as many in 30 s.
	maxRunOrders = 100
	// maxRuns bounds the tracked runs. No more are tracked until some have ended.
	maxRuns = 1024
)

// Outcome is an engine's answer to the order to stop a run.
type Outcome uint8

// The outcomes of an order.
const (
	// Unanswered means that the engine did not answer.
	Unanswered Outcome = iota
	// Refused means that the engine answered without stopping the run.
	Refused
	// Stopped means that the run was in progress and has ended.
	Stopped
	// Absent means that no such run is in progress.
	Absent
	// Replaced means that the incarnation that had the run has ended.
	Replaced
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "refused", "stopped", "absent", "replaced"}[o]
}

// Run identifies the run of a cancelled attempt. Its fields are exported for
// construction only.
type Run struct {
	// Service is the name of the engine's service, Instance the id of its incarnation,
	// and Address its host:port.
	Service  string
	Instance string
	Address  string
	// Request is the id of the request.
	Request string
	// Others holds the addresses of other engines of the service. An engine that stops
	// a run offers the run's memory to one of them, and does not stop the run if that
	// one can't take it.
	Others []string
	// Copied is true if the engine was asked for a copy of the run before. The copy may
	// be in use, and is not freed with the one that the order makes.
	Copied bool
	// Begun is true if the run had output when it was cancelled.
	Begun bool
	// Until is the time at which the engine ends the run by itself.
	Until time.Time
}

// Order is an instruction to stop a run. The engine's answer is applied with
// Set.Answer.
type Order struct {
	number    uint64
	run       Run
	cancelled time.Time
	sent      time.Time
	other     string
	first     bool
}

// Run returns the run to stop.
func (o Order) Run() Run { return o.run }

// Cancelled returns the time of the cancel.
func (o Order) Cancelled() time.Time { return o.cancelled }

// Other returns the address of the engine that is offered the run's memory, or "".
func (o Order) Other() string { return o.other }

// First reports whether it is the first order about the run.
func (o Order) First() bool { return o.first }

// entry is a tracked run.
type entry struct {
	run Run
	// cancelled is the time of the cancel, and due that of the next order.
	cancelled time.Time
	due       time.Time
	// checks is the number of orders that may find no run.
	checks int
	// refusals is the number of orders that the engine could not carry out.
	refusals int
	// order is the number of the order about the run that is unanswered, or 0.
	order uint64
	// orders is the number of orders about the run so far, and latest the latest answer
	// to one.
	orders int
	latest Outcome
	// suspended is true while another attempt of the request is at the engine.
	suspended bool
}

// engine holds the tracked runs of the incarnations at one address.
type engine struct {
	entries []*entry
	// orders holds the unanswered orders by number, each with the entry that it is
	// about, or nil if that is no longer tracked.
	orders map[uint64]*entry
	// silent is true if the latest answer is that an order was not answered.
	silent bool
}

// Set is the set of tracked runs. It is not safe for concurrent use.
type Set struct {
	// engines holds the engines with tracked runs or an unanswered order, by address.
	// An order reaches the incarnation that has the address.
	engines map[string]*engine
	// size is the number of tracked runs.
	size int
	// number is that of the latest order.
	number uint64
	// next is the earliest time at which an order may be due, or zero if none is.
	next time.Time
	// ended is called with each run about which there were orders once it is no longer
	// tracked.
	ended func(Ended)
}

// Ended is the end of the search for a cancelled run.
type Ended struct {
	run       Run
	outcome   Outcome
	orders    int
	cancelled time.Time
}

// Run returns the run.
func (e Ended) Run() Run { return e.run }

// Outcome returns the latest answer: Unanswered or Refused if the run was given up, or
// left to its deadline.
func (e Ended) Outcome() Outcome { return e.outcome }

// Orders returns the number of orders about the run.
func (e Ended) Orders() int { return e.orders }

// Cancelled returns when the run was cancelled.
func (e Ended) Cancelled() time.Time { return e.cancelled }

// New returns an empty set.
func New() *Set {
	return &Set{
		engines: make(map[string]*engine),
		ended:   func(Ended) {},
	}
}

// WithObserver sets the function that is called with the end of each run about which
// there were orders. It must be called before any other method.
func (s *Set) WithObserver(ended func(Ended)) *Set {
	s.ended = ended
	return s
}

// Add tracks a cancelled run. It is ordered to stop at once if silent is true,
// because the attempt's connection has delivered nothing, and otherwise if its end
// is not seen.
func (s *Set) Add(now time.Time, r Run, silent bool) {
	g := s.engines[r.Address]
	if g == nil {
		g = &engine{
			orders: make(map[uint64]*entry),
		}
		s.engines[r.Address] = g
	}
	s.remove(g, func(e *entry) bool { return e.run.Request == r.Request })
	if s.size >= maxRuns {
		s.expire(now)
	}
	if s.size < maxRuns {
		e := &entry{
			run:       r,
			cancelled: now,
			due:       now.Add(checkDelay),
			checks:    1,
		}
		if silent || !r.Begun {
			// A run with output may have been preempted, and be in the queue again.
			e.checks = maxChecks
		}
		if silent {
			e.due = now
		}
		g.entries = append(g.entries, e)
		s.size++
	}
	s.settle()
}

// Suspend pauses the orders about a request at an address to which the request is
// sent again, because they would stop the new attempt. That holds for another
// incarnation too: engines need not check the one that an order names.
func (s *Set) Suspend(address, request string) {
	if e := s.find(address, request); e != nil {
		e.suspended = true
		s.settle()
	}
}

// Resume continues the orders about a request at an address, where the later attempt
// has ended.
func (s *Set) Resume(now time.Time, address, request string) {
	if e := s.find(address, request); e != nil && e.suspended {
		e.suspended, e.due = false, now
		s.settle()
	}
}

// Len returns the number of tracked runs.
func (s *Set) Len() int { return s.size }

// Next returns the time of the next call of Due that has an effect, and false if
// none is due.
func (s *Set) Next() (time.Time, bool) { return s.next, !s.next.IsZero() }

// Due returns the orders to send now. An engine that does not answer gets one order
// at a time.
func (s *Set) Due(now time.Time) []Order {
	if s.next.IsZero() || now.Before(s.next) {
		return nil
	}
	s.expire(now)
	var orders []Order
	for _, address := range slices.Sorted(maps.Keys(s.engines)) {
		g := s.engines[address]
		for e := g.first(); e != nil && !now.Before(e.due); e = g.first() {
			s.number++
			e.order = s.number
			e.orders++
			g.orders[e.order] = e
			orders = append(orders, Order{
				number:    e.order,
				run:       e.run,
				cancelled: e.cancelled,
				sent:      now,
				other:     e.other(),
				first:     e.orders == 1,
			})
		}
	}
	s.settle()
	return orders
}

// Answer applies the answer to an order.
func (s *Set) Answer(now time.Time, o Order, outcome Outcome) {
	g := s.engines[o.run.Address]
	if g == nil {
		return
	}
	answered, ok := g.orders[o.number]
	if !ok {
		return
	}
	delete(g.orders, o.number)
	if answered != nil {
		answered.order, answered.latest = 0, outcome
	}
	g.silent = outcome == Unanswered
	switch outcome {
	case Replaced:
		s.remove(g, func(e *entry) bool { return e.run.Instance == o.run.Instance })
	case Unanswered:
		for _, e := range g.entries {
			e.postpone(o.sent.Add(retryInterval))
		}
	case Refused:
		answered.refused(now)
	case Stopped:
		s.remove(g, func(e *entry) bool { return e == answered })
	case Absent:
		s.remove(g, func(e *entry) bool { return e == answered && e.absent(now) })
	}
	s.remove(g, func(e *entry) bool { return e == answered && e.orders >= maxRunOrders })
	s.settle()
}

// postpone delays the next order to the time at.
func (e *entry) postpone(at time.Time) {
	if e != nil && e.due.Before(at) {
		e.due = at
	}
}

// refused records that the engine could not carry out an order. The run's memory is
// offered to the next engine at once, and again after a pause once all have been
// tried.
func (e *entry) refused(now time.Time) {
	if e == nil {
		return
	}
	e.refusals++
	tried := max(len(e.run.Others), 1)
	if e.refusals%tried == 0 {
		e.postpone(now.Add(min(retryDelay<<min(e.refusals/tried-1, 8), maxRetryDelay)))
	}
}

// other returns the engine to offer the run's memory to. Another one is tried after
// each refusal.
func (e *entry) other() string {
	if len(e.run.Others) == 0 {
		return ""
	}
	return e.run.Others[e.refusals%len(e.run.Others)]
}

// absent records that the engine had no such run, and reports whether it need not
// be looked for any more.
func (e *entry) absent(now time.Time) bool {
	e.checks--
	e.due = now.Add(checkDelay)
	return e.checks <= 0
}

// first returns the entry whose order is due first, or nil if there is none or the
// engine has to answer first.
func (g *engine) first() *entry {
	if len(g.orders) >= maxOrders || g.silent && len(g.orders) > 0 {
		return nil
	}
	var first *entry
	for _, e := range g.entries {
		if !e.suspended && e.order == 0 && (first == nil || e.due.Before(first.due)) {
			first = e
		}
	}
	return first
}

// find returns the entry of a request at an address, or nil.
func (s *Set) find(address, request string) *entry {
	g := s.engines[address]
	if g == nil {
		return nil
	}
	i := slices.IndexFunc(g.entries, func(e *entry) bool { return e.run.Request == request })
	if i < 0 {
		return nil
	}
	return g.entries[i]
}

// expire stops tracking the runs that their engines have ended by themselves.
func (s *Set) expire(now time.Time) {
	for _, g := range s.engines {
		s.remove(g, func(e *entry) bool { return !now.Before(e.run.Until) })
	}
}

// remove stops tracking the matching runs of an engine.
func (s *Set) remove(g *engine, match func(e *entry) bool) {
	before := len(g.entries)
	g.entries = slices.DeleteFunc(g.entries, func(e *entry) bool {
		if !match(e) {
			return false
		}
		if e.order != 0 {
			g.orders[e.order] = nil
		}
		if e.orders > 0 {
			s.ended(Ended{
				run:       e.run,
				outcome:   e.latest,
				orders:    e.orders,
				cancelled: e.cancelled,
			})
		}
		return true
	})
	s.size -= before - len(g.entries)
}

// settle drops the engines without runs and sets next after a change.
func (s *Set) settle() {
	s.next = time.Time{}
	for address, g := range s.engines {
		if len(g.entries) == 0 && len(g.orders) == 0 {
			delete(s.engines, address)
			continue
		}
		if e := g.first(); e != nil && (s.next.IsZero() || e.due.Before(s.next)) {
			s.next = e.due
		}
	}
}
