package pool

import (
	"cmp"
	"time"
)

// Score is the score of an upstream for an attempt without the random addition, in its
// parts; lower is better.
type Score struct {
	// faults is for recent faults.
	faults float64
	// work is for the expected delay at an engine, or the use of a plain upstream.
	work float64
	// unknown is for an engine without a fresh state.
	unknown float64
	// memory is for an engine that would have to free memory.
	memory float64
	// slow is for a plain upstream that reports a slow-down.
	slow float64
	// region and domain are for another region and another failure domain.
	region float64
	domain float64
	// last is for an upstream that is a last resort.
	last float64
}

// Total returns the sum of the parts.
func (s *Score) Total() float64 {
	return s.faults + s.work + s.unknown + s.memory + s.slow + s.region + s.domain + s.last
}

// Parts calls f with the name and value of each part that is not 0.
func (s *Score) Parts(f func(name string, value float64)) {
	part := func(name string, value float64) {
		if value != 0 {
			f(name, value)
		}
	}
	part("faults", s.faults)
	part("work", s.work)
	part("unknown", s.unknown)
	part("memory", s.memory)
	part("slow", s.slow)
	part("region", s.region)
	part("domain", s.domain)
	part("last", s.last)
}

// Score returns the score of an upstream for an attempt. It draws no random number.
func (p *Pool) Score(now time.Time, n Need, u *Upstream) Score {
	var s Score
	p.addScore(now, n, u, &s)
	return s
}

// addScore sets the parts of the zero score s. It returns no Score, since copies of one for
// each upstream make a choice measurably slower.
func (p *Pool) addScore(now time.Time, n Need, u *Upstream, s *Score) {
	s.faults = faultScore * u.FaultRate(now)
	if n.memory > 0 {
		p.scoreEngine(now, n, u, s)
	} else {
		// An upstream whose slots are unknown has as many as others of its service, so that
		// it gets work before it has reported them.
		slots := float64(max(cmp.Or(u.Slots(), p.reportedSlots[n.service]), 1))
		ahead := (float64(u.attempts) + u.load.Others(now)) / slots
		s.work = ahead + 1/slots
		s.slow = (u.load.SlowDown(now) - 1) * (workScore + ahead)
		if u.entry.Region() != p.region {
			s.region = regionScore
		}
	}
	if u.entry.Domain() != p.domain {
		s.domain = domainScore
	}
	if u.BackingOff(now) || p.Suspect(now, u) {
		s.last = lastResortScore
	}
}

// scoreEngine sets the expected delay of a new run on an engine, in seconds.
func (p *Pool) scoreEngine(now time.Time, n Need, u *Upstream, s *Score) {
	if u.HasFreshState(now) {
		st := &u.state
		s.work = prefillScore*float64(st.Prefilling()+st.Waiting()+u.unreportedAttempts()) + decodeScore*float64(st.Running()-st.Prefilling())
	} else {
		s.unknown = unknownScore
		s.work = prefillScore*float64(u.prefilling) + decodeScore*(float64(u.attempts-u.prefilling)+u.load.Others(now))
	}
	if p.expectedMemory(now, u)+float64(n.tokens) > float64(n.memory) {
		s.memory = fullScore
	}
}

// State returns what keeps new work from an upstream that is not excluded for other
// reasons: "leaving", "resting" or "limited", or else "backing-off" or "suspect" if it is a
// last resort, or "usable". It brings the limit of the upstream up to date, so that only
// the owner of the pool or of a copy may call it.
func (p *Pool) State(now time.Time, n Need, u *Upstream) string {
	switch {
	case !p.usable(now, u):
		return "leaving"
	case u.Resting(now):
		return "resting"
	case !p.eligible(now, n, u):
		return "limited"
	case u.BackingOff(now):
		return "backing-off"
	case p.Suspect(now, u):
		return "suspect"
	default:
		return "usable"
	}
}

// Evidence calls f with each kind of evidence about an upstream and its age: the state
// that an engine reported ("state"), the load that came with a response ("load"), the
// slow-down ("speed"), and anything that the upstream sent ("heard").
func (u *Upstream) Evidence(now time.Time, f func(kind string, age time.Duration)) {
	age := func(kind string, at time.Time) {
		if !at.IsZero() {
			f(kind, now.Sub(at))
		}
	}
	age("state", u.stateAt)
	age("load", u.load.CountsAt())
	age("speed", u.load.SlowDownAt())
	age("heard", u.lastActivity)
}

// Reported returns the runs, waiting requests and used tokens of the state that an engine
// reported last, which are 0 without one.
func (u *Upstream) Reported() (running, waiting, used int) {
	return u.state.Running(), u.state.Waiting(), u.state.Used()
}

// AvailableAt returns the time at which the VM's share of the upstream's limit permits the
// need, or the zero time if there is no limit. Like State, it brings the limit up to date.
func (u *Upstream) AvailableAt(now time.Time, n Need) time.Time {
	return u.standing.AvailableAt(now, n.others)
}
