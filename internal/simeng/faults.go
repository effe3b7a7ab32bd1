package simeng

import (
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The modes of a fault.
const (
	// Kill resets all connections and stops listening. After the fault's
	// duration, if it has one, the engine restarts with a new incarnation.
	Kill = "kill"
	// Pause freezes the simulated process: it answers and generates nothing.
	// /fault and /stats aren't part of that process and still answer.
	Pause = "pause"
	// Hang permanently mutes all open streams and leaves other requests
	// unanswered until it ends. Generation continues.
	Hang = "hang"
	// Stall permanently mutes every second open stream. Other requests are
	// answered.
	Stall = "stall"
	// Reset resets the connections of the open streams once.
	Reset = "reset"
	// Slow multiplies token gaps and prefill time by the factor.
	Slow = "slow"
	// Bad corrupts the answers to new attempts according to its kind.
	Bad = "bad"
	// Leaving refuses new work with 503.
	Leaving = "leaving"
	// None ends all active faults.
	None = "none"
)

// The kinds of a Bad fault.
const (
	// BadError answers 500.
	BadError = "error"
	// BadTruncate ends the answer without a finish.
	BadTruncate = "truncate"
	// BadRepeat sends one token twice.
	BadRepeat = "repeat"
	// BadSkip omits one token.
	BadSkip = "skip"
	// BadCross labels tokens with the id of another request.
	BadCross = "cross"
	// BadFinish sends the finish twice.
	BadFinish = "finish"
)

// Fault is a fault to inject; see NewFault.
type Fault struct {
	mode string
	// duration is zero for a fault that lasts until None.
	duration time.Duration
	factor   float64
	kind     string
	version  string
	share    float64
	until    time.Time
}

// NewFault returns a fault that lasts for d, or until None if d is zero.
func NewFault(mode string, d time.Duration) Fault {
	return Fault{
		mode:     mode,
		duration: d,
		factor:   1,
		kind:     BadError,
		share:    1,
	}
}

// WithFactor sets the factor of Slow.
func (f Fault) WithFactor(factor float64) Fault {
	f.factor = factor
	return f
}

// WithKind sets the kind of Bad.
func (f Fault) WithKind(kind string) Fault {
	f.kind = kind
	return f
}

// WithVersion limits Slow or Bad to one version.
func (f Fault) WithVersion(version string) Fault {
	f.version = version
	return f
}

// WithShare limits Bad to a share of the requests, from 0 to 1, selected by a
// hash of their id.
func (f Fault) WithShare(share float64) Fault {
	f.share = share
	return f
}

// check returns an error for an unknown mode or kind and an invalid factor.
func (f Fault) check() error {
	switch f.mode {
	case Kill, Pause, Hang, Stall, Reset, Leaving, None:
		return nil
	case Slow:
		if f.factor <= 0 {
			return errors.Newf("slow needs a factor above 0, not %g", f.factor)
		}
		return nil
	case Bad:
		return f.checkKind()
	}
	return errors.Newf("unknown fault mode %q", f.mode)
}

func (f Fault) checkKind() error {
	switch f.kind {
	case BadError, BadTruncate, BadRepeat, BadSkip, BadCross, BadFinish:
		return nil
	}
	return errors.Newf("unknown kind of bad output %q", f.kind)
}

func (f Fault) appliesTo(version string) bool { return f.version == "" || f.version == version }

// selects reports whether a request is in the fault's share.
func (f Fault) selects(request string) bool {
	return float64(xxhash.Sum64String(request)%10000) < f.share*10000
}

// faults holds the faults in effect by mode.
type faults struct {
	active map[string]Fault
}

// set starts a fault; None ends all faults.
func (f *faults) set(a Fault, now time.Time) {
	if a.mode == None {
		clear(f.active)
		return
	}
	if a.duration > 0 {
		a.until = now.Add(a.duration)
	}
	f.active[a.mode] = a
}

// expire removes the faults that are over.
func (f *faults) expire(now time.Time) {
	for mode, a := range f.active {
		if !a.until.IsZero() && !a.until.After(now) {
			delete(f.active, mode)
		}
	}
}

// nextExpiry returns when the next fault ends, or zero if none does.
func (f *faults) nextExpiry() time.Time {
	var next time.Time
	for _, a := range f.active {
		next = alarm.First(next, a.until)
	}
	return next
}

func (f *faults) isActive(mode string) bool {
	_, ok := f.active[mode]
	return ok
}

// factor returns the factor by which a version is slowed down.
func (f *faults) factor(version string) float64 {
	if a, ok := f.active[Slow]; ok && a.appliesTo(version) {
		return a.factor
	}
	return 1
}

// badKind returns the kind of bad output for a new attempt, or "".
func (f *faults) badKind(version, request string) string {
	if a, ok := f.active[Bad]; ok && a.appliesTo(version) && a.selects(request) {
		return a.kind
	}
	return ""
}
