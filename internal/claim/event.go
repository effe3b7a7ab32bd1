package claim

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// Result is the result of a store operation.
type Result uint8

// The results of a store operation.
const (
	// Indeterminate means that the operation got no reply: a write may have taken
	// effect, may still take effect or may have failed.
	Indeterminate Result = iota
	// OK means that the operation succeeded.
	OK
	// Conflict means that the slot's revision is not the expected one.
	Conflict
	// Throttled means that the store refused the operation because of its rate
	// limit.
	Throttled
	// Unavailable means that the operation failed and will not take effect.
	Unavailable
)

type eventKind uint8

const (
	tick eventKind = iota
	begin
	callerLeft
	ended
	read
	written
	peerRequested
	peerReplied
	rateChanged
)

// Event is an input of Core.Step. The zero value is a tick.
type Event struct {
	kind      eventKind
	number    uint64
	slot      int
	revision  uint64
	value     []byte
	result    Result
	outcome   errs.Outcome
	answer    *Answer
	problem   *errs.Problem
	operation Operation
	verdict   Verdict
	record    *Record
	rate      float64
}

// Tick returns the event that lets the core run its timers. It is due at the
// time that Core.Next returns.
func Tick() Event { return Event{} }

// WriteRateChanged sets the number of slot writes a second for this VM, which
// must be above 0.
func WriteRateChanged(rate float64) Event {
	return Event{
		kind: rateChanged,
		rate: rate,
	}
}

// Begin returns the arrival of a call with an idempotency key. The number
// identifies the call and is never used again in this process; body is the
// digest of the request.
func Begin(number uint64, key, body Digest, deadline time.Time) Event {
	return Event{
		kind:      begin,
		number:    number,
		operation: NewClaim(key, body, ID{}, deadline),
	}
}

// CallerLeft reports that the caller no longer waits for its answer. A call that
// was already sent continues, and its outcome is recorded.
func CallerLeft(number uint64) Event {
	return Event{
		kind:   callerLeft,
		number: number,
	}
}

// Ended returns the end of a call for which the core has emitted Send, with an
// answer or a problem. A call that ran but whose answer was lost is recorded as
// unknown, because there is no answer to replay.
func Ended(number uint64, outcome errs.Outcome, answer *Answer, problem *errs.Problem) Event {
	return Event{
		kind:    ended,
		number:  number,
		outcome: outcome,
		answer:  answer,
		problem: problem,
	}
}

// ReadDone returns the result of a Read. Revision 0 means that the slot doesn't
// exist.
func ReadDone(slot int, result Result, revision uint64, value []byte) Event {
	return Event{
		kind:     read,
		slot:     slot,
		result:   result,
		revision: revision,
		value:    value,
	}
}

// WriteDone returns the result of a Write; after OK, revision is the slot's new
// revision.
func WriteDone(slot int, result Result, revision uint64) Event {
	return Event{
		kind:     written,
		slot:     slot,
		result:   result,
		revision: revision,
	}
}

// PeerRequested returns an operation that a peer asks this VM to apply. The
// adapter chooses the ticket, which identifies the Reply.
func PeerRequested(ticket uint64, op Operation) Event {
	return Event{
		kind:      peerRequested,
		number:    ticket,
		operation: op,
	}
}

// PeerReplied returns a peer's reply to a Forward, or Failed when there was none.
func PeerReplied(ticket uint64, v Verdict, r *Record) Event {
	return Event{
		kind:    peerReplied,
		number:  ticket,
		verdict: v,
		record:  r,
	}
}

// ActionKind is what the adapter has to do for an action.
type ActionKind uint8

// The kinds of action.
const (
	// Read reads a slot; the adapter replies with ReadDone.
	Read ActionKind = iota
	// Write writes Value to a slot if the slot is at Revision; the adapter replies
	// with WriteDone.
	Write
	// Send sends the call once, unless Deadline has passed; the adapter replies
	// with Ended.
	Send
	// Finish gives the caller the answer or the problem. It is emitted at most once
	// for each call.
	Finish
	// Forward sends Operation to Peer; the adapter replies with PeerReplied.
	Forward
	// Reply answers the operation that a peer asked for.
	Reply
)

// Action is an output of Core.Step that the adapter has to carry out.
type Action struct {
	kind      ActionKind
	number    uint64
	slot      int
	revision  uint64
	value     []byte
	deadline  time.Time
	answer    *Answer
	replayed  bool
	problem   *errs.Problem
	peer      string
	operation Operation
	verdict   Verdict
	record    *Record
}

// Kind returns what the adapter has to do.
func (a Action) Kind() ActionKind { return a.kind }

// Number returns the call's number for Send and Finish, and the ticket for
// Forward and Reply.
func (a Action) Number() uint64 { return a.number }

// Slot returns the slot of Read and Write.
func (a Action) Slot() int { return a.slot }

// Revision returns the revision that Write expects; 0 means that the slot must
// not exist.
func (a Action) Revision() uint64 { return a.revision }

// Value returns the encoded slot for Write.
func (a Action) Value() []byte { return a.value }

// Deadline returns the time at and after which Send must not write the first
// byte of the call.
func (a Action) Deadline() time.Time { return a.deadline }

// Answer returns the answer of Finish, or nil when there is a problem.
func (a Action) Answer() *Answer { return a.answer }

// Replayed reports whether the answer is the recorded one of an earlier call.
func (a Action) Replayed() bool { return a.replayed }

// Problem returns the problem of Finish, or nil.
func (a Action) Problem() *errs.Problem { return a.problem }

// Peer returns the name of the VM to which Forward sends the operation.
func (a Action) Peer() string { return a.peer }

// Operation returns the operation of Forward.
func (a Action) Operation() Operation { return a.operation }

// Verdict returns the verdict of Reply.
func (a Action) Verdict() Verdict { return a.verdict }

// Record returns the record of Reply, or nil.
func (a Action) Record() *Record { return a.record }
