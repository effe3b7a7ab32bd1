package pool

import (
	"math"
	"time"
)

// maxDepartures bounds the incarnations that are remembered as leaving after they
// were removed. The oldest one is forgotten first.
const maxDepartures = 4096

// Causes of changes of an upstream's state.
const (
	causeRegistry    = "registry"
	causeState       = "state"
	causeListedAgain = "listed again"
)

// Statement is what an upstream states about itself in the head of an answer,
// whatever the answer is about. It is immutable.
type Statement struct {
	instance string
	leaving  bool
	invalid  []InvalidField
}

// InvalidField is a header field of an answer that was ignored.
type InvalidField struct {
	name  string
	value string
}

// Name returns the name of the field.
func (f InvalidField) Name() string { return f.name }

// Value returns the value of the field.
func (f InvalidField) Value() string { return f.value }

// NewStatement returns a statement of the incarnation with the given id, or of
// the one that was expected to answer if instance is "".
func NewStatement(instance string) Statement {
	return Statement{
		instance: instance,
	}
}

// WithLeaving returns a copy of s by an upstream that accepts no new work.
func (s Statement) WithLeaving() Statement {
	s.leaving = true
	return s
}

// WithInvalid returns a copy of s with a field that was ignored.
func (s Statement) WithInvalid(name, value string) Statement {
	s.invalid = append(s.invalid[:len(s.invalid):len(s.invalid)], InvalidField{
		name:  name,
		value: value,
	})
	return s
}

// Empty reports whether the upstream states nothing.
func (s Statement) Empty() bool { return !s.leaving && len(s.invalid) == 0 }

// Instance returns the id of the incarnation, or "" if the answer has none.
func (s Statement) Instance() string { return s.instance }

// Invalid returns the fields that were ignored. The caller must not modify the
// slice.
func (s Statement) Invalid() []InvalidField { return s.invalid }

// Leaving reports whether the upstream accepts no new work.
func (s Statement) Leaving() bool { return s.leaving }

// Change is a change of an upstream's state.
type Change struct {
	upstream string
	state    string
	cause    string
	age      time.Duration
}

// Upstream returns the id of the incarnation.
func (c Change) Upstream() string { return c.upstream }

// State returns the new state.
func (c Change) State() string { return c.state }

// Cause returns the source of the information in a few words.
func (c Change) Cause() string { return c.cause }

// Age returns how long the upstream was in its earlier state.
func (c Change) Age() time.Duration { return c.age }

// departure is the record of an incarnation that is leaving.
type departure struct {
	// startedAt is the start time of the incarnation as in EntrySpec, or 0 if it
	// is unknown.
	startedAt int64
	heard     time.Time
}

// matches reports whether the record is about the incarnation of the entry. Where
// a start time is unknown, an incarnation that started after the statement is
// another one.
func (d departure) matches(e Entry) bool {
	if d.startedAt == 0 || e.StartedAt() == 0 {
		return e.StartedAt() <= d.heard.UnixMilli()
	}
	return d.startedAt == e.StartedAt()
}

// WithObserver sets the functions that are called with each change of an
// upstream's state and with each invalid field of an upstream. It must be called
// before any other method.
func (p *Pool) WithObserver(changed func(Change), ignored func(id string, f InvalidField)) *Pool {
	p.changed, p.ignored = changed, ignored
	return p
}

// Hear applies a statement that arrived in an answer. u is the incarnation that was
// sent the message, or nil if the message was for the one that is present at the
// address, and expected is the id of the one that was to answer. cause describes
// the message.
func (p *Pool) Hear(now time.Time, u *Upstream, expected string, s Statement, cause string) {
	id := s.instance
	if id == "" {
		id = expected
	}
	if u == nil || u.ID() != id {
		u = p.byID[id]
		if u != nil && u.gone {
			// Another incarnation with the same id has replaced the listed one.
			u = nil
		}
	}
	for _, f := range s.invalid {
		p.reportInvalid(u, id, f)
	}
	if !s.leaving {
		return
	}
	if u == nil {
		p.recordDeparture(now, id, 0)
		return
	}
	p.MarkLeaving(now, u, cause)
	// The incarnation may have been listed anew since the message was sent.
	if listed := p.byID[id]; listed != nil && p.departed(listed.entry) {
		p.MarkLeaving(now, listed, cause)
	}
}

// reportInvalid reports an invalid field, once for each value in a row.
func (p *Pool) reportInvalid(u *Upstream, id string, f InvalidField) {
	if u != nil {
		if u.lastInvalid == f {
			return
		}
		u.lastInvalid = f
	}
	p.ignored(id, f)
}

// MarkLeaving records that the upstream accepts no new work. It is permanent for
// the incarnation, also if the registry removes it and lists it again.
func (p *Pool) MarkLeaving(now time.Time, u *Upstream, cause string) {
	if u.leaving {
		return
	}
	u.leaving = true
	u.gate.leaving.Store(true)
	if !p.departed(u.entry) {
		p.recordDeparture(now, u.ID(), u.entry.StartedAt())
	}
	p.changed(Change{
		upstream: u.ID(),
		state:    stateLeaving,
		cause:    cause,
		age:      now.Sub(u.since),
	})
}

// Departed reports whether the listed incarnation with the id, or else the latest
// known one, is leaving.
func (p *Pool) Departed(id string) bool {
	if u := p.byID[id]; u != nil {
		return u.leaving
	}
	_, ok := p.departures[id]
	return ok
}

// departed reports whether the incarnation of the entry is known to be leaving.
func (p *Pool) departed(e Entry) bool {
	d, ok := p.departures[e.ID()]
	return ok && d.matches(e)
}

// recordDeparture remembers that an incarnation is leaving.
func (p *Pool) recordDeparture(now time.Time, id string, startedAt int64) {
	if _, ok := p.departures[id]; !ok && len(p.departures) >= maxDepartures {
		p.forgetOldest()
	}
	p.departures[id] = departure{
		startedAt: startedAt,
		heard:     now,
	}
}

// forgetOldest removes the oldest record of an incarnation that is leaving.
func (p *Pool) forgetOldest() {
	oldest, least := "", int64(math.MaxInt64)
	for id, d := range p.departures {
		if at := d.heard.UnixNano(); at < least {
			oldest, least = id, at
		}
	}
	delete(p.departures, oldest)
}
