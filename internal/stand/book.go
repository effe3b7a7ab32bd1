package stand

import (
	"math"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/quota"
)

const (
	// maxStandings bounds the incarnations whose statements are remembered. The one
	// that was heard from least recently is forgotten first.
	maxStandings = 4096
	// restSpread is the fraction of a rest by which it is prolonged at most, up to
	// maxRestSpread. The addition is random, so that VMs do not return at the same
	// time.
	restSpread    = 0.25
	maxRestSpread = 500 * time.Millisecond
)

// The states of an upstream that its statements or the registry set.
const (
	Usable  = "usable"
	Leaving = "leaving"
	Resting = "resting"
	Limited = "limited"
)

// causeRested is the cause of the change at the end of a rest.
const causeRested = "end of the rest"

// Change is a change of an upstream's state.
type Change struct {
	upstream string
	state    string
	cause    string
	age      time.Duration
	rest     time.Duration
	limit    float64
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

// Limit returns the requests a second that the upstream accepts from all VMs, or 0 if
// it has named no limit.
func (c Change) Limit() float64 { return c.limit }

// Book holds the standings of incarnations. Those with a statement are kept also
// after the incarnation was removed from the registry, so that they hold if it is
// listed again. It is not safe for concurrent use.
type Book struct {
	// byID holds the latest incarnation with a statement under each id.
	byID map[string]*Standing
	// resting holds the incarnations whose rest has not been reported to have
	// ended.
	resting []*Standing
	// fleet holds the VMs that share the limits of upstreams.
	fleet *quota.Fleet
	// place returns the index of an upstream among the listed ones of its service, and
	// their number.
	place func(id string) (index, count int)
	// random returns a number in [0, 1).
	random func() float64
	// changed and ignored are called with each change of a state and each invalid
	// field that is to be reported.
	changed func(Change)
	ignored func(id string, f InvalidField)
}

// NewBook returns an empty book. random returns a number in [0, 1).
func NewBook(random func() float64) *Book {
	return &Book{
		byID:    make(map[string]*Standing),
		fleet:   quota.NewFleet(""),
		place:   func(string) (int, int) { return 0, 1 },
		random:  random,
		changed: func(Change) {},
		ignored: func(string, InvalidField) {},
	}
}

// SetObserver sets the functions that are called with each change of a state and
// with each invalid field, once for each value in a row.
func (b *Book) SetObserver(changed func(Change), ignored func(id string, f InvalidField)) {
	b.changed, b.ignored = changed, ignored
}

// SetFleet sets the VMs that share the limits of upstreams, and the function that
// returns the index of an upstream among the listed ones of its service, and their
// number. The fleet must count each change of what the function returns.
func (b *Book) SetFleet(f *quota.Fleet, place func(id string) (index, count int)) {
	b.fleet, b.place = f, place
}

// Of returns the standing of an incarnation, which is new unless the incarnation is
// known to have made a statement. startedAt is its start time in Unix milliseconds,
// or 0 if it is unknown. A rest that was heard under the id since that time is the
// incarnation's own, whichever one the answer was taken to be from.
func (b *Book) Of(now time.Time, id string, startedAt int64) *Standing {
	latest := b.byID[id]
	if latest != nil && latest.Matches(startedAt) {
		return latest
	}
	s := &Standing{
		id:        id,
		startedAt: startedAt,
		changed:   now,
	}
	if latest != nil && latest.Resting(now) && latest.restSince.UnixMilli() >= startedAt {
		b.passRest(now, latest, s)
	}
	return s
}

// passRest makes the present rest of one incarnation that of another under the same
// id.
func (b *Book) passRest(now time.Time, from, to *Standing) {
	to.restSince, to.restUntil, to.messages, to.changed = from.restSince, from.restUntil, from.messages, from.changed
	to.gate.rest.Store(from.gate.rest.Load())
	b.resting = append(slices.DeleteFunc(b.resting, func(s *Standing) bool { return s == from }), to)
	b.remember(now, to)
}

// OfUnknown returns the standing of an incarnation of which only the id is known.
func (b *Book) OfUnknown(now time.Time, id string) *Standing {
	if s := b.byID[id]; s != nil && s.startedAt == 0 {
		return s
	}
	return &Standing{
		id:      id,
		changed: now,
	}
}

// Latest returns the standing of the latest incarnation with a statement under the
// id, or nil.
func (b *Book) Latest(id string) *Standing { return b.byID[id] }

// Hear applies a statement. cause describes the message that it answered.
func (b *Book) Hear(now time.Time, s *Standing, st Statement, cause string) {
	for _, f := range st.invalid {
		if s.isNew(f) {
			b.ignored(s.id, f)
		}
	}
	if st.leaving {
		b.MarkLeaving(now, s, cause)
	}
	if st.rest > 0 {
		b.rest(now, s, st.rest, cause)
	}
	switch {
	case st.limit > 0:
		b.hearLimit(now, s, st.limit, cause)
	case !st.unlimitedSince.IsZero():
		b.hearNoLimit(now, s, st.unlimitedSince)
	}
}

// MarkLeaving records that the incarnation accepts no new work.
func (b *Book) MarkLeaving(now time.Time, s *Standing, cause string) {
	if s.leaving {
		return
	}
	s.leaving = true
	s.gate.leaving.Store(true)
	b.remember(now, s)
	b.report(now, s, Leaving, cause)
}

// rest begins or prolongs a rest of at least the duration d.
func (b *Book) rest(now time.Time, s *Standing, d time.Duration, cause string) {
	spread := min(time.Duration(restSpread*float64(d)), maxRestSpread)
	until := now.Add(d + time.Duration(b.random()*float64(spread)))
	begins := !s.Resting(now)
	if begins {
		b.endRest(now, s)
		s.restSince, s.messages = now, 0
		b.resting = append(b.resting, s)
	}
	if until.After(s.restUntil) {
		s.restUntil = until
	}
	s.gate.rest.Store(&interval{
		from:  s.restSince.Add(restGrace),
		until: s.restUntil,
	})
	b.remember(now, s)
	if begins && !s.leaving {
		b.report(now, s, Resting, cause)
	}
}

// EndRests reports the rests that have ended.
func (b *Book) EndRests(now time.Time) {
	for _, s := range slices.Clone(b.resting) {
		if !s.Resting(now) {
			b.endRest(now, s)
		}
	}
}

// endRest reports the end of the latest rest of an incarnation if that has not been
// done.
func (b *Book) endRest(now time.Time, s *Standing) {
	at := slices.Index(b.resting, s)
	if at < 0 {
		return
	}
	b.resting = slices.Delete(b.resting, at, at+1)
	if !s.leaving {
		b.report(now, s, Usable, causeRested)
	}
}

// report reports a change of the state of an incarnation.
func (b *Book) report(now time.Time, s *Standing, state, cause string) {
	c := Change{
		upstream: s.id,
		state:    state,
		cause:    cause,
		age:      now.Sub(s.changed),
	}
	if state == Resting {
		c.rest = s.restUntil.Sub(now)
	}
	if state == Limited {
		c.limit = s.limit.rate
	}
	s.changed = now
	b.changed(c)
}

// remember keeps the standing of an incarnation beyond its removal.
func (b *Book) remember(now time.Time, s *Standing) {
	s.heard = now
	if _, ok := b.byID[s.id]; !ok && len(b.byID) >= maxStandings {
		b.forgetOldest()
	}
	b.byID[s.id] = s
}

// forgetOldest removes the standing that was heard least recently.
func (b *Book) forgetOldest() {
	oldest, least := "", int64(math.MaxInt64)
	for id, s := range b.byID {
		if at := s.heard.UnixNano(); at < least {
			oldest, least = id, at
		}
	}
	delete(b.byID, oldest)
}
