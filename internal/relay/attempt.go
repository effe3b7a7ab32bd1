package relay

import (
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
)

// Cause tells why an attempt ended without a finish.
type Cause uint8

// The causes of a lost attempt.
const (
	// Reset is a broken connection or one that ended without a finish.
	Reset Cause = iota
	// Refused is an engine whose batch and queue are full.
	Refused
	// Unreachable is an engine that refuses connections.
	Unreachable
	// Departing is an engine that is leaving.
	Departing
	// Absent is an engine that doesn't have the version or the stream.
	Absent
	// Bad is an engine that answers with an error or breaks the protocol.
	Bad
	// Silent is an attempt that was silent for too long.
	Silent
)

// String returns the cause's name in traces and logs.
func (c Cause) String() string {
	return [...]string{"reset", "refused", "unreachable", "departing", "absent", "bad", "silent"}[c]
}

const (
	// attachWait bounds the wait for a retained stream, because a new attempt
	// on another engine takes about as long.
	attachWait = 150 * time.Millisecond
	// epochShift separates the attempts of one VM from those of the VM that a
	// caller reconnects to, so that both may use one engine.
	epochShift = 16
)

// attempt is one engine stream that works on a response.
type attempt struct {
	number  uint32
	engine  *fleet.Engine
	started time.Time
	// last is the time of the latest token, zero before the first.
	last time.Time
	// attached is true when the stream was retained rather than opened.
	attached bool
	// broken is true when the attempt continues a stream that broke off while
	// its engine lived.
	broken bool
	// resume is true for an attempt that continues delivered output.
	resume bool
	// timeout replaces the engine's cadence where it is not nil.
	timeout func(started bool) time.Duration
	// suspect is true once a hedge was started because of its silence.
	suspect bool
}

// due returns the time at which the attempt's silence makes it suspect.
func (a *attempt) due(now time.Time) time.Time {
	c := a.engine.Cadence()
	switch {
	case a.timeout != nil && !a.last.IsZero():
		return a.last.Add(a.timeout(true))
	case a.timeout != nil:
		return a.started.Add(a.timeout(false))
	case !a.last.IsZero():
		return a.last.Add(c.Silence(now))
	case a.attached:
		return a.started.Add(attachWait)
	default:
		return a.started.Add(c.FirstWait(a.engine.Queued()))
	}
}

// check returns the time at which the attempt's silence is judged next. The
// timeout depends on the engine's other streams, so it is judged first at its
// shorter value.
func (a *attempt) check(now time.Time) time.Time {
	if !a.last.IsZero() && a.timeout == nil {
		if at := a.last.Add(a.engine.Cadence().Base()); at.After(now) {
			return at
		}
	}
	return a.due(now)
}

// observe records a token in the engine's cadence.
func (a *attempt) observe(now time.Time) {
	c := a.engine.Cadence()
	switch {
	case !a.last.IsZero():
		c.Token(now, now.Sub(a.last))
	case !a.attached:
		c.First(now, now.Sub(a.started))
	}
	if a.last.IsZero() && a.resume {
		a.engine.Resumed()
	}
	a.last = now
}

// release returns the attempt's place on its engine.
func (a *attempt) release() {
	if a.last.IsZero() && a.resume {
		a.engine.Resumed()
	}
	a.engine.End()
}
