package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// Stats measures one response.
type Stats struct {
	started time.Time
	first   time.Time
	last    time.Time
	ended   time.Time
	// lost is the time of the last token before a loss that output has not
	// gone on from yet, or zero.
	lost time.Time
	// resume is the longest time from the last token before a loss to the
	// next one.
	resume     time.Duration
	gap        time.Duration
	attempts   int
	suspicions int
	// falseAlarms counts suspect attempts that gave the next token after all.
	falseAlarms int
	// extra counts received tokens that were not delivered.
	extra  int
	errors int
	// losses counts attempts whose engine was found gone, and breaks those
	// whose connection broke before a token.
	losses int
	breaks int
	// truncated counts streams that broke off or finished too early although
	// their engine lived.
	truncated int
	// left is the version that the response left after a failure of it, or "".
	left      string
	abandoned bool
	problem   *errs.Problem
}

// Started returns the time at which the response was admitted.
func (s *Stats) Started() time.Time { return s.started }

// First returns the time to the first token, or zero.
func (s *Stats) First() time.Duration {
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(s.started)
}

// Gap returns the longest time between two tokens.
func (s *Stats) Gap() time.Duration { return s.gap }

// Resume returns the longest time that output stopped for a loss, or zero.
func (s *Stats) Resume() time.Duration { return s.resume }

// Total returns the time from the start to the end.
func (s *Stats) Total() time.Duration { return s.ended.Sub(s.started) }

// Attempts returns the number of attempts.
func (s *Stats) Attempts() int { return s.attempts }

// Suspicions returns the number of attempts that were silent for too long.
func (s *Stats) Suspicions() int { return s.suspicions }

// FalseAlarms returns the number of suspect attempts that went on by
// themselves.
func (s *Stats) FalseAlarms() int { return s.falseAlarms }

// Extra returns the number of received tokens that were not delivered.
func (s *Stats) Extra() int { return s.extra }

// Errors returns the number of attempts that broke the protocol.
func (s *Stats) Errors() int { return s.errors }

// Losses returns the number of attempts whose engine could not be reached or
// was leaving.
func (s *Stats) Losses() int { return s.losses }

// Breaks returns the number of attempts whose connection broke before a token.
// An engine that crashes causes one, a version that fails causes several.
func (s *Stats) Breaks() int { return s.breaks }

// Truncated returns the number of streams that broke off or finished too early
// although their engine lived.
func (s *Stats) Truncated() int { return s.truncated }

// Left returns the version that the response left because an attempt on it
// failed, or "". Errors, Breaks and Truncated don't count its attempts.
func (s *Stats) Left() string { return s.left }

// Abandoned reports whether the caller left before the end.
func (s *Stats) Abandoned() bool { return s.abandoned }

// Problem returns the problem that ended the response, or nil.
func (s *Stats) Problem() *errs.Problem { return s.problem }

func (s *Stats) token(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	if !s.lost.IsZero() {
		s.resume = max(s.resume, now.Sub(s.lost))
		s.lost = time.Time{}
	}
	s.last = now
}

// lose records a loss; resume latency counts from the token before it.
func (s *Stats) lose(now time.Time) {
	if !s.lost.IsZero() {
		return
	}
	s.lost = s.last
	if s.lost.IsZero() {
		s.lost = now
	}
}

// leave forgets the failures of a version that the response leaves.
func (s *Stats) leave(version string) {
	if s.errors+s.breaks+s.truncated > 0 {
		s.left = version
	}
	s.errors, s.breaks, s.truncated = 0, 0, 0
}

func (s *Stats) finish(now time.Time) { s.ended = now }

func (s *Stats) fail(now time.Time, p *errs.Problem) {
	s.ended = now
	s.problem = p
}
