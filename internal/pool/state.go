package pool

import "time"

const (
	// stateTTL is the time for which an engine's reported state is considered
	// fresh. A prompt is read in about a second.
	stateTTL = 600 * time.Millisecond
	// stateLatency is the assumed age of a state when it arrives.
	stateLatency = 200 * time.Millisecond
)

// FromOtherIncarnation reports whether the state is that of another incarnation
// than the listed one.
func (u *Upstream) FromOtherIncarnation(s State) bool {
	return s.StartedAt() != 0 && u.entry.StartedAt() != 0 && s.StartedAt() != u.entry.StartedAt()
}

// UpdateState applies the state that an engine reported.
func (p *Pool) UpdateState(now time.Time, u *Upstream, s State) {
	u.lastActivity = now
	u.state, u.stateAt = s, now
	if s.Leaving() {
		p.MarkLeaving(now, u, causeState)
	}
}

// HasFreshState reports whether the engine's latest state is recent enough to
// be used.
func (u *Upstream) HasFreshState(now time.Time) bool {
	return !u.stateAt.IsZero() && now.Sub(u.stateAt) < stateTTL
}

// fullTTL is how long an engine counts as full after it has stated so. Runs take seconds,
// and a stream that leaves a silent engine for a full one reads its prompt again.
const fullTTL = 2 * time.Second

// full reports whether the engine's latest state leaves no memory for the need.
func (u *Upstream) full(now time.Time, n Need) bool {
	return n.memory > 0 && now.Sub(u.stateAt) < fullTTL && u.state.Used()+n.tokens > n.memory
}

// unreportedAttempts returns the number of this VM's attempts that the latest
// state does not include.
func (u *Upstream) unreportedAttempts() int {
	n := 0
	for _, at := range u.attemptTimes {
		if at.After(u.stateAt.Add(-stateLatency)) {
			n++
		}
	}
	return n
}
