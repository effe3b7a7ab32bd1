package pool

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxStandings bounds the incarnations whose statements are remembered. The one
	// that was heard from least recently is forgotten first.
	maxStandings = 4096
	// restGrace is the time from the start of a rest in which messages that were
	// decided on before may still be sent, and the state of an engine with runs may
	// still be queried. An upstream expects none later than 500 ms after its answer.
	restGrace = 400 * time.Millisecond
	// maxRestMessages is the number of messages about runs under way that an upstream
	// is sent after restGrace in a rest, and maxRestQueries that of queries among them.
	// The others are left for orders to stop runs.
	maxRestMessages = 2
	maxRestQueries  = 1
	// restSpread is the fraction of a rest by which it is prolonged at most, up to
	// maxRestSpread. The addition is random, so that VMs do not return at the same
	// time.
	restSpread    = 0.25
	maxRestSpread = 500 * time.Millisecond
)

// The states of an upstream that its statements or the registry set, as in
// CountByState.
const (
	stateUsable  = "usable"
	stateLeaving = "leaving"
	stateResting = "resting"
)

// standing is what an incarnation of an upstream has stated about itself. It
// outlives the incarnation's removal, so that it holds if the incarnation is listed
// again.
type standing struct {
	id string
	// startedAt is the start time of the incarnation as in EntrySpec, or 0 if it
	// is unknown.
	startedAt int64
	// heard is the time of the latest statement.
	heard time.Time
	// leaving is true once the upstream or the registry reported so. It is never
	// reset.
	leaving bool
	// restSince and restUntil are the times of the latest rest. A statement during
	// a rest can only prolong it.
	restSince time.Time
	restUntil time.Time
	// messages counts the messages after restGrace in the present rest.
	messages int
	// changed is the time of the latest change of the state.
	changed time.Time
	gate    Gate
}

// matches reports whether the standing is that of the incarnation of the entry.
// Where a start time is unknown, an incarnation that started after the latest
// statement is another one.
func (s *standing) matches(e Entry) bool {
	if s.startedAt == 0 || e.StartedAt() == 0 {
		return e.StartedAt() <= s.heard.UnixMilli()
	}
	return s.startedAt == e.StartedAt()
}

// resting reports whether the incarnation wants no messages at present.
func (s *standing) resting(now time.Time) bool { return now.Before(s.restUntil) }

// Gate tells goroutines that wait for a connection to an upstream whether its
// state still permits the message. It is safe for concurrent use.
type Gate struct {
	leaving atomic.Bool
	// rest is the part of the latest rest in which no message may be sent.
	rest atomic.Pointer[interval]
}

// interval is a span of time, without its end.
type interval struct {
	from  time.Time
	until time.Time
}

// Open reports whether a message that was decided on before may still be sent.
// A nil gate is open.
func (g *Gate) Open(now time.Time) bool {
	if g == nil {
		return true
	}
	return !g.leaving.Load() && !g.Resting(now)
}

// Resting reports whether the upstream rests, and is past the start of the rest in
// which messages that were decided on before may be sent. A nil gate is of an upstream
// that does not rest.
func (g *Gate) Resting(now time.Time) bool {
	if g == nil {
		return false
	}
	rest := g.rest.Load()
	return rest != nil && !now.Before(rest.from) && now.Before(rest.until)
}

// Change is a change of an upstream's state.
type Change struct {
	upstream string
	state    string
	cause    string
	age      time.Duration
	rest     time.Duration
}

// Upstream returns the id of the incarnation.
func (c Change) Upstream() string { return c.upstream }

// State returns the new state.
func (c Change) State() string { return c.state }

// Cause returns the source of the information in a few words.
func (c Change) Cause() string { return c.cause }

// Age returns how long the upstream was in its earlier state.
func (c Change) Age() time.Duration { return c.age }

// Rest returns how long the upstream will rest, or 0 if it does not.
func (c Change) Rest() time.Duration { return c.rest }

// Leaving reports whether the upstream accepts no new work.
func (u *Upstream) Leaving() bool { return u.standing.leaving }

// Resting reports whether the upstream wants no messages at present.
func (u *Upstream) Resting(now time.Time) bool { return u.standing.resting(now) }

// RestUntil returns the end of the latest rest, or the zero time.
func (u *Upstream) RestUntil() time.Time { return u.standing.restUntil }

// Gate returns the gate for messages to the upstream that wait for a connection.
func (u *Upstream) Gate() *Gate { return &u.standing.gate }

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
func (p *Pool) Hear(now time.Time, u *Upstream, expected string, st Statement, cause string) {
	id := st.instance
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
	for _, f := range st.invalid {
		p.reportInvalid(u, id, f)
	}
	var s *standing
	switch {
	case u != nil:
		s = u.standing
	case p.standings[id] != nil && p.standings[id].startedAt == 0:
		s = p.standings[id]
	default:
		s = &standing{
			id:      id,
			changed: now,
		}
	}
	if st.leaving {
		p.setLeaving(now, s, cause)
	}
	if st.rest > 0 {
		p.setResting(now, s, st.rest, cause)
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
	p.setLeaving(now, u.standing, cause)
}

func (p *Pool) setLeaving(now time.Time, s *standing, cause string) {
	if s.leaving {
		return
	}
	s.leaving = true
	s.gate.leaving.Store(true)
	p.remember(now, s)
	p.reportChange(now, s, stateLeaving, cause)
}

// setResting begins or prolongs a rest of at least the duration d.
func (p *Pool) setResting(now time.Time, s *standing, d time.Duration, cause string) {
	spread := min(time.Duration(restSpread*float64(d)), maxRestSpread)
	until := now.Add(d + time.Duration(p.random()*float64(spread)))
	begins := !s.resting(now)
	if begins {
		p.endRest(now, s)
		s.restSince, s.messages = now, 0
		p.resting = append(p.resting, s)
	}
	if until.After(s.restUntil) {
		s.restUntil = until
	}
	s.gate.rest.Store(&interval{
		from:  s.restSince.Add(restGrace),
		until: s.restUntil,
	})
	p.remember(now, s)
	if begins && !s.leaving {
		p.reportChange(now, s, stateResting, cause)
	}
}

// EndRests reports the rests that have ended.
func (p *Pool) EndRests(now time.Time) {
	for _, s := range slices.Clone(p.resting) {
		if !s.resting(now) {
			p.endRest(now, s)
		}
	}
}

// endRest reports the end of the latest rest of an incarnation if that has not been
// done.
func (p *Pool) endRest(now time.Time, s *standing) {
	at := slices.Index(p.resting, s)
	if at < 0 {
		return
	}
	p.resting = slices.Delete(p.resting, at, at+1)
	if !s.leaving {
		p.reportChange(now, s, stateUsable, causeRested)
	}
}

// PermitMessage reports whether the upstream may be sent a message about a run under
// way, and counts it against the few that a rest permits.
func (p *Pool) PermitMessage(now time.Time, u *Upstream) bool {
	return u.standing.permit(now, maxRestMessages)
}

// PermitQuery is PermitMessage for a query.
func (p *Pool) PermitQuery(now time.Time, u *Upstream) bool {
	return u.standing.permit(now, maxRestQueries)
}

// permit counts a message in a rest unless there were limit messages already.
func (s *standing) permit(now time.Time, limit int) bool {
	if !s.resting(now) || now.Sub(s.restSince) < restGrace {
		return true
	}
	if s.messages >= limit {
		return false
	}
	s.messages++
	return true
}

// FirstReturn returns the earliest end of a rest among the upstreams of a service
// that are resting and would be usable otherwise, or false if there are none or
// another one may be sent work. It excludes upstreams for which skip returns true.
func (p *Pool) FirstReturn(now time.Time, service string, skip func(*Upstream) bool) (time.Time, bool) {
	var first time.Time
	for _, u := range p.byService[service] {
		switch {
		case skip(u):
		case p.eligible(now, u):
			return time.Time{}, false
		case u.Usable() && u.Resting(now) && (first.IsZero() || u.RestUntil().Before(first)):
			first = u.RestUntil()
		}
	}
	return first, !first.IsZero()
}

// reportChange reports a change of the state of an incarnation.
func (p *Pool) reportChange(now time.Time, s *standing, state, cause string) {
	c := Change{
		upstream: s.id,
		state:    state,
		cause:    cause,
		age:      now.Sub(s.changed),
	}
	if state == stateResting {
		c.rest = s.restUntil.Sub(now)
	}
	s.changed = now
	p.changed(c)
}

// Refuses reports whether the listed incarnation with the id, or else the latest
// known one, is leaving or resting.
func (p *Pool) Refuses(now time.Time, id string) bool {
	s := p.standings[id]
	if u := p.byID[id]; u != nil && !u.gone {
		s = u.standing
	}
	return s != nil && (s.leaving || s.resting(now))
}

// standingOf returns the standing of the incarnation of an entry.
func (p *Pool) standingOf(now time.Time, e Entry) *standing {
	if s := p.standings[e.ID()]; s != nil && s.matches(e) {
		return s
	}
	return &standing{
		id:        e.ID(),
		startedAt: e.StartedAt(),
		changed:   now,
	}
}

// remember keeps the standing of an incarnation beyond its removal.
func (p *Pool) remember(now time.Time, s *standing) {
	s.heard = now
	if _, ok := p.standings[s.id]; !ok && len(p.standings) >= maxStandings {
		p.forgetOldest()
	}
	p.standings[s.id] = s
}

// forgetOldest removes the standing that was heard least recently.
func (p *Pool) forgetOldest() {
	oldest, least := "", int64(math.MaxInt64)
	for id, s := range p.standings {
		if at := s.heard.UnixNano(); at < least {
			oldest, least = id, at
		}
	}
	delete(p.standings, oldest)
}
