package claim

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// Verdict is what an operation found or did.
type Verdict uint8

// The verdicts.
const (
	// Failed means that the store could not be used. A write may still be on
	// its way.
	Failed Verdict = iota
	// Won means that the claim holds the key.
	Won
	// Held means that another claim holds the key and has no outcome yet.
	Held
	// Found means that the key has a final record.
	Found
	// Mismatch means that the key is in use with another body.
	Mismatch
	// Late means that the claim was released or is past its deadline.
	Late
	// Full means that the slot takes no new key.
	Full
	// Settled means that the outcome is recorded.
	Settled
)

// Ask is an operation on a key: a claim, or the outcome of one. Applying it
// twice has the effect of applying it once.
type Ask struct {
	settle   bool
	key      Digest
	body     Digest
	id       ID
	deadline time.Time
	// state and answer are set when settle is true.
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

// Settle returns the operation that records the outcome of a's claim.
func (a Ask) Settle(state State, answer *Answer) Ask {
	a.settle = true
	a.state = state
	a.answer = answer.kept()
	return a
}

// Settles reports whether the operation records an outcome.
func (a Ask) Settles() bool { return a.settle }

// Key returns the digest of the key.
func (a Ask) Key() Digest { return a.key }

// Body returns the digest of the body.
func (a Ask) Body() Digest { return a.body }

// ID returns the claim.
func (a Ask) ID() ID { return a.id }

// Deadline returns the call's deadline.
func (a Ask) Deadline() time.Time { return a.deadline }

// State returns the outcome to record.
func (a Ask) State() State { return a.state }

// Answer returns the answer to record, or nil.
func (a Ask) Answer() *Answer { return a.answer }

func (a Ask) record(now time.Time) *Record {
	r := &Record{
		Key:     a.key[:],
		Body:    a.body[:],
		Vm:      a.id.vm,
		Number:  a.id.number,
		Since:   now.UnixMilli(),
		Expires: a.deadline.UnixMilli(),
	}
	if a.settle {
		r.settle(a.state, a.answer)
	}
	return r
}

// apply changes the draft and returns the verdict and the key's record.
func (a Ask) apply(now time.Time, d *draft) (Verdict, *Record) {
	r := d.get(a.key, now)
	if a.settle {
		return a.applySettle(now, d, r)
	}
	switch {
	case r == nil || r.GetState() == State_NOT_RUN && r.held() != a.id:
		return a.take(now, d)
	case r.held() == a.id && r.GetState() == State_CLAIMED:
		return Won, r
	case r.GetState() == State_NOT_RUN:
		return Late, r
	case r.held() != a.id && !r.same(a.body):
		return Mismatch, r
	case r.overdue(now):
		c := proto.CloneOf(r)
		c.settle(State_UNKNOWN, nil)
		d.put(c)
		return Found, c
	case r.final():
		return Found, r
	default:
		return Held, r
	}
}

func (a Ask) take(now time.Time, d *draft) (Verdict, *Record) {
	if !now.Before(a.deadline) {
		return Late, nil
	}
	if !d.room(now) {
		return Full, nil
	}
	r := a.record(now)
	d.put(r)
	return Won, r
}

func (a Ask) applySettle(now time.Time, d *draft, r *Record) (Verdict, *Record) {
	switch {
	case r == nil:
		d.put(a.record(now))
	case r.held() != a.id && a.state == State_NOT_RUN && r.GetState() == State_NOT_RUN:
		// A write of the claim may still be on its way. Writing the slot again
		// makes that write's revision an old one.
		d.put(r)
	case r.held() == a.id && r.GetState() == State_CLAIMED:
		c := proto.CloneOf(r)
		c.settle(a.state, a.answer)
		d.put(c)
	}
	return Settled, r
}

// certain reports whether a verdict that changed nothing holds for every later
// revision of the slot too.
func certain(v Verdict, r *Record, id ID) bool {
	switch v {
	case Late, Full:
		return true
	case Won, Settled:
		return r.held() == id
	default:
		return r.final()
	}
}
