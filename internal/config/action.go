package config

import (
	"fmt"
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action. Read, Watch, Ask, Fetch and Repair are operations; each
// must be answered with one event.
const (
	// Read reads the head from the store.
	Read ActionKind = iota
	// Watch waits in the store for changes of the head after a revision.
	Watch
	// Ask requests the head from a peer.
	Ask
	// Fetch requests parts from a peer or, if Peer is "", from the store.
	Fetch
	// Repair writes the revision in force to the store again, which has an earlier
	// one since it was restored from a copy.
	Repair
	// Publish announces a newly adopted revision.
	Publish
	// Reject reports a head that can't be decoded or a revision that can't be
	// built.
	Reject
	// Wake requests a Tick at a time. It replaces the previous Wake.
	Wake
)

var kindNames = [...]string{"read", "watch", "ask", "fetch", "repair", "publish", "reject", "wake"}

// String returns the kind's lower-case name.
func (k ActionKind) String() string { return kindNames[k] }

// Action is one output of the core.
type Action struct {
	kind     ActionKind
	op       uint64
	peer     string
	keys     []string
	after    uint64
	at       time.Time
	snapshot *Snapshot
	err      error
}

// Kind returns what the action asks for.
func (a Action) Kind() ActionKind { return a.kind }

// Op returns the number that identifies an operation and must be passed to the
// event that answers it.
func (a Action) Op() uint64 { return a.op }

// Peer returns the name of the VM to ask or fetch from; "" is the store.
func (a Action) Peer() string { return a.peer }

// Keys returns the keys of the parts to fetch. The caller must not change the
// slice.
func (a Action) Keys() []string { return a.keys }

// After returns the store's revision to watch after.
func (a Action) After() uint64 { return a.after }

// At returns the time of a Wake.
func (a Action) At() time.Time { return a.at }

// Snapshot returns the revision of a Publish or a Repair.
func (a Action) Snapshot() *Snapshot { return a.snapshot }

// Err returns the reason of a Reject.
func (a Action) Err() error { return a.err }

// String returns the action for logs and traces.
func (a Action) String() string {
	switch a.kind {
	case Watch:
		return fmt.Sprintf("watch(%d)", a.after)
	case Ask:
		return fmt.Sprintf("ask(%s)", a.peer)
	case Fetch:
		return fmt.Sprintf("fetch(%d parts %s)", len(a.keys), a.peer)
	case Publish:
		return fmt.Sprintf("publish(%d)", a.snapshot.Revision())
	case Repair:
		return fmt.Sprintf("repair(%d)", a.snapshot.Revision())
	case Reject:
		return fmt.Sprintf("reject(%v)", a.err)
	case Wake:
		return "wake@" + a.at.UTC().Format("15:04:05.00")
	default:
		return a.kind.String()
	}
}
