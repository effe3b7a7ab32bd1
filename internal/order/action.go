package order

import "time"

// Op is what an order asks of an engine.
type Op string

// The operations.
const (
	// Load brings a version into the engine.
	Load Op = "load"
	// Unload removes a version from the engine.
	Unload Op = "unload"
)

// ActionKind tells what an action is.
type ActionKind uint8

// The kinds of action.
const (
	// Send sends an order to an engine.
	Send ActionKind = iota
	// Late reports that the goal will be missed.
	Late
	// OnTime reports that a goal reported late will be met after all.
	OnTime
	// Failed reports an engine on which an order had no effect.
	Failed
)

// Action is something that the planner asks for or reports.
type Action struct {
	kind    ActionKind
	id      string
	engine  string
	op      Op
	version string
	fence   uint64
	// before is the end of the lease; a Send must not go out at or after it.
	before time.Time
	// expected is when a Late goal will be reached.
	expected time.Time
	ready    int
	wanted   int
}

// Kind returns what the action is.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the order's id. A repetition has the same id, which engines carry
// out once.
func (a Action) ID() string { return a.id }

// Engine returns the engine's name.
func (a Action) Engine() string { return a.engine }

// Op returns the operation.
func (a Action) Op() Op { return a.op }

// Version returns the version.
func (a Action) Version() string { return a.version }

// Fence returns the lease's fencing number.
func (a Action) Fence() uint64 { return a.fence }

// Before returns the instant from which a Send must not go out any more.
func (a Action) Before() time.Time { return a.before }

// Expected returns when a late goal will be reached.
func (a Action) Expected() time.Time { return a.expected }

// Ready returns how many engines have the version.
func (a Action) Ready() int { return a.ready }

// Wanted returns how many engines the goal wants.
func (a Action) Wanted() int { return a.wanted }

// Reply is an engine's answer to an order.
type Reply uint8

// The replies. The zero value is Unanswered.
const (
	// Unanswered means that the order may or may not have arrived.
	Unanswered Reply = iota
	// Taken means that the engine accepted the order.
	Taken
	// Refused means that the engine did not accept the order.
	Refused
	// Fenced means that the engine knows a higher fencing number.
	Fenced
)
