package move

import "time"

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// Limit sets the limits of this VM's gate.
	Limit ActionKind = iota
	// Write replaces the move's record by compare-and-swap.
	Write
	// AnnounceFailure reports to peers that the new version failed.
	AnnounceFailure
	// Load requests engines with the new version. Only the holder of the lease
	// forwards it; other VMs ignore it.
	Load
	// Stop ends the loading of the new version. As with Load, only the holder
	// of the lease forwards it.
	Stop
)

// Action is a request of the controller to its VM.
type Action struct {
	kind     ActionKind
	limits   Limits
	record   Record
	revision uint64
	// before limits when the action may be carried out; see Before.
	before   time.Time
	reason   string
	version  string
	fraction float64
}

// Kind returns the type of the action. It decides which of the other methods
// return a meaningful value.
func (a Action) Kind() ActionKind { return a.kind }

// Limits returns the new limits of the gate for a Limit.
func (a Action) Limits() Limits { return a.limits }

// Record returns the record to store for a Write.
func (a Action) Record() Record { return a.record }

// Revision returns the store revision that a Write replaces, or 0 if the store
// has no record yet.
func (a Action) Revision() uint64 { return a.revision }

// Before returns the time after which a Write must no longer be sent or, for a
// Load, by which the engines must be ready. A zero time means no limit.
func (a Action) Before() time.Time { return a.before }

// Reason returns the evidence behind an AnnounceFailure or Stop.
func (a Action) Reason() string { return a.reason }

// Version returns the version that a Load or Stop refers to.
func (a Action) Version() string { return a.version }

// Fraction returns the fraction of the service's engines that must have the
// version of a Load, from 0 to 1.
func (a Action) Fraction() float64 { return a.fraction }
