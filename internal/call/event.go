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

// Event is an input of Core.Step. The zero value is a tick.
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

// Tick returns the event that lets the core run its timers. It is due at the
// time that Core.Next returns.
func Tick() Event { return Event{} }

// Begin returns the start of a call on a route of a service. The number
// identifies the call and is never used again in this process.
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

// CallerLeft reports that the caller no longer waits for its answer. The attempts
// of a lookup are cancelled; a booking continues.
func CallerLeft(number uint64) Event {
	return Event{
		kind:   gone,
		number: number,
	}
}

// Ended returns the end of an attempt with an answer or a problem. The adapter
// reports it once for each Open, also when the attempt was cancelled.
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

// ActionKind is what the adapter has to do for an action.
type ActionKind uint8

// The kinds of action.
const (
	// Open sends the call to Upstream as Attempt; the adapter replies with Ended.
	Open ActionKind = iota
	// Cancel cancels an attempt of a lookup.
	Cancel
	// Finish gives the caller the answer or the problem. It is emitted at most
	// once for each call.
	Finish
)

// Action is an output of Core.Step that the adapter has to carry out.
type Action struct {
	kind     ActionKind
	number   uint64
	attempt  int
	upstream *world.VM
	answer   *claim.Answer
	problem  *errs.Problem
}

// Kind returns what the adapter has to do.
func (a Action) Kind() ActionKind { return a.kind }

// Number returns the number of the call.
func (a Action) Number() uint64 { return a.number }

// Attempt returns the number of the attempt for Open and Cancel; the first is 1.
func (a Action) Attempt() int { return a.attempt }

// Upstream returns the VM that Open sends to.
func (a Action) Upstream() *world.VM { return a.upstream }

// Answer returns the answer of Finish, or nil when there is a problem.
func (a Action) Answer() *claim.Answer { return a.answer }

// Problem returns the problem of Finish, or nil.
func (a Action) Problem() *errs.Problem { return a.problem }
