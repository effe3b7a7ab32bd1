package pool

import "time"

const (
	// stateTTL is the time for which an engine's reported state is considered
	// fresh. A prompt is read in about a second.
	stateTTL = 600 * time.Millisecond
	// stateLatency is the assumed age of a state when it arrives.
	stateLatency = 200 * time.Millisecond
)

// StateSpec lists the properties of an engine's reported state. Its fields are
// exported for construction only.
type StateSpec struct {
	// Running counts the runs, and Prefilling those of them that have produced no
	// output yet.
	Running    int
	Prefilling int
	// Waiting counts the requests in the engine's queue.
	Waiting int
	// Used is the memory that can't be freed, and Memory the total memory, both
	// in tokens.
	Used    int
	Memory  int
	Models  []string
	Leaving bool
	// StartedAt is the start time of the incarnation, as in EntrySpec, or 0 if it
	// is unknown.
	StartedAt int64
}

// State is the state that an engine reported. It is immutable.
type State struct {
	spec StateSpec
}

// NewState returns a state with the properties of s.
func NewState(s StateSpec) State {
	return State{
		spec: s,
	}
}

// Memory returns the total memory of the engine in tokens.
func (s State) Memory() int { return s.spec.Memory }

// Models returns the names of the engine's models. The caller must not modify
// the slice.
func (s State) Models() []string { return s.spec.Models }

// Running returns the number of runs.
func (s State) Running() int { return s.spec.Running }

// FromOtherIncarnation reports whether the state is that of another incarnation
// than the listed one.
func (u *Upstream) FromOtherIncarnation(s State) bool {
	return s.spec.StartedAt != 0 && u.entry.spec.StartedAt != 0 && s.spec.StartedAt != u.entry.spec.StartedAt
}

// UpdateState applies the state that an engine reported.
func (p *Pool) UpdateState(now time.Time, u *Upstream, s State) {
	u.lastActivity = now
	u.state, u.stateAt = s, now
	if s.spec.Leaving {
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
	return n.memory > 0 && now.Sub(u.stateAt) < fullTTL && u.state.spec.Used+n.tokens > n.memory
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
