package study

import "fmt"

// Behaviour is how the versions of a run behave.
type Behaviour uint8

// The behaviours. Good and OldBad must complete, all others be rolled back.
const (
	// Good is a new version like the old one.
	Good Behaviour = iota
	// OldBad is a new version that fails as often as a bad old one.
	OldBad
	// FailsAtOnce fails every request.
	FailsAtOnce
	// FailsLater fails half of the requests from a random time on.
	FailsLater
	// Slow misses its objectives for a quarter of the requests.
	Slow
	// SlowUnderLoad is slow from a share of 40% on.
	SlowUnderLoad
	// OneRoute fails 30% of the requests of one route.
	OneRoute
	// Truncated ends one response in ten early.
	Truncated
	// LargePrompts fails 60% of large prompts, which are 15% of requests.
	LargePrompts
	// Behaviours is the number of behaviours.
	Behaviours
)

var behaviourNames = [Behaviours]string{
	Good:          "good",
	OldBad:        "old-bad",
	FailsAtOnce:   "fails-at-once",
	FailsLater:    "fails-later",
	Slow:          "slow",
	SlowUnderLoad: "slow-under-load",
	OneRoute:      "one-route",
	Truncated:     "truncated",
	LargePrompts:  "large-prompts",
}

// String returns the behaviour's name in tables.
func (b Behaviour) String() string { return behaviourNames[b] }

// Bad reports whether the new version must be rolled back.
func (b Behaviour) Bad() bool { return b >= FailsAtOnce }

// Fault is what fails besides the version.
type Fault uint8

// The faults.
const (
	// None injects nothing.
	None Fault = iota
	// Deaths kills engines at ten times the ordinary rate.
	Deaths
	// Outage stops the store from 70% of the move to a minute after its
	// deadline, so that no version can be done on time.
	Outage
	// HolderDead kills the VM that holds the move's lease.
	HolderDead
	// HolderPaused pauses the holder for a minute; a write that it decided on
	// before the pause reaches the store after it.
	HolderPaused
	// Partition cuts the regions off from each other for 30% of the move.
	Partition
	// Restarts replaces one entry VM after the other.
	Restarts
	// Faults is the number of faults.
	Faults
)

var faultNames = [Faults]string{
	None:         "none",
	Deaths:       "engine-deaths",
	Outage:       "store-outage",
	HolderDead:   "holder-dead",
	HolderPaused: "holder-paused",
	Partition:    "partition",
	Restarts:     "vm-restarts",
}

// String returns the fault's name in tables.
func (f Fault) String() string { return faultNames[f] }

// Case is one cell of the table.
type Case struct {
	behaviour Behaviour
	fault     Fault
	baseline  bool
	// rate replaces the failure rate of the new version when it is over 0.
	rate float64
}

// NewCase returns a case; baseline selects the plain staged rollout.
func NewCase(b Behaviour, f Fault, baseline bool) Case {
	return Case{
		behaviour: b,
		fault:     f,
		baseline:  baseline,
	}
}

// WithRate returns a copy of c whose new version fails the fraction of all
// requests.
func (c Case) WithRate(rate float64) Case {
	c.rate = rate
	return c
}

// Behaviour returns the version's behaviour.
func (c Case) Behaviour() Behaviour { return c.behaviour }

// Fault returns the injected fault.
func (c Case) Fault() Fault { return c.fault }

// String returns the case's name.
func (c Case) String() string {
	policy := "controller"
	if c.baseline {
		policy = "baseline"
	}
	return fmt.Sprintf("%s/%s/%s", c.behaviour, c.fault, policy)
}

// Result is what one run shows.
type Result struct {
	state string
	// settled is when the record became final, in seconds after the start.
	settled float64
	// onTime is true when every VM had the final share at the deadline.
	onTime bool
	// met counts requests that the new version served badly, and served all of
	// its requests, before the roll-back.
	met    int
	served int
	// finals counts the distinct final records.
	finals int
	reason string
}

// State returns the final state of the record.
func (r Result) State() string { return r.state }

// OnTime reports whether the traffic of every VM followed the final state at
// the deadline.
func (r Result) OnTime() bool { return r.onTime }

// Met returns the number of requests that the new version served badly.
func (r Result) Met() int { return r.met }

// Served returns the number of requests that the new version received.
func (r Result) Served() int { return r.served }

// Finals returns the number of distinct final records that the store held.
func (r Result) Finals() int { return r.finals }

// Seconds returns the time from the start to the final record.
func (r Result) Seconds() float64 { return r.settled }

// Reason returns the final record's reason.
func (r Result) Reason() string { return r.reason }
