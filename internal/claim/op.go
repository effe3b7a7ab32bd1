package claim

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// Verdict is the result of applying an operation to its slot.
type Verdict uint8

// The verdicts.
const (
	// Failed means that the store was not available. A write that was started
	// earlier may still take effect.
	Failed Verdict = iota
	// Won means that the claim holds the key.
	Won
	// Held means that another claim holds the key and has no outcome yet.
	Held
	// Found means that the key has a final record.
	Found
	// Mismatch means that the key is in use with another body.
	Mismatch
	// TooLate means that the claim has been released or its deadline has passed.
	TooLate
	// Full means that the slot has no space for another key.
	Full
	// Recorded means that the outcome is recorded.
	Recorded
)

// Ask is an operation on a key: it claims the key or records the outcome of a
// claim. It is idempotent, so it can be applied again when the result of a
// write is unknown.
type Ask struct {
	isOutcome bool
	key       Digest
	body      Digest
	id        ID
	deadline  time.Time
	// state and answer are set when isOutcome is true.
	state  State
	answer *Answer
}

// NewClaim returns the operation that claims a key until the call's deadline.
func NewClaim(key, body Digest, id ID, deadline time.Time) Ask {
	return Ask{
		key:      key,
		body:     body,
		id:       id,
		deadline: deadline,
	}
}

// WithOutcome returns the operation that records the outcome of a's claim.
func (a Ask) WithOutcome(state State, answer *Answer) Ask {
	a.isOutcome = true
	a.state = state
	a.answer = answer.storable()
	return a
}

// IsOutcome reports whether the operation records an outcome.
func (a Ask) IsOutcome() bool { return a.isOutcome }

// Key returns the digest of the key.
func (a Ask) Key() Digest { return a.key }

// Body returns the digest of the body.
func (a Ask) Body() Digest { return a.body }

// ID returns the id of the claim.
func (a Ask) ID() ID { return a.id }

// Deadline returns the call's deadline.
func (a Ask) Deadline() time.Time { return a.deadline }

// State returns the outcome to record.
func (a Ask) State() State { return a.state }

// Answer returns the answer to record, or nil.
func (a Ask) Answer() *Answer { return a.answer }

// newRecord returns the record that stores the operation for a new key.
func (a Ask) newRecord(now time.Time) *Record {
	r := &Record{
		Key:     a.key[:],
		Body:    a.body[:],
		Vm:      a.id.vm,
		Number:  a.id.number,
		Since:   now.UnixMilli(),
		Expires: a.deadline.UnixMilli(),
	}
	if a.isOutcome {
		r.setOutcome(a.state, a.answer)
	}
	return r
}

// apply changes the draft and returns the verdict and the key's record.
func (a Ask) apply(now time.Time, d *draft) (Verdict, *Record) {
	r := d.get(a.key, now)
	if a.isOutcome {
		return a.applyOutcome(now, d, r)
	}
	switch {
	case r == nil || r.GetState() == State_NOT_RUN && r.holder() != a.id:
		return a.acquire(now, d)
	case r.holder() == a.id && r.GetState() == State_CLAIMED:
		return Won, r
	case r.GetState() == State_NOT_RUN:
		return TooLate, r
	case r.holder() != a.id && !r.hasBody(a.body):
		return Mismatch, r
	case r.overdue(now):
		c := proto.CloneOf(r)
		c.setOutcome(State_UNKNOWN, nil)
		d.put(c)
		return Found, c
	case r.final():
		return Found, r
	default:
		return Held, r
	}
}

// acquire claims a key that is free.
func (a Ask) acquire(now time.Time, d *draft) (Verdict, *Record) {
	if !now.Before(a.deadline) {
		return TooLate, nil
	}
	if !d.hasSpace(now) {
		return Full, nil
	}
	r := a.newRecord(now)
	d.put(r)
	return Won, r
}

// applyOutcome records the outcome unless another claim holds the key or the
// record is already final.
func (a Ask) applyOutcome(now time.Time, d *draft, r *Record) (Verdict, *Record) {
	switch {
	case r == nil:
		d.put(a.newRecord(now))
	case r.holder() != a.id && a.state == State_NOT_RUN && r.GetState() == State_NOT_RUN:
		// An earlier write of the claim may still take effect. Writing the slot
		// again gives it a new revision, so that the earlier write conflicts.
		d.put(r)
	case r.holder() == a.id && r.GetState() == State_CLAIMED:
		c := proto.CloneOf(r)
		c.setOutcome(a.state, a.answer)
		d.put(c)
	}
	return Recorded, r
}

// holdsForLaterRevisions reports whether a verdict that changed nothing is the
// same for every later revision of the slot, so that the cached table suffices
// however old it is.
func holdsForLaterRevisions(v Verdict, r *Record, id ID) bool {
	switch v {
	case TooLate, Full:
		return true
	case Won, Recorded:
		return r.holder() == id
	default:
		return r.final()
	}
}
