package order

import (
	"slices"
	"time"
)

// Engine is what the load reports say of one engine.
type Engine struct {
	name        string
	domain      string
	incarnation uint64
	// fenced is true when the engine rejects an old fencing number.
	fenced   bool
	versions []string
	// busy holds the versions with streams running.
	busy []string
	// reported is when the engine made the report.
	reported time.Time
}

// NewEngine returns an engine by its last load report.
func NewEngine(name, domain string, incarnation uint64, reported time.Time, versions ...string) Engine {
	return Engine{
		name:        name,
		domain:      domain,
		incarnation: incarnation,
		reported:    reported,
		versions:    versions,
	}
}

// WithFencing returns a copy of e that checks fencing numbers.
func (e Engine) WithFencing() Engine {
	e.fenced = true
	return e
}

// WithBusy returns a copy of e that runs streams of the versions.
func (e Engine) WithBusy(versions ...string) Engine {
	e.busy = versions
	return e
}

// Name returns the engine's VM name.
func (e Engine) Name() string { return e.name }

func (e Engine) holds(version string) bool { return slices.Contains(e.versions, version) }

// Input is what the planner sees at one step.
type Input struct {
	engines []Engine
	fence   uint64
	// until is the end of the lease by the monotonic clock.
	until time.Time
	// clear is when no earlier holder can act any more.
	clear time.Time
}

// NewInput returns an input with the live engines of the service.
func NewInput(engines ...Engine) Input {
	return Input{
		engines: engines,
	}
}

// WithLease returns a copy of i that may send orders under a fencing number
// until the lease ends. Engines that ignore fencing numbers get none before
// waitOut, the last instant at which an earlier holder could act.
func (i Input) WithLease(fence uint64, until, waitOut time.Time) Input {
	i.fence = fence
	i.until = until
	i.clear = waitOut
	return i
}
