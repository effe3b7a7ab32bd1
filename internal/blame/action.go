package blame

import "time"

// ActionKind is the kind of work that an Action asks its driver to do.
type ActionKind uint8

// The kinds of action.
const (
	// Report sends a lost run to the VMs that collect the losses of its parts.
	Report ActionKind = iota
	// Ask asks all VMs which accused parts they have seen survive. The driver
	// passes the answers to Core.Answered.
	Ask
	// Announce tells all VMs of a charge that is in force or lifted.
	Announce
	// Store writes a charge to the store, for VMs that start later, and Unstore
	// deletes it there.
	Store
	Unstore
	// Fence reports that the charges in force have changed.
	Fence
)

// String returns the kind's name.
func (k ActionKind) String() string {
	return [...]string{"report", "ask", "announce", "store", "unstore", "fence"}[k]
}

// Action is one instruction of the core to its driver. The accessors state the
// kinds for which a field is set.
type Action struct {
	kind       ActionKind
	run        Run
	targets    [][]string
	accusation Accusation
	charge     Charge
	lifted     bool
	reason     string
	left       time.Duration
	again      bool
}

// Kind returns what the driver has to do.
func (a Action) Kind() ActionKind { return a.kind }

// Run returns the lost run of Report.
func (a Action) Run() Run { return a.run }

// Targets returns the VMs to which Report sends the run. Each element holds a VM
// and those that take its place if it does not answer.
func (a Action) Targets() [][]string { return a.targets }

// Accusation returns the accusation of Ask.
func (a Action) Accusation() Accusation { return a.accusation }

// Charge returns the charge of Announce, Store, Unstore and Fence.
func (a Action) Charge() Charge { return a.charge }

// Lifted reports whether the charge of Announce and Fence is lifted rather than in
// force.
func (a Action) Lifted() bool { return a.lifted }

// Reason returns the cause of Fence, for logs.
func (a Action) Reason() string { return a.reason }

// Left returns the lifetime of the charge of Store.
func (a Action) Left() time.Duration { return a.left }

// Again reports whether the charge of Store is written again, since a restored store
// lacks it.
func (a Action) Again() bool { return a.again }
