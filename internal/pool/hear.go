package pool

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/quota"
	"clementinelink.example/clementinelink/internal/stand"
)

// Causes of changes of an upstream's state other than its answers.
const (
	causeRegistry = "registry"
	causeState    = "state"
)

// Leaving reports whether the upstream accepts no new work.
func (u *Upstream) Leaving() bool { return u.standing.Leaving() }

// Resting reports whether the upstream wants no messages at present.
func (u *Upstream) Resting(now time.Time) bool { return u.standing.Resting(now) }

// RestUntil returns the end of the latest rest, or the zero time.
func (u *Upstream) RestUntil() time.Time { return u.standing.RestUntil() }

// PermitMessage reports whether the upstream may be sent a message about a run under
// way, and counts it against the few that a rest permits.
func (u *Upstream) PermitMessage(now time.Time) bool { return u.standing.PermitMessage(now) }

// PermitQuery is PermitMessage for a query, which is sent if it is permitted.
func (u *Upstream) PermitQuery(now time.Time) bool {
	if !u.standing.PermitQuery(now) {
		return false
	}
	u.queriedAt = now
	return true
}

// owesAnswer reports whether the upstream has sent nothing since it was last queried.
func (u *Upstream) owesAnswer() bool { return u.queriedAt.After(u.lastActivity) }

// Limit returns the requests a second that the upstream accepts from all VMs together,
// or 0 if it has named no limit.
func (u *Upstream) Limit() float64 { return u.standing.Limit() }

// Take counts a request that will be sent later against the VM's share of the
// upstream's limit.
func (u *Upstream) Take(now time.Time) { u.standing.Take(now) }

// TakeAhead counts a request that is sent now, whatever the upstream's limit is.
func (u *Upstream) TakeAhead(now time.Time) { u.standing.TakeAhead(now) }

// Gate returns the gate for messages to the upstream that wait for a connection.
func (u *Upstream) Gate() *stand.Gate { return u.standing.Gate() }

// WithObserver sets the functions that are called with each change of an
// upstream's state and with each invalid field of an upstream. It must be called
// before any other method.
func (p *Pool) WithObserver(changed func(stand.Change), ignored func(id string, f stand.InvalidField)) *Pool {
	p.book.SetObserver(changed, ignored)
	return p
}

// Hear applies a statement that arrived in an answer. u is the incarnation that was
// sent the message, or nil if the message was for the one that is present at the
// address, and expected is the id of the one that was to answer. cause describes
// the message.
func (p *Pool) Hear(now time.Time, u *Upstream, expected string, st stand.Statement, cause string) {
	id := st.Instance()
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
	s := p.book.OfUnknown(now, id)
	if u != nil {
		s = u.standing
	}
	p.book.Hear(now, s, st, cause)
}

// MarkLeaving records that the upstream accepts no new work. It is permanent for
// the incarnation, also if the registry removes it and lists it again.
func (p *Pool) MarkLeaving(now time.Time, u *Upstream, cause string) {
	p.book.MarkLeaving(now, u.standing, cause)
}

// EndRests reports the rests that have ended.
func (p *Pool) EndRests(now time.Time) { p.book.EndRests(now) }

// FirstReturn returns the earliest end of a rest among the upstreams of a service
// that are resting and would be usable otherwise, or false if there are none or
// another one may be sent work. It excludes upstreams for which skip returns true.
func (p *Pool) FirstReturn(now time.Time, service string, skip func(*Upstream) bool) (time.Time, bool) {
	var first time.Time
	for _, u := range p.byService[service] {
		switch {
		case skip(u):
		case p.eligible(now, Need{}, u):
			return time.Time{}, false
		case u.Usable() && u.Resting(now) && (first.IsZero() || u.RestUntil().Before(first)):
			first = u.RestUntil()
		}
	}
	return first, !first.IsZero()
}

// SetVMs sets the name of this VM and the names of all enrolled VMs, which share the
// limits of upstreams.
func (p *Pool) SetVMs(self string, names []string) {
	if p.fleet == nil {
		p.fleet = quota.NewFleet(self)
		p.book.SetFleet(p.fleet, p.place)
	}
	p.fleet.Set(names)
}

// place returns the index of an upstream among the listed ones of its service, and
// their number. An upstream that is not listed has the first place.
func (p *Pool) place(id string) (index, count int) {
	u := p.byID[id]
	if u == nil {
		return 0, 1
	}
	list := p.byService[u.entry.Service()]
	return max(slices.Index(list, u), 0), len(list)
}

// Witness returns the upstream of the same service that is the most likely to answer a
// query besides u, or nil if there is none: one that is not backing off before others,
// one that owes no answer before others, one in another failure domain before others, and
// of these the one that sent something last. Of those that owe an answer it is the one that
// was queried first. It considers only upstreams for which match returns true.
func (p *Pool) Witness(now time.Time, u *Upstream, match func(*Upstream) bool) *Upstream {
	var best *Upstream
	better := func(w *Upstream) bool {
		if best == nil {
			return true
		}
		if backing := w.BackingOff(now); backing != best.BackingOff(now) {
			return !backing
		}
		if owes := w.owesAnswer(); owes != best.owesAnswer() {
			return !owes
		} else if owes && !w.queriedAt.Equal(best.queriedAt) {
			return w.queriedAt.Before(best.queriedAt)
		}
		elsewhere, found := w.entry.Domain() != u.entry.Domain(), best.entry.Domain() != u.entry.Domain()
		if elsewhere != found {
			return elsewhere
		}
		return w.lastActivity.After(best.lastActivity)
	}
	for _, w := range p.byService[u.entry.Service()] {
		if w != u && p.usable(now, w) && !w.Resting(now) && match(w) && better(w) {
			best = w
		}
	}
	return best
}

// Beside returns a function that reports whether an upstream is in another failure domain
// of the region of u, so that it shares the path to u, but not its fate. One that is
// backing off may have failed itself.
func Beside(now time.Time, u *Upstream) func(*Upstream) bool {
	return func(w *Upstream) bool {
		return w.entry.Region() == u.entry.Region() && w.entry.Domain() != u.entry.Domain() && !w.BackingOff(now)
	}
}

// Anywhere returns true.
func Anywhere(*Upstream) bool { return true }

// placesChanged counts a change of the listed upstreams.
func (p *Pool) placesChanged() {
	if p.fleet != nil {
		p.fleet.Changed()
	}
}

// Earliest returns the upstream whose limit permits the need first, and when it does.
// It returns nil if no upstream that may be sent work has a limit. It excludes
// upstreams for which skip returns true.
func (p *Pool) Earliest(now time.Time, n Need, skip func(*Upstream) bool) (*Upstream, time.Time) {
	var first *Upstream
	var at time.Time
	for _, u := range p.byService[n.service] {
		if skip(u) || !p.usable(now, u) || u.Resting(now) {
			continue
		}
		available := u.standing.AvailableAt(now, n.others)
		if !available.IsZero() && (first == nil || available.Before(at)) {
			first, at = u, available
		}
	}
	return first, at
}

// Interval returns the time between two requests that the limits of a service's
// upstreams permit this VM, or 0 if there are none.
func (p *Pool) Interval(now time.Time, service string) time.Duration {
	var rate float64
	for _, u := range p.byService[service] {
		if p.usable(now, u) {
			rate += u.standing.Share()
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / rate)
}

// Refuses reports whether the listed incarnation with the id, or else the latest
// known one, is leaving or resting.
func (p *Pool) Refuses(now time.Time, id string) bool {
	s := p.book.Latest(id)
	if u := p.byID[id]; u != nil && !u.gone {
		s = u.standing
	}
	return s != nil && (s.Leaving() || s.Resting(now))
}
