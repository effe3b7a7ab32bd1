package move

import "time"

// ActionKind tells what an action asks for.
type ActionKind uint8

// The kinds of action.
const (
	// Limit sets the limits of this VM's gate.
	Limit ActionKind = iota
	// Write replaces the move's record by compare-and-swap.
	Write
	// Tell spreads the verdict of failure to peers.
	Tell
	// Load asks for engines with the new version. The holder of the lease
	// passes it on; other VMs drop it.
	Load
	// Stop ends the loading of the new version. As for Load, only the holder
	// passes it on.
	Stop
)

// Action is something that the controller asks its VM to do.
type Action struct {
	kind     ActionKind
	limits   Limits
	record   Record
	revision uint64
	// before is the last instant at which the action may be carried out.
	before   time.Time
	reason   string
	version  string
	fraction float64
}

// Kind returns what the action asks for.
func (a Action) Kind() ActionKind { return a.kind }

// Limits returns the gate's limits of a Limit.
func (a Action) Limits() Limits { return a.limits }

// Record returns the new record of a Write.
func (a Action) Record() Record { return a.record }

// Revision returns the record's store revision that a Write replaces, 0 when
// the record is absent.
func (a Action) Revision() uint64 { return a.revision }

// Before returns the instant after which a Write must not be sent any more or,
// for a Load, by which engines must be ready. A zero time means no limit.
func (a Action) Before() time.Time { return a.before }

// Reason returns the evidence behind a Tell or Stop.
func (a Action) Reason() string { return a.reason }

// Version returns the version of a Load or Stop.
func (a Action) Version() string { return a.version }

// Fraction returns the fraction of the service's engines that a Load wants.
func (a Action) Fraction() float64 { return a.fraction }
