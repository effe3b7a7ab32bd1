package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
)

// Cause identifies why an attempt ended without a finish message.
type Cause uint8

// The causes of a lost attempt.
const (
	// Reset means that the connection broke, or that the stream ended without
	// a finish message.
	Reset Cause = iota
	// Refused means that the engine's batch and queue are full.
	Refused
	// Unreachable means that no connection to the engine could be opened.
	Unreachable
	// Departing means that the engine refused because it is leaving.
	Departing
	// NotFound means that the engine doesn't have the version or the stream.
	NotFound
	// InvalidResponse means that the engine answered with an error or violated
	// the protocol.
	InvalidResponse
	// Silent means that the attempt produced no token for too long.
	Silent
)

// String returns the name of the cause in traces, logs and problem details.
func (c Cause) String() string {
	return [...]string{"reset", "refused", "unreachable", "departing", "absent", "bad", "silent"}[c]
}

const (
	// attachWait bounds the wait for the first token of a retained stream. A
	// new attempt on another engine takes about as long.
	attachWait = 150 * time.Millisecond
	// reconnectShift is the position of the reconnect count in an attempt
	// number. It keeps the numbers of the VM that a caller left apart from those
	// of the VM that it reconnects to, because both may use the same engine.
	reconnectShift = 16
)

// attempt is one stream from an engine that generates a response.
type attempt struct {
	number  uint32
	engine  *fleet.Engine
	started time.Time
	// lastToken is the time of the latest token, zero before the first.
	lastToken time.Time
	// attached is true if the attempt continues a retained stream instead of
	// opening a new one.
	attached bool
	// broken is true if the attempt continues a stream whose connection broke
	// although its engine was live.
	broken bool
	// resume is true if the attempt continues output that was already accepted.
	resume bool
	// timeout, if not nil, returns the silence timeout instead of the engine's
	// cadence.
	timeout func(started bool) time.Duration
	// suspect is true once the attempt's silence has caused a hedge.
	suspect bool
}

// suspectAt returns the time at which the attempt becomes suspect if it stays
// silent.
func (a *attempt) suspectAt(now time.Time) time.Time {
	c := a.engine.Cadence()
	switch {
	case a.timeout != nil && !a.lastToken.IsZero():
		return a.lastToken.Add(a.timeout(true))
	case a.timeout != nil:
		return a.started.Add(a.timeout(false))
	case !a.lastToken.IsZero():
		return a.lastToken.Add(c.Silence(now))
	case a.attached:
		return a.started.Add(attachWait)
	default:
		return a.started.Add(c.FirstWait(a.engine.Queued()))
	}
}

// nextCheck returns the time at which the attempt's silence must be checked
// next. The timeout is shorter when the engine's other streams are silent too,
// so the first check is at the shorter timeout.
func (a *attempt) nextCheck(now time.Time) time.Time {
	if !a.lastToken.IsZero() && a.timeout == nil {
		if at := a.lastToken.Add(a.engine.Cadence().Base()); at.After(now) {
			return at
		}
	}
	return a.suspectAt(now)
}

// recordToken updates the engine's cadence with a token or finish received now.
func (a *attempt) recordToken(now time.Time) {
	c := a.engine.Cadence()
	switch {
	case !a.lastToken.IsZero():
		c.Token(now, now.Sub(a.lastToken))
	case !a.attached:
		c.First(now, now.Sub(a.started))
	}
	if a.lastToken.IsZero() && a.resume {
		a.engine.EndResumeWait()
	}
	a.lastToken = now
}

// release removes the attempt from the counts of its engine.
func (a *attempt) release() {
	if a.lastToken.IsZero() && a.resume {
		a.engine.EndResumeWait()
	}
	a.engine.EndAttempt()
}
