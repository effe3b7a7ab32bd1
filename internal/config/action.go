package config

import (
	"fmt"
	"time"
)

// ActionKind tells what an action asks for.
type ActionKind uint8

// The kinds of action. Read, Watch, Ask and Fetch are operations, which the
// duty answers with an event.
const (
	// Read asks the store for the head.
	Read ActionKind = iota
	// Watch asks the store for changes of the head after a revision.
	Watch
	// Ask asks a peer for its head.
	Ask
	// Fetch asks for parts, from a peer or, without one, from the store.
	Fetch
	// Publish gives a newly adopted revision.
	Publish
	// Reject reports a head or revision that can't be used.
	Reject
	// Wake asks for a Tick at a time; it replaces the one before.
	Wake
)

var kindNames = [...]string{"read", "watch", "ask", "fetch", "publish", "reject", "wake"}

// String returns the kind's name in traces.
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

// Op returns the number to give with the answer.
func (a Action) Op() uint64 { return a.op }

// Peer returns the VM for Ask and Fetch; "" is the store.
func (a Action) Peer() string { return a.peer }

// Keys returns the keys of the parts to fetch.
func (a Action) Keys() []string { return a.keys }

// After returns the store's revision to watch after.
func (a Action) After() uint64 { return a.after }

// At returns the time of Wake.
func (a Action) At() time.Time { return a.at }

// Snapshot returns the revision of Publish.
func (a Action) Snapshot() *Snapshot { return a.snapshot }

// Err returns the reason of Reject.
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
	case Reject:
		return fmt.Sprintf("reject(%v)", a.err)
	case Wake:
		return "wake@" + a.at.UTC().Format("15:04:05.00")
	default:
		return a.kind.String()
	}
}
