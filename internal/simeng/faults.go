package simeng

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// The modes of a fault.
const (
	// Kill resets all connections and stops listening; after the fault's
	// duration the engine restarts with a new incarnation.
	Kill = "kill"
	// Pause freezes the process: nothing is answered or generated. Only /fault
	// and /stats, which stand outside the simulated process, still answer.
	Pause = "pause"
	// Hang silences all open streams for good and answers nothing else until
	// it ends; generation goes on.
	Hang = "hang"
	// Stall silences every second open stream for good; the host answers.
	Stall = "stall"
	// Reset resets the connections of the open streams once.
	Reset = "reset"
	// Slow multiplies token gaps and prefill time by the factor.
	Slow = "slow"
	// Bad makes new attempts answer wrongly, as its kind says.
	Bad = "bad"
	// Leaving refuses new work with 503.
	Leaving = "leaving"
	// None ends all faults of a duration.
	None = "none"
)

// The kinds of a Bad fault.
const (
	// BadError answers 500.
	BadError = "error"
	// BadTruncate ends the answer without a finish.
	BadTruncate = "truncate"
	// BadRepeat sends an index twice.
	BadRepeat = "repeat"
	// BadSkip leaves an index out.
	BadSkip = "skip"
	// BadCross labels tokens with the id of another request.
	BadCross = "cross"
	// BadFinish sends the finish twice.
	BadFinish = "finish"
)

// Fault is a fault to inject.
type Fault struct {
	mode string
	// length is zero for a fault that lasts until None.
	length  time.Duration
	factor  float64
	kind    string
	version string
	share   float64
	until   time.Time
}

// NewFault returns a fault that lasts for d, or until None if d is zero.
func NewFault(mode string, d time.Duration) Fault {
	return Fault{
		mode:   mode,
		length: d,
		factor: 1,
		kind:   BadError,
		share:  1,
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

// WithShare limits Bad to a share, from 0 to 1, of requests by their id.
func (f Fault) WithShare(share float64) Fault {
	f.share = share
	return f
}

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

func (f Fault) covers(version string) bool { return f.version == "" || f.version == version }

// picks reports whether a request is in the fault's share.
func (f Fault) picks(request string) bool {
	return float64(xxhash.Sum64String(request)%10000) < f.share*10000
}

// faults holds the faults with a duration that are in effect, by mode.
type faults struct {
	active map[string]Fault
}

func (f *faults) set(a Fault, now time.Time) {
	if a.mode == None {
		clear(f.active)
		return
	}
	if a.length > 0 {
		a.until = now.Add(a.length)
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

// next returns when the next fault ends, or zero.
func (f *faults) next() time.Time {
	var next time.Time
	for _, a := range f.active {
		next = earlier(next, a.until)
	}
	return next
}

func (f *faults) has(mode string) bool {
	_, ok := f.active[mode]
	return ok
}

// factor returns the slow-down of a version.
func (f *faults) factor(version string) float64 {
	if a, ok := f.active[Slow]; ok && a.covers(version) {
		return a.factor
	}
	return 1
}

// bad returns the kind of wrong output for a new attempt, or "".
func (f *faults) bad(version, request string) string {
	if a, ok := f.active[Bad]; ok && a.covers(version) && a.picks(request) {
		return a.kind
	}
	return ""
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
