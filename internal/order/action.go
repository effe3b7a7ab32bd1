package order

import "time"

// Op is the operation that an order requests from an engine.
type Op string

// The operations.
const (
	// Load loads a version into the engine.
	Load Op = "load"
	// Unload unloads a version from the engine.
	Unload Op = "unload"
)

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends an order to an engine.
	Send ActionKind = iota
	// Late reports that the goal will be reached after its deadline.
	Late
	// OnTime reports that a goal previously reported as Late will be reached in
	// time.
	OnTime
	// Failed reports that an order had no effect on an engine after all its
	// repetitions.
	Failed
)

// Action is an output of Planner.Step.
type Action struct {
	kind    ActionKind
	id      string
	engine  string
	op      Op
	version string
	fence   uint64
	// before is the end of the lease; see Before.
	before time.Time
	// expected is the predicted time at which the goal is reached.
	expected time.Time
	ready    int
	wanted   int
}

// Kind returns the type of the action. It decides which of the other methods
// return a meaningful value.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the ID of the order. A repeated order has the same ID, and an engine
// carries out each ID once.
func (a Action) ID() string { return a.id }

// Engine returns the name of the engine to which the order goes.
func (a Action) Engine() string { return a.engine }

// Op returns the operation.
func (a Action) Op() Op { return a.op }

// Version returns the version to load or unload.
func (a Action) Version() string { return a.version }

// Fence returns the fencing number of the lease under which the order is sent.
func (a Action) Fence() uint64 { return a.fence }

// Before returns the end of the lease. A Send must not be sent at or after it.
func (a Action) Before() time.Time { return a.before }

// Expected returns the predicted time at which the goal of a Late or OnTime is
// reached.
func (a Action) Expected() time.Time { return a.expected }

// Ready returns how many engines have the version of the goal loaded.
func (a Action) Ready() int { return a.ready }

// Wanted returns how many engines need the version to reach the goal.
func (a Action) Wanted() int { return a.wanted }

// Reply is an engine's answer to an order.
type Reply uint8

// The replies. The zero value is Unanswered.
const (
	// Unanswered means that the engine may or may not have received the order.
	Unanswered Reply = iota
	// Accepted means that the engine accepted the order.
	Accepted
	// Refused means that the engine did not accept the order.
	Refused
	// Fenced means that the engine rejected the order because it has received a
	// higher fencing number.
	Fenced
)
