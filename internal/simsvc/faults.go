package simsvc

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The modes of a fault.
const (
	// Kill resets all connections and stops listening. After the fault's
	// duration, if it has one, the service restarts.
	Kill = "kill"
	// Pause freezes the simulated process; calls that arrived continue when it
	// ends. /fault and /record aren't part of that process and still answer.
	Pause = "pause"
	// HangBefore never answers and doesn't run the call.
	HangBefore = "hang-before"
	// HangAfter runs the call and never answers.
	HangAfter = "hang-after"
	// ResetBefore resets the connection and doesn't run the call.
	ResetBefore = "reset-before"
	// ResetAfter runs the call and resets the connection.
	ResetAfter = "reset-after"
	// Slow multiplies the working time by the factor.
	Slow = "slow"
	// ErrorBefore answers 500 without running the call and without X-Not-Run.
	ErrorBefore = "error-before"
	// ErrorAfter runs the call and answers 500.
	ErrorAfter = "error-after"
	// Refuse answers 503 with X-Not-Run.
	Refuse = "refuse"
	// Leaving refuses like Refuse and is shown in load reports.
	Leaving = "leaving"
	// None ends all faults.
	None = "none"
)

// Fault is a fault to inject; see NewFault.
type Fault struct {
	mode string
	// duration is zero for a fault that lasts until None.
	duration time.Duration
	factor   float64
	// count is the number of further calls that the fault affects, 0 for all.
	count int
	until time.Time
}

// NewFault returns a fault that lasts for d, or until None if d is zero.
func NewFault(mode string, d time.Duration) Fault {
	return Fault{
		mode:     mode,
		duration: d,
		factor:   1,
	}
}

// WithFactor sets the factor of Slow.
func (f Fault) WithFactor(factor float64) Fault {
	f.factor = factor
	return f
}

// WithCount limits a fault that affects single calls to the next n calls; 0 means
// no limit.
func (f Fault) WithCount(n int) Fault {
	f.count = n
	return f
}

// check returns an error for an unknown mode and an invalid factor.
func (f Fault) check() error {
	switch f.mode {
	case Kill, Pause, HangBefore, HangAfter, ResetBefore, ResetAfter,
		ErrorBefore, ErrorAfter, Refuse, Leaving, None:
		return nil
	case Slow:
		if f.factor <= 0 {
			return errors.Newf("slow needs a factor above 0, not %g", f.factor)
		}
		return nil
	}
	return errors.Newf("unknown fault mode %q", f.mode)
}

// callModes lists the modes that affect single calls, in order of precedence.
var callModes = []string{
	Leaving, Refuse, ResetBefore, HangBefore, ErrorBefore,
	ResetAfter, HangAfter, ErrorAfter,
}

// faults holds the faults in effect, by mode.
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

func (f *faults) isActive(mode string) bool {
	_, ok := f.active[mode]
	return ok
}

// takeForCall returns the mode that applies to the next call, or "", and the
// factor of its working time. It decrements the count of a limited fault.
func (f *faults) takeForCall() (string, float64) {
	factor := 1.0
	if a, ok := f.active[Slow]; ok {
		factor = a.factor
	}
	for _, mode := range callModes {
		a, ok := f.active[mode]
		if !ok {
			continue
		}
		if a.count > 0 {
			if a.count--; a.count == 0 {
				delete(f.active, mode)
			} else {
				f.active[mode] = a
			}
		}
		return mode, factor
	}
	return "", factor
}
