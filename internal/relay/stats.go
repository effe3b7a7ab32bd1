package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// Stats holds the measurements of one response.
type Stats struct {
	started time.Time
	first   time.Time
	last    time.Time
	ended   time.Time
	// lossStart is the time of the last token before a loss from which the
	// response has not recovered yet, or zero.
	lossStart time.Time
	// resume is the longest time from the last token before a loss to the
	// first token after it.
	resume     time.Duration
	gap        time.Duration
	attempts   int
	suspicions int
	// falseAlarms counts suspect attempts that produced the next token.
	falseAlarms int
	// discardedTokens counts received tokens that were not delivered.
	discardedTokens int
	errors          int
	// losses counts attempts whose engine was unreachable or leaving, and breaks
	// those whose connection broke before the first token.
	losses int
	breaks int
	// truncated counts streams that broke off or finished prematurely although
	// their engine was live.
	truncated int
	// failedVersion is the version that the response switched away from after
	// an attempt on it failed, or "".
	failedVersion string
	abandoned     bool
	problem       *errs.Problem
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

// Gap returns the longest time between two consecutive tokens.
func (s *Stats) Gap() time.Duration { return s.gap }

// Resume returns the longest interruption of the output by the loss of an
// attempt, or zero.
func (s *Stats) Resume() time.Duration { return s.resume }

// Total returns the time from admission to the end.
func (s *Stats) Total() time.Duration { return s.ended.Sub(s.started) }

// Attempts returns the number of attempts, including hedges and attaches.
func (s *Stats) Attempts() int { return s.attempts }

// Suspicions returns the number of attempts that were silent for too long.
func (s *Stats) Suspicions() int { return s.suspicions }

// FalseAlarms returns the number of suspect attempts that produced the next
// token before their hedge did.
func (s *Stats) FalseAlarms() int { return s.falseAlarms }

// DiscardedTokens returns the number of received tokens that were not delivered.
func (s *Stats) DiscardedTokens() int { return s.discardedTokens }

// Errors returns the number of attempts that ended with an invalid response.
func (s *Stats) Errors() int { return s.errors }

// Losses returns the number of attempts whose engine could not be reached or
// was leaving.
func (s *Stats) Losses() int { return s.losses }

// Breaks returns the number of attempts whose connection broke before the first
// token. An engine that crashes causes one, a faulty version causes several.
func (s *Stats) Breaks() int { return s.breaks }

// Truncated returns the number of streams that broke off or finished prematurely
// although their engine was live.
func (s *Stats) Truncated() int { return s.truncated }

// FailedVersion returns the version that the response switched away from
// because an attempt on it failed, or "". Errors, Breaks and Truncated do not
// include the attempts on that version.
func (s *Stats) FailedVersion() string { return s.failedVersion }

// Abandoned reports whether the response ended because its caller disconnected.
func (s *Stats) Abandoned() bool { return s.abandoned }

// Problem returns the problem that ended the response, or nil.
func (s *Stats) Problem() *errs.Problem { return s.problem }

func (s *Stats) recordToken(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	if !s.lossStart.IsZero() {
		s.resume = max(s.resume, now.Sub(s.lossStart))
		s.lossStart = time.Time{}
	}
	s.last = now
}

// recordLoss marks the start of an interruption, which is the time of the last
// token before the loss.
func (s *Stats) recordLoss(now time.Time) {
	if !s.lossStart.IsZero() {
		return
	}
	s.lossStart = s.last
	if s.lossStart.IsZero() {
		s.lossStart = now
	}
}

// resetFailures clears the failure counts when the response switches to another
// version, and stores the old version if it had any.
func (s *Stats) resetFailures(version string) {
	if s.errors+s.breaks+s.truncated > 0 {
		s.failedVersion = version
	}
	s.errors, s.breaks, s.truncated = 0, 0, 0
}

func (s *Stats) recordEnd(now time.Time) { s.ended = now }

func (s *Stats) recordFailure(now time.Time, p *errs.Problem) {
	s.ended = now
	s.problem = p
}
