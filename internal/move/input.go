package move

// Input holds what the controller needs at one step besides the evidence.
type Input struct {
	// live is the number of live entry VMs, at least 1.
	live     int
	hasLease bool
	fence    uint64
	record   Record
	revision uint64
	failure  string
	// from and to are the numbers of live engines with the old and the new
	// version loaded, engines that of all live engines.
	from    int
	to      int
	engines int
}

// NewInput returns an input with the number of live entry VMs, including this
// one. Values below 1 count as 1.
func NewInput(live int) Input { return Input{live: max(live, 1)} }

// WithLease returns a copy of i for a VM that holds the move's lease with the
// fencing number.
func (i Input) WithLease(fence uint64) Input {
	i.hasLease = true
	i.fence = fence
	return i
}

// WithRecord returns a copy of i with the last record read and its store
// revision, which is 0 if the store has none.
func (i Input) WithRecord(r Record, revision uint64) Input {
	i.record = r
	i.revision = revision
	return i
}

// WithFailure returns a copy of i with the reason for which a peer called the
// new version bad, or "".
func (i Input) WithFailure(reason string) Input {
	i.failure = reason
	return i
}

// WithEngines returns a copy of i with the number of live engines that have the
// old and the new version loaded, and of all live engines of the service.
func (i Input) WithEngines(from, to, all int) Input {
	i.from = from
	i.to = to
	i.engines = all
	return i
}

// readyShare returns the fraction of engines with the new version, which is the
// largest share that they can serve. An engine can have both versions loaded.
func (i Input) readyShare() float64 {
	if i.engines == 0 {
		return 0
	}
	return float64(i.to) / float64(i.engines)
}
