package submit

// State is the outcome of a submitted change.
type State uint8

// The states of a submission. The zero value is Unknown, so that an unset state
// claims no outcome.
const (
	// Unknown means that the change may or may not take effect. Submitting it
	// again with the same change id is safe and determines the outcome.
	Unknown State = iota
	// Accepted means that the change is part of the configuration and has a
	// revision.
	Accepted
	// Unchanged means that the resulting declaration equals the one in force.
	Unchanged
	// Conflict means that the head is no longer at the expected revision; the
	// change did not take effect.
	Conflict
	// Invalid means that the change id or the resulting declaration is invalid;
	// the change did not take effect.
	Invalid
	// Unavailable means that the store failed before the head was written; the
	// change did not take effect.
	Unavailable
)

var stateNames = [...]string{
	Unknown:     "unknown",
	Accepted:    "accepted",
	Unchanged:   "unchanged",
	Conflict:    "conflict",
	Invalid:     "invalid",
	Unavailable: "unavailable",
}

// String returns the state's name in HTTP responses.
func (s State) String() string { return stateNames[s] }

// Result is the outcome of a submission.
type Result struct {
	state    State
	change   string
	revision uint64
	lines    []string
}

func newResult(state State, head *Head, r *Request, lines ...string) *Result {
	return &Result{
		state:    state,
		change:   r.change,
		revision: head.Revision(),
		lines:    lines,
	}
}

// withRevision sets the revision of the result and returns it.
func (r *Result) withRevision(revision uint64) *Result {
	r.revision = revision
	return r
}

// State returns the outcome of the change.
func (r *Result) State() State { return r.state }

// Change returns the change id.
func (r *Result) Change() string { return r.change }

// Revision returns the revision of an accepted change, and otherwise the latest
// known revision of the head.
func (r *Result) Revision() uint64 { return r.revision }

// Lines returns the details as lines of text for the operator. The caller must
// not change the slice.
func (r *Result) Lines() []string { return r.lines }
