package pool

import (
	"cmp"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/load"
	"clementinelink.example/clementinelink/internal/stand"
)

const (
	// minBackoff is the backoff after a first failure. A crashed engine is back
	// after 1.2 s with a new id.
	minBackoff = 1500 * time.Millisecond
	// maxBackoff bounds the backoff, which doubles with each consecutive
	// failure.
	maxBackoff = 6 * time.Second
	// faultWeight is the weight of a new answer in the moving average of
	// faults.
	faultWeight = 0.2
	// faultHalfLife is the half-life of the fault rate. It decays so that an
	// upstream without traffic is tried again.
	faultHalfLife = 4 * time.Second
	// crowdedTime is how long a load report tells that an upstream has no room. Work
	// at plain upstreams takes some 15 ms.
	crowdedTime = 250 * time.Millisecond
	// otherRunTokens is the memory that a run of another VM is assumed to take:
	// a prompt of 5,000 tokens and half of its output.
	otherRunTokens = 5500
)

// Upstream is the state of one upstream as known to this VM. It is owned by the
// goroutine that owns the pool.
type Upstream struct {
	entry Entry
	// gone is true once the registry no longer lists the upstream, or another
	// incarnation answered at its address.
	gone bool
	// successor is the next incarnation at the address, or nil.
	successor *Upstream
	// provisionalUntil is the time until which an incarnation that the registry
	// does not list yet may be used; it is zero for a listed one.
	provisionalUntil time.Time
	// standing is what the upstream stated about itself. It is never nil.
	standing *stand.Standing

	// attempts counts this VM's attempts in flight.
	attempts int
	// prefilling counts the streams among them that have no piece yet.
	prefilling int
	// tokens is the memory that these attempts take or will take.
	tokens int
	// copyTokens is the memory of the copies that this VM placed here.
	copyTokens int

	// lastActivity is the time at which the upstream last sent anything.
	lastActivity time.Time
	// queriedAt is the time of the latest query of the upstream's state.
	queriedAt time.Time
	// backoffUntil is the time until which the upstream is only a last resort.
	// backoffDoublings is the number of doublings of its next backoff.
	backoffUntil     time.Time
	backoffDoublings int
	// faultRate is a moving average of faults, from 0 to 1, as of faultAt.
	faultRate float64
	faultAt   time.Time

	// state is the state that the engine reported last, at the time stateAt.
	state   State
	stateAt time.Time
	// attemptTimes holds the start times of this VM's attempts of the last
	// second.
	attemptTimes []time.Time

	// load is the load that the upstream reported.
	load load.Record
}

// Entry returns the registry's entry of the upstream.
func (u *Upstream) Entry() Entry { return u.entry }

// ID returns the id of the incarnation.
func (u *Upstream) ID() string { return u.entry.ID() }

// Address returns the address as host:port.
func (u *Upstream) Address() string { return u.entry.Address() }

// Attempts returns the number of this VM's attempts in flight.
func (u *Upstream) Attempts() int { return u.attempts }

// Tokens returns the memory that this VM's attempts and copies take, in tokens.
func (u *Upstream) Tokens() int { return u.tokens + u.copyTokens }

// Usable reports whether the upstream may be sent new work.
func (u *Upstream) Usable() bool { return !u.gone && !u.standing.Leaving() }

// Gone reports whether the registry no longer lists the incarnation or another
// one has replaced it.
func (u *Upstream) Gone() bool { return u.gone }

// Available reports whether the upstream may be sent work, has not failed lately, and is
// the latest known incarnation at its address.
func (u *Upstream) Available(now time.Time) bool { return u.Unavailable(now) == "" && u.Latest() == u }

// Unavailable returns why the upstream may not be sent work, or "" if it may be and has not
// failed lately.
func (u *Upstream) Unavailable(now time.Time) string {
	switch {
	case u.gone:
		return "gone"
	case u.Leaving():
		return "leaving"
	case u.Resting(now):
		return "resting"
	case u.BackingOff(now):
		return "backing off"
	default:
		return ""
	}
}

// Latest returns the newest known incarnation at the upstream's address. It
// holds what was placed there by address shortly before.
func (u *Upstream) Latest() *Upstream {
	for u.successor != nil {
		u = u.successor
	}
	return u
}

// AddAttempt counts a new attempt that takes tokens of memory. prefilling is
// true for a stream without a piece.
func (u *Upstream) AddAttempt(now time.Time, tokens int, prefilling bool) {
	u.attemptTimes = slices.DeleteFunc(u.attemptTimes, func(at time.Time) bool { return now.Sub(at) > time.Second })
	u.attemptTimes = append(u.attemptTimes, now)
	u.attempts++
	u.tokens += tokens
	if prefilling {
		u.prefilling++
	}
}

// FinishPrefill counts the first piece of a stream.
func (u *Upstream) FinishPrefill() { u.prefilling-- }

// RemoveAttempt reverts AddAttempt when an attempt ends. prefilling is true for
// a stream that has produced no piece.
func (u *Upstream) RemoveAttempt(tokens int, prefilling bool) {
	u.attempts--
	u.tokens -= tokens
	if prefilling {
		u.prefilling--
	}
}

// AddCopyTokens adds the memory of a copy to the upstream's account. A negative
// number removes it.
func (u *Upstream) AddCopyTokens(tokens int) { u.copyTokens += tokens }

// RecordActivity records that the upstream sent something.
func (u *Upstream) RecordActivity(now time.Time) { u.lastActivity = now }

// LastActivity returns the time at which the upstream last sent anything, or
// the zero time.
func (u *Upstream) LastActivity() time.Time { return u.lastActivity }

// RecordSuccess records a good answer and ends the backoff.
func (u *Upstream) RecordSuccess(now time.Time) {
	u.lastActivity = now
	u.backoffDoublings = 0
	u.backoffUntil = time.Time{}
	u.faultRate = u.FaultRate(now) * (1 - faultWeight)
	u.faultAt = now
}

// RecordFault records an answer that failed or did not arrive. The upstream may
// be healthy otherwise.
func (u *Upstream) RecordFault(now time.Time) {
	u.faultRate = u.FaultRate(now)*(1-faultWeight) + faultWeight
	u.faultAt = now
}

// BackOff makes the upstream a last resort for some time, which doubles with each
// consecutive call up to maxBackoff. Calls while it lasts belong to the same failure: the
// attempts were sent before it.
func (u *Upstream) BackOff(now time.Time) {
	if u.BackingOff(now) {
		return
	}
	u.backoffUntil = now.Add(min(minBackoff<<u.backoffDoublings, maxBackoff))
	u.backoffDoublings = min(u.backoffDoublings+1, 2)
}

// BackingOff reports whether the upstream is only a last resort at present.
func (u *Upstream) BackingOff(now time.Time) bool { return now.Before(u.backoffUntil) }

// MarkReplaced records that another incarnation answers at the upstream's
// address.
func (u *Upstream) MarkReplaced() { u.gone = true }

// FaultRate returns the fraction of faults among recent answers, from 0 to 1.
func (u *Upstream) FaultRate(now time.Time) float64 {
	if u.faultRate == 0 {
		return 0
	}
	return u.faultRate * load.Decay(now.Sub(u.faultAt), faultHalfLife)
}

// ReportLoad records the load that an upstream reported, which includes this VM's.
func (p *Pool) ReportLoad(now time.Time, u *Upstream, r load.Report) {
	u.load.Update(now, r, u.attempts)
	name := u.entry.Service()
	p.reportedSlots[name] = max(p.reportedSlots[name], r.Slots())
}

// Load returns what is known of the upstream's load. The caller must not update it.
func (u *Upstream) Load() *load.Record { return &u.load }

// Slots returns the number of slots that the registry states, or else the upstream, or 0
// if it is unknown.
func (u *Upstream) Slots() int { return cmp.Or(u.entry.Slots(), u.load.Slots()) }

// Crowded reports whether a plain upstream has lately reported that more requests wait
// there than it can work on at once. It is false if the number of its slots is unknown.
func (u *Upstream) Crowded(now time.Time) bool {
	return u.Slots() > 0 && now.Sub(u.load.CountsAt()) < crowdedTime && float64(u.attempts)+u.load.OthersReported() >= float64(2*u.Slots())
}
