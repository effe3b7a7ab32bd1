package submit

// State tells what became of a submitted change.
type State uint8

// The states of a submission. The zero value is Unknown, which claims nothing.
const (
	// Unknown means that the change may or may not take effect; submitting it
	// again with the same change id is safe and settles it.
	Unknown State = iota
	// Accepted means that the change has a revision.
	Accepted
	// Unchanged means that the declaration equals the one in force.
	Unchanged
	// Conflict means that another change came first; nothing took effect.
	Conflict
	// Invalid means that the declaration has faults; nothing took effect.
	Invalid
	// Unavailable means that the store did not answer before any write.
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

// String returns the state's name in replies.
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

// at sets the revision of the result.
func (r *Result) at(revision uint64) *Result {
	r.revision = revision
	return r
}

// State returns what became of the change.
func (r *Result) State() State { return r.state }

// Change returns the change id.
func (r *Result) Change() string { return r.change }

// Revision returns the change's revision when accepted, else the latest known.
func (r *Result) Revision() uint64 { return r.revision }

// Lines returns the text for the operator. The caller must not change it.
func (r *Result) Lines() []string { return r.lines }
