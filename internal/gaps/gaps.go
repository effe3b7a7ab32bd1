// Package gaps derives from the goals of a route how long a stream may pause: when its
// engine is queried, and when it goes on elsewhere.
package gaps

import "time"

// MaxSilence is the longest silence of an engine for which a stream waits while the other
// ones are full or have failed. A sound engine is silent for about a second.
const MaxSilence = 2 * time.Second

const (
	// probeShare is the fraction of the longest on-time pause after which the
	// state of a silent engine is queried. The remaining time must suffice for
	// the query and the resume.
	probeShare = 0.36
	// defaultMax is the longest on-time pause of a route that does not state
	// one.
	defaultMax = 700 * time.Millisecond
	// prefillProbeInterval is the interval of state queries to an engine that
	// is reading a prompt, during which it sends nothing.
	prefillProbeInterval = 500 * time.Millisecond
	// hungGaps is the silence, as a multiple of the longest on-time pause,
	// after which a stream continues at another engine although its engine
	// answers state queries.
	hungGaps = 2
	// stallShare is the silence, as a fraction of the longest on-time pause,
	// after which a stream resumes from an intact standby copy, once per
	// stream. Pauses last 230 ms while an engine reads another prompt, and the
	// remaining time must suffice for the resume.
	stallShare = 0.65
)

// Limits holds the goals of a route for its streams.
type Limits struct {
	goal time.Duration
	max  time.Duration
}

// New returns the limits of a route. goal is the time to the first piece, and gap the
// longest on-time pause between pieces, or 0 if the route does not state it.
func New(goal, gap time.Duration) Limits {
	if gap <= 0 {
		gap = defaultMax
	}
	return Limits{
		goal: goal,
		max:  gap,
	}
}

// Probe returns how long an attempt may be silent before the state of its engine is
// queried. begun is true once the attempt has produced a piece.
func (l Limits) Probe(begun bool) time.Duration {
	if begun {
		return time.Duration(probeShare * float64(l.max))
	}
	return prefillProbeInterval
}

// Stall returns the silence after which a stream resumes from its standby copy.
func (l Limits) Stall() time.Duration { return time.Duration(stallShare * float64(l.max)) }

// Hung returns the silence after which a stream goes on elsewhere although its engine
// answers queries.
func (l Limits) Hung() time.Duration { return hungGaps * l.max }

// Resume returns how long a resume may take to its first piece. The stream is late by
// then, so the timeout is only meant for resumes that never start: a new attempt gets no
// better place in the engine's queue.
func (l Limits) Resume() time.Duration { return max(l.goal, l.Hung()) }
