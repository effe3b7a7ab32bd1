package study

import "fmt"

// Behaviour describes how the two versions of a run behave.
type Behaviour uint8

// The behaviours. Moves with Good and OldBad must be done, all others must be
// rolled back.
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

// Fault is an injected fault of the surrounding system.
type Fault uint8

// The faults.
const (
	// None injects nothing.
	None Fault = iota
	// EngineLosses stops engines at ten times the ordinary rate.
	EngineLosses
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
	// Restarts replaces the entry VMs one after another.
	Restarts
	// Faults is the number of faults.
	Faults
)

var faultNames = [Faults]string{
	None:         "none",
	EngineLosses: "engine-losses",
	Outage:       "store-outage",
	HolderDead:   "holder-dead",
	HolderPaused: "holder-paused",
	Partition:    "partition",
	Restarts:     "vm-restarts",
}

// String returns the fault's name in tables.
func (f Fault) String() string { return faultNames[f] }

// Case is a combination of behaviour, fault and policy to simulate.
type Case struct {
	behaviour Behaviour
	fault     Fault
	baseline  bool
	// rate replaces the failure rate of the new version if it is above 0.
	rate float64
}

// NewCase returns a case. It uses the baseline policy if baseline is true, and
// the move controller otherwise.
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

// Result is the result of one run.
type Result struct {
	state string
	// finalAt is when the record became final, in seconds after the start.
	finalAt float64
	// onTime is true if every VM had the final share at the deadline.
	onTime bool
	// badRequests counts the requests that the new version served badly, and
	// served all requests that it received.
	badRequests int
	served      int
	// finalRecords counts the distinct final records.
	finalRecords int
	reason       string
}

// State returns the final state of the record.
func (r Result) State() string { return r.state }

// OnTime reports whether the traffic of every VM followed the final state at
// the deadline.
func (r Result) OnTime() bool { return r.onTime }

// BadRequests returns the number of requests that the new version served badly.
func (r Result) BadRequests() int { return r.badRequests }

// Served returns the number of requests that the new version received.
func (r Result) Served() int { return r.served }

// FinalRecords returns the number of distinct final records that the store held.
// It must be 1.
func (r Result) FinalRecords() int { return r.finalRecords }

// FinalAt returns the time from the start to the final record, in seconds.
func (r Result) FinalAt() float64 { return r.finalAt }

// Reason returns the final record's reason.
func (r Result) Reason() string { return r.reason }
