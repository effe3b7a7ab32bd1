package mirror

import (
	"time"

	"clementinelink.example/clementinelink/internal/store"
)

// Changes is a VM's answer to another VM. It is immutable.
type Changes struct {
	events   []store.Event
	revision uint64
	age      time.Duration
	// quiet is the time since a part of an answer of the store arrived. It is at most age.
	quiet time.Duration
}

// NewChanges returns an answer with the changes up to revision, which the store
// confirmed age ago.
func NewChanges(events []store.Event, revision uint64, age time.Duration) Changes {
	return Changes{
		events:   events,
		revision: revision,
		age:      age,
		quiet:    age,
	}
}

// Events returns the latest change of each key.
func (c Changes) Events() []store.Event { return c.events }

// Revision returns the revision up to which the changes are complete.
func (c Changes) Revision() uint64 { return c.revision }

// Age returns the time since the store confirmed the revision.
func (c Changes) Age() time.Duration { return c.age }

// Quiet returns the time since a part of an answer of the store arrived.
func (c Changes) Quiet() time.Duration { return c.quiet }

// WithQuiet returns the changes with the time since a part of an answer of the store
// arrived, which counts if it is less than their age.
func (c Changes) WithQuiet(d time.Duration) Changes {
	c.quiet = min(c.age, d)
	return c
}
