package stand

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// restGrace is the time from the start of a rest in which messages that were
	// decided on before may still be sent, and the state of an engine with runs may
	// still be queried. An upstream expects none later than 500 ms after its answer.
	restGrace = 400 * time.Millisecond
	// maxRestMessages is the number of messages about runs under way that an upstream
	// is sent after restGrace in a rest, and maxRestQueries that of queries among them.
	// The others are left for orders to stop runs.
	maxRestMessages = 2
	maxRestQueries  = 1
)

// Standing is what one incarnation of an upstream has stated. Apart from its Gate, it
// is owned by the goroutine that owns the Book.
type Standing struct {
	id string
	// startedAt is the start time of the incarnation in Unix milliseconds, or 0 if
	// it is unknown.
	startedAt int64
	// heard is the time of the latest statement that had an effect.
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
	// limit is the limit that the upstream named, or nil.
	limit *limit
	// changed is the time of the latest change of the state.
	changed time.Time
	// lastInvalid is the latest invalid field that was reported.
	lastInvalid InvalidField
	// reportedOnce holds the names of the fields that are not reported again.
	reportedOnce []string
	gate         Gate
}

// Matches reports whether the standing is that of the incarnation with the given
// start time in Unix milliseconds, or 0 if it is unknown. Where a start time is
// unknown, an incarnation that started after the latest statement is another one.
func (s *Standing) Matches(startedAt int64) bool {
	if s.startedAt == 0 || startedAt == 0 {
		return startedAt <= s.heard.UnixMilli()
	}
	return s.startedAt == startedAt
}

// isNew reports whether an invalid field is to be reported, and takes it as reported.
func (s *Standing) isNew(f InvalidField) bool {
	switch {
	case f.once && slices.Contains(s.reportedOnce, f.name), f == s.lastInvalid:
		return false
	case f.once:
		s.reportedOnce = append(s.reportedOnce, f.name)
	default:
		s.lastInvalid = f
	}
	return true
}

// Leaving reports whether the incarnation accepts no new work.
func (s *Standing) Leaving() bool { return s.leaving }

// Resting reports whether the incarnation wants no messages at present.
func (s *Standing) Resting(now time.Time) bool { return now.Before(s.restUntil) }

// RestUntil returns the end of the latest rest, or the zero time.
func (s *Standing) RestUntil() time.Time { return s.restUntil }

// Gate returns the gate for messages that wait for a connection.
func (s *Standing) Gate() *Gate { return &s.gate }

// PermitMessage reports whether the incarnation may be sent a message about a run
// under way, and counts it against the few that a rest permits.
func (s *Standing) PermitMessage(now time.Time) bool { return s.permit(now, maxRestMessages) }

// PermitQuery is PermitMessage for a query.
func (s *Standing) PermitQuery(now time.Time) bool { return s.permit(now, maxRestQueries) }

// permit counts a message in a rest unless there were limit messages already.
func (s *Standing) permit(now time.Time, limit int) bool {
	if s.Resting(now) && now.Sub(s.restSince) >= restGrace {
		if s.messages >= limit {
			return false
		}
		s.messages++
	}
	s.TakeAhead(now)
	return true
}

// Gate tells goroutines that wait for a connection to an upstream whether its
// state still permits the message. It is safe for concurrent use.
type Gate struct {
	leaving atomic.Bool
	// limited is true while the upstream's answers name a limit.
	limited atomic.Bool
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

// Limited reports whether the upstream's answers name a limit, so that one without it
// is news. A nil gate is of an upstream of which nothing is known.
func (g *Gate) Limited() bool { return g != nil && g.limited.Load() }

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
