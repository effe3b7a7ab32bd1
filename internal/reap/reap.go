package reap

import (
	"slices"
	"time"
)

const (
	// checkDelay is the time that the close of a connection has to reach the
	// engine before the run is checked. A round trip between regions takes 24 ms.
	checkDelay = 250 * time.Millisecond
	// retryDelay is the time after which an order to an engine that did not
	// answer is sent again.
	retryDelay = 300 * time.Millisecond
	// maxQueuedChecks is the number of times that a run is looked for which had no
	// output when it was cancelled. It may be in the engine's queue, which an
	// engine does not report. The delay doubles with each check.
	maxQueuedChecks = 4
	// lifetime is how long a run is tracked. Streams last for seconds.
	lifetime = 15 * time.Second
	// maxRuns bounds the tracked runs. The oldest one is dropped.
	maxRuns = 4096
)

// Outcome is an engine's answer to the order to stop a run.
type Outcome uint8

// The outcomes of an order.
const (
	// Unanswered means that the engine did not answer or could not tell.
	Unanswered Outcome = iota
	// Stopped means that the run was in progress and has ended.
	Stopped
	// Absent means that no such run is in progress.
	Absent
	// Replaced means that the incarnation that had the run has ended.
	Replaced
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"unanswered", "stopped", "absent", "replaced"}[o]
}

// Run identifies the run of a cancelled attempt. Its fields are exported for
// construction only.
type Run struct {
	// Upstream is the id of the engine's incarnation, and Address its host:port.
	Upstream string
	Address  string
	// Request is the id of the request.
	Request string
	// Other is the address of another engine of the service. An engine that stops
	// a run offers the run's memory to it.
	Other string
	// Begun is true if the run had output when it was cancelled.
	Begun bool
}

// Order is an instruction to stop a run. The engine's answer is applied with
// Set.Answer.
type Order struct {
	run       Run
	cancelled time.Time
}

// Run returns the run to stop.
func (o Order) Run() Run { return o.run }

// Cancelled returns the time of the cancel.
func (o Order) Cancelled() time.Time { return o.cancelled }

// entry is a tracked run.
type entry struct {
	run Run
	// cancelled is the time of the cancel, and due that of the next order.
	cancelled time.Time
	due       time.Time
	// checks counts the orders that found no run.
	checks int
	// ordered is true while an order is unanswered.
	ordered bool
}

// Set is the set of tracked runs. The zero value is an empty set. It is not safe
// for concurrent use.
type Set struct {
	// entries is sorted by the time of the cancel.
	entries []*entry
}

// Add tracks a cancelled run. It is ordered to stop at once if urgent is true,
// because the connection is known not to work, and else if its end is not seen.
func (s *Set) Add(now time.Time, r Run, urgent bool) {
	s.Forget(r.Upstream, r.Request)
	if len(s.entries) >= maxRuns {
		s.entries = slices.Delete(s.entries, 0, 1)
	}
	due := now
	if !urgent {
		due = now.Add(checkDelay)
	}
	s.entries = append(s.entries, &entry{
		run:       r,
		cancelled: now,
		due:       due,
	})
}

// Forget stops tracking a run, because its request is sent to the same engine
// again.
func (s *Set) Forget(upstream, request string) {
	s.remove(func(e *entry) bool { return e.run.Upstream == upstream && e.run.Request == request })
}

// Len returns the number of tracked runs.
func (s *Set) Len() int { return len(s.entries) }

// Next returns the time of the next order, and false if none is scheduled.
func (s *Set) Next() (time.Time, bool) {
	var at time.Time
	if len(s.entries) == 0 {
		return at, false
	}
	busy := s.busyUpstreams()
	for _, e := range s.entries {
		if e.ordered || busy[e.run.Upstream] {
			continue
		}
		if at.IsZero() || e.due.Before(at) {
			at = e.due
		}
	}
	return at, !at.IsZero()
}

// Due returns the orders to send now. An engine gets one order at a time, so that
// one that does not answer costs little.
func (s *Set) Due(now time.Time) []Order {
	s.remove(func(e *entry) bool { return !e.ordered && now.Sub(e.cancelled) > lifetime })
	var orders []Order
	busy := s.busyUpstreams()
	for _, e := range s.entries {
		if e.ordered || busy[e.run.Upstream] || now.Before(e.due) {
			continue
		}
		e.ordered = true
		busy[e.run.Upstream] = true
		orders = append(orders, Order{
			run:       e.run,
			cancelled: e.cancelled,
		})
	}
	return orders
}

// Answer applies the answer to an order.
func (s *Set) Answer(now time.Time, r Run, o Outcome) {
	upstream, request := r.Upstream, r.Request
	if o == Replaced {
		s.remove(func(e *entry) bool { return e.run.Upstream == upstream })
		return
	}
	s.remove(func(e *entry) bool {
		if e.run.Upstream != upstream {
			return false
		}
		if e.run.Request != request {
			if o == Unanswered {
				e.due = later(e.due, now.Add(retryDelay))
			}
			return false
		}
		e.ordered = false
		switch o {
		case Stopped:
			return true
		case Absent:
			e.checks++
			e.due = now.Add(checkDelay << e.checks)
			return e.run.Begun || e.checks >= maxQueuedChecks
		default:
			e.due = now.Add(retryDelay)
			return false
		}
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// busyUpstreams returns the engines that have an unanswered order.
func (s *Set) busyUpstreams() map[string]bool {
	busy := make(map[string]bool)
	for _, e := range s.entries {
		if e.ordered {
			busy[e.run.Upstream] = true
		}
	}
	return busy
}

func (s *Set) remove(match func(e *entry) bool) { s.entries = slices.DeleteFunc(s.entries, match) }
