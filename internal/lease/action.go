package lease

import (
	"fmt"
	"time"
)

// ActionKind is the type of an Action.
type ActionKind uint8

// The kinds of action. Grant to Revoke are operations on the store, which the
// caller carries out, for example with Perform, and answers with an event.
const (
	// Grant requests a store lease with the time to live of the settings.
	Grant ActionKind = iota
	// Store creates the key, bound to the store lease. It must fail if the key
	// exists.
	Store
	// Read reads the key.
	Read
	// Renew renews the store lease.
	Renew
	// Revoke ends the store lease. Its answer is ignored.
	Revoke
	// Wake requests a Tick at a time. It replaces an earlier Wake.
	Wake
	// Held reports that the holder may act from now on. It must first read the
	// state that the previous holder may have changed.
	Held
	// Lost reports that the holder may no longer act.
	Lost
)

var actionNames = [...]string{"grant", "store", "read", "renew", "revoke", "wake", "held", "lost"}

// String returns the kind's name in traces.
func (k ActionKind) String() string { return actionNames[k] }

// Action is an output of Lease.Step.
type Action struct {
	kind  ActionKind
	op    uint64
	lease string
	at    time.Time
	fence uint64
}

// Kind returns the type of the action. It decides which of the other methods
// return a meaningful value.
func (a Action) Kind() ActionKind { return a.kind }

// Op returns the number of the operation, which the answering event must carry.
func (a Action) Op() uint64 { return a.op }

// Lease returns the ID of the store lease for Store, Renew and Revoke.
func (a Action) Lease() string { return a.lease }

// At returns the requested time of a Wake.
func (a Action) At() time.Time { return a.at }

// Fence returns the fencing number for Held and Lost.
func (a Action) Fence() uint64 { return a.fence }

// String formats the action for traces.
func (a Action) String() string {
	switch a.kind {
	case Wake:
		return "wake@" + a.at.UTC().Format("15:04:05.00")
	case Held, Lost:
		return fmt.Sprintf("%s %d", a.kind, a.fence)
	default:
		return fmt.Sprintf("%s#%d(%s)", a.kind, a.op, a.lease)
	}
}
