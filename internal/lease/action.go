package lease

import (
	"fmt"
	"time"
)

// ActionKind tells what an action asks for.
type ActionKind uint8

// The kinds of action. Grant to Revoke are operations on the store, which the
// adapter answers with an event.
const (
	// Grant asks for a store lease with the settings' time to live.
	Grant ActionKind = iota
	// Store asks to create the key, bound to the store lease; it must fail if
	// the key exists.
	Store
	// Read asks for the key.
	Read
	// Renew asks to renew the store lease.
	Renew
	// Revoke asks to end the store lease; its answer does not matter.
	Revoke
	// Wake asks for a Tick at a time; it replaces the one before.
	Wake
	// Held tells that the holder may act from now on. It must first read back
	// the state that the one before may have changed.
	Held
	// Lost tells that the holder may no longer act.
	Lost
)

var kindNames = [...]string{"grant", "store", "read", "renew", "revoke", "wake", "held", "lost"}

// String returns the kind's name in traces.
func (k ActionKind) String() string { return kindNames[k] }

// Action is one output of a lease.
type Action struct {
	kind  ActionKind
	op    uint64
	lease string
	at    time.Time
	fence uint64
}

// Kind returns what the action asks for.
func (a Action) Kind() ActionKind { return a.kind }

// Op returns the number to give with the answer.
func (a Action) Op() uint64 { return a.op }

// Lease returns the store lease for Store, Renew and Revoke.
func (a Action) Lease() string { return a.lease }

// At returns the time of Wake.
func (a Action) At() time.Time { return a.at }

// Fence returns the fencing number for Held and Lost.
func (a Action) Fence() uint64 { return a.fence }

// String returns the action for logs and traces.
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
