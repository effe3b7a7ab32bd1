package claim

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// Result is what became of a store operation.
type Result uint8

// The results of a store operation.
const (
	// Unsure means that a write may or may not take effect, now or later.
	Unsure Result = iota
	// OK means that the operation took effect.
	OK
	// Conflict means that the slot has another revision.
	Conflict
	// Throttled means that the store refused the operation over its rate limit.
	Throttled
	// Unavailable means that the operation has not taken effect and will not.
	Unavailable
)

type eventKind uint8

const (
	tick eventKind = iota
	begin
	gone
	ended
	read
	written
	asked
	replied
	paced
)

// Event is something that the core is told of. The zero value is a tick.
type Event struct {
	kind     eventKind
	number   uint64
	slot     int
	revision uint64
	value    []byte
	result   Result
	outcome  errs.Outcome
	answer   *Answer
	problem  *errs.Problem
	ask      Ask
	verdict  Verdict
	record   *Record
	rate     float64
}

// Tick returns the event of passed time.
func Tick() Event { return Event{} }

// Paced returns a change of the number of slot writes a second for this VM. It
// must be above 0.
func Paced(rate float64) Event {
	return Event{
		kind: paced,
		rate: rate,
	}
}

// Begin returns the arrival of call number with a key. The number is never
// used again in this process.
func Begin(number uint64, key, body Digest, deadline time.Time) Event {
	return Event{
		kind:   begin,
		number: number,
		ask:    NewClaim(key, body, ID{}, deadline),
	}
}

// Gone returns the event of a caller that left. A call that was sent runs on.
func Gone(number uint64) Event {
	return Event{
		kind:   gone,
		number: number,
	}
}

// Ended returns the end of a call that the core permitted to send: an answer,
// or a problem. A call that ran and whose answer is lost counts as unknown for
// repeats.
func Ended(number uint64, outcome errs.Outcome, answer *Answer, problem *errs.Problem) Event {
	return Event{
		kind:    ended,
		number:  number,
		outcome: outcome,
		answer:  answer,
		problem: problem,
	}
}

// ReadDone returns the end of a Read. Revision 0 means that the slot is absent.
func ReadDone(slot int, result Result, revision uint64, value []byte) Event {
	return Event{
		kind:     read,
		slot:     slot,
		result:   result,
		revision: revision,
		value:    value,
	}
}

// WriteDone returns the end of a Write; revision is the new one for OK.
func WriteDone(slot int, result Result, revision uint64) Event {
	return Event{
		kind:     written,
		slot:     slot,
		result:   result,
		revision: revision,
	}
}

// Asked returns an operation that a peer asks for under a ticket of the
// adapter.
func Asked(ticket uint64, a Ask) Event {
	return Event{
		kind:   asked,
		number: ticket,
		ask:    a,
	}
}

// Replied returns a peer's reply to a Forward. Failed stands for no reply.
func Replied(ticket uint64, v Verdict, r *Record) Event {
	return Event{
		kind:    replied,
		number:  ticket,
		verdict: v,
		record:  r,
	}
}

// ActionKind tells what an action orders.
type ActionKind uint8

// The kinds of action.
const (
	// Read reads a slot; ReadDone follows.
	Read ActionKind = iota
	// Write writes Value to a slot if it has Revision; WriteDone follows.
	Write
	// Send sends the call once, unless Deadline has passed; Ended follows.
	Send
	// Finish tells the caller the answer or problem. It is given once a call.
	Finish
	// Forward sends Ask to Peer; Replied follows.
	Forward
	// Reply answers a peer's operation.
	Reply
)

// Action is an order of the core.
type Action struct {
	kind     ActionKind
	number   uint64
	slot     int
	revision uint64
	value    []byte
	deadline time.Time
	answer   *Answer
	replayed bool
	problem  *errs.Problem
	peer     string
	ask      Ask
	verdict  Verdict
	record   *Record
}

// Kind returns what the action orders.
func (a Action) Kind() ActionKind { return a.kind }

// Number returns the call of Send and Finish, the ticket of Forward and Reply.
func (a Action) Number() uint64 { return a.number }

// Slot returns the slot of Read and Write.
func (a Action) Slot() int { return a.slot }

// Revision returns the revision that Write expects; 0 means absent.
func (a Action) Revision() uint64 { return a.revision }

// Value returns the new value of the slot.
func (a Action) Value() []byte { return a.value }

// Deadline returns the time from which Send must not write its first byte.
func (a Action) Deadline() time.Time { return a.deadline }

// Answer returns the answer of Finish, or nil when there is a problem.
func (a Action) Answer() *Answer { return a.answer }

// Replayed reports whether the answer is that of an earlier call.
func (a Action) Replayed() bool { return a.replayed }

// Problem returns the problem of Finish, or nil.
func (a Action) Problem() *errs.Problem { return a.problem }

// Peer returns the VM that Forward goes to.
func (a Action) Peer() string { return a.peer }

// Ask returns the operation of Forward.
func (a Action) Ask() Ask { return a.ask }

// Verdict returns the verdict of Reply.
func (a Action) Verdict() Verdict { return a.verdict }

// Record returns the record of Reply, or nil.
func (a Action) Record() *Record { return a.record }
