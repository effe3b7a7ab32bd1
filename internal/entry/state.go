package entry

// StateSpec lists the properties of an engine's reported state. Its fields are
// exported for construction only.
type StateSpec struct {
	// Running counts the runs, and Prefilling those of them that have produced no
	// output yet.
	Running    int
	Prefilling int
	// Waiting counts the requests in the engine's queue.
	Waiting int
	// Used is the memory that can't be freed, and Memory the total memory, both
	// in tokens.
	Used    int
	Memory  int
	Models  []string
	Leaving bool
	// StartedAt is the start time of the incarnation, as in Spec, or 0 if it
	// is unknown.
	StartedAt int64
}

// State is the state that an engine reported. It is immutable.
type State struct {
	spec StateSpec
}

// NewState returns a state with the properties of s.
func NewState(s StateSpec) State {
	return State{
		spec: s,
	}
}

// Memory returns the total memory of the engine in tokens.
func (s State) Memory() int { return s.spec.Memory }

// Models returns the names of the engine's models. The caller must not modify
// the slice.
func (s State) Models() []string { return s.spec.Models }

// Running returns the number of runs.
func (s State) Running() int { return s.spec.Running }

// Prefilling returns the number of runs that have produced no output yet.
func (s State) Prefilling() int { return s.spec.Prefilling }

// Waiting returns the number of requests in the engine's queue.
func (s State) Waiting() int { return s.spec.Waiting }

// Used returns the memory that can't be freed, in tokens.
func (s State) Used() int { return s.spec.Used }

// Leaving reports whether the engine accepts no new work.
func (s State) Leaving() bool { return s.spec.Leaving }

// StartedAt returns the start time of the incarnation, or 0 if it is unknown.
func (s State) StartedAt() int64 { return s.spec.StartedAt }
