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
	// Acquired means that the claim holds the key.
	Acquired
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

// Operation is an operation on a key: it claims the key or records the outcome
// of a claim. It is idempotent, so it can be applied again when the result of a
// write is unknown.
type Operation struct {
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
func NewClaim(key, body Digest, id ID, deadline time.Time) Operation {
	return Operation{
		key:      key,
		body:     body,
		id:       id,
		deadline: deadline,
	}
}

// WithOutcome returns the operation that records the outcome of o's claim.
func (o Operation) WithOutcome(state State, answer *Answer) Operation {
	o.isOutcome = true
	o.state = state
	o.answer = answer.storable()
	return o
}

// IsOutcome reports whether the operation records an outcome.
func (o Operation) IsOutcome() bool { return o.isOutcome }

// Key returns the digest of the key.
func (o Operation) Key() Digest { return o.key }

// Body returns the digest of the body.
func (o Operation) Body() Digest { return o.body }

// ID returns the id of the claim.
func (o Operation) ID() ID { return o.id }

// Deadline returns the call's deadline.
func (o Operation) Deadline() time.Time { return o.deadline }

// State returns the outcome to record.
func (o Operation) State() State { return o.state }

// Answer returns the answer to record, or nil.
func (o Operation) Answer() *Answer { return o.answer }

// newRecord returns the record that stores the operation for a new key.
func (o Operation) newRecord(now time.Time) *Record {
	r := &Record{
		Key:     o.key[:],
		Body:    o.body[:],
		Vm:      o.id.vm,
		Number:  o.id.number,
		Since:   now.UnixMilli(),
		Expires: o.deadline.UnixMilli(),
	}
	if o.isOutcome {
		r.setOutcome(o.state, o.answer)
	}
	return r
}

// apply changes the draft and returns the verdict and the key's record.
func (o Operation) apply(now time.Time, d *draft) (Verdict, *Record) {
	r := d.get(o.key, now)
	if o.isOutcome {
		return o.applyOutcome(now, d, r)
	}
	switch {
	case r == nil || r.GetState() == State_NOT_RUN && r.holder() != o.id:
		return o.acquire(now, d)
	case r.holder() == o.id && r.GetState() == State_CLAIMED:
		return Acquired, r
	case r.GetState() == State_NOT_RUN:
		return TooLate, r
	case r.holder() != o.id && !r.hasBody(o.body):
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
func (o Operation) acquire(now time.Time, d *draft) (Verdict, *Record) {
	if !now.Before(o.deadline) {
		return TooLate, nil
	}
	if !d.hasSpace(now) {
		return Full, nil
	}
	r := o.newRecord(now)
	d.put(r)
	return Acquired, r
}

// applyOutcome records the outcome unless another claim holds the key or the
// record is already final.
func (o Operation) applyOutcome(now time.Time, d *draft, r *Record) (Verdict, *Record) {
	switch {
	case r == nil:
		d.put(o.newRecord(now))
	case r.holder() != o.id && o.state == State_NOT_RUN && r.GetState() == State_NOT_RUN:
		// An earlier write of the claim may still take effect. Writing the slot
		// again gives it a new revision, so that the earlier write conflicts.
		d.put(r)
	case r.holder() == o.id && r.GetState() == State_CLAIMED:
		c := proto.CloneOf(r)
		c.setOutcome(o.state, o.answer)
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
	case Acquired, Recorded:
		return r.holder() == id
	default:
		return r.final()
	}
}
