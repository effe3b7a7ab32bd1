package pool

import "clementinelink.example/clementinelink/internal/entry"

type (
	// Entry is what the registry lists of an upstream.
	Entry = entry.Entry
	// EntrySpec lists the properties of an Entry.
	EntrySpec = entry.Spec
	// State is what an engine reports.
	State = entry.State
	// StateSpec lists the properties of a State.
	StateSpec = entry.StateSpec
)

// NewEntry returns an entry with the properties of s.
func NewEntry(s EntrySpec) Entry { return entry.New(s) }

// NewState returns a state with the properties of s.
func NewState(s StateSpec) State { return entry.NewState(s) }
