package order

import (
	"slices"
	"time"
)

// Engine is the state of an engine according to its last load report.
type Engine struct {
	name        string
	domain      string
	incarnation uint64
	// fenced is true if the engine rejects old fencing numbers.
	fenced   bool
	versions []string
	// busy holds the versions with running streams.
	busy []string
	// reported is when the engine created the report.
	reported time.Time
}

// NewEngine returns an engine that has the versions loaded according to a report
// from the time reported.
func NewEngine(name, domain string, incarnation uint64, reported time.Time, versions ...string) Engine {
	return Engine{
		name:        name,
		domain:      domain,
		incarnation: incarnation,
		reported:    reported,
		versions:    versions,
	}
}

// WithFencing returns a copy of e that rejects old fencing numbers.
func (e Engine) WithFencing() Engine {
	e.fenced = true
	return e
}

// WithBusy returns a copy of e with running streams of the versions.
func (e Engine) WithBusy(versions ...string) Engine {
	e.busy = versions
	return e
}

// Name returns the engine's VM name.
func (e Engine) Name() string { return e.name }

func (e Engine) hasVersion(version string) bool { return slices.Contains(e.versions, version) }

// Input holds what the planner needs at one step.
type Input struct {
	engines []Engine
	fence   uint64
	// until is the end of the lease on the monotonic clock.
	until time.Time
	// waitOut is when no earlier holder can act any more.
	waitOut time.Time
}

// NewInput returns an input with the live engines of a service and no lease.
func NewInput(engines ...Engine) Input {
	return Input{
		engines: engines,
	}
}

// WithLease returns a copy of i that allows orders under a fencing number until
// the lease ends. Engines that ignore fencing numbers get no orders before
// waitOut, the time from which no earlier holder can act any more.
func (i Input) WithLease(fence uint64, until, waitOut time.Time) Input {
	i.fence = fence
	i.until = until
	i.waitOut = waitOut
	return i
}
