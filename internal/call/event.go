package call

import (
	"time"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

type eventKind uint8

const (
	tick eventKind = iota
	begin
	gone
	ended
)

// Event is something that the core is told of. The zero value is a tick.
type Event struct {
	kind       eventKind
	number     uint64
	attempt    int
	service    string
	route      string
	idempotent bool
	deadline   time.Time
	answer     *claim.Answer
	problem    *errs.Problem
	leaving    bool
}

// Tick returns the event of passed time.
func Tick() Event { return Event{} }

// Begin returns the start of call number on a route of a service.
func Begin(number uint64, s *world.Service, rt *world.Route, deadline time.Time) Event {
	return Event{
		kind:       begin,
		number:     number,
		service:    s.Name(),
		route:      s.Name() + " " + rt.Name(),
		idempotent: rt.Idempotent(),
		deadline:   deadline,
	}
}

// Gone returns the event of a caller that left. A booking runs on.
func Gone(number uint64) Event {
	return Event{
		kind:   gone,
		number: number,
	}
}

// Ended returns the end of an attempt with an answer or a problem. Every
// opened attempt ends once, a cancelled one too.
func Ended(number uint64, attempt int, answer *claim.Answer, problem *errs.Problem) Event {
	return Event{
		kind:    ended,
		number:  number,
		attempt: attempt,
		answer:  answer,
		problem: problem,
	}
}

// Leaving returns a copy of e, the end of an attempt whose upstream states that
// it takes no new work.
func (e Event) Leaving() Event {
	e.leaving = true
	return e
}

// ActionKind tells what an action orders.
type ActionKind uint8

// The kinds of action.
const (
	// Open sends the call to Upstream as Attempt; Ended follows.
	Open ActionKind = iota
	// Cancel gives up an attempt of a lookup.
	Cancel
	// Finish ends the call with an answer or a problem, once.
	Finish
)

// Action is an order of the core.
type Action struct {
	kind     ActionKind
	number   uint64
	attempt  int
	upstream *world.VM
	answer   *claim.Answer
	problem  *errs.Problem
}

// Kind returns what the action orders.
func (a Action) Kind() ActionKind { return a.kind }

// Number returns the call.
func (a Action) Number() uint64 { return a.number }

// Attempt returns the attempt of Open and Cancel, from 1.
func (a Action) Attempt() int { return a.attempt }

// Upstream returns the VM that Open sends to.
func (a Action) Upstream() *world.VM { return a.upstream }

// Answer returns the answer of Finish, or nil when there is a problem.
func (a Action) Answer() *claim.Answer { return a.answer }

// Problem returns the problem of Finish, or nil.
func (a Action) Problem() *errs.Problem { return a.problem }
