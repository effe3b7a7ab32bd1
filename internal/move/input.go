package move

// Input is what the controller sees at one step besides the evidence.
type Input struct {
	// live is the number of live entry VMs, at least 1.
	live     int
	lease    bool
	fence    uint64
	record   Record
	revision uint64
	failed   string
	// from and to are the engines that have each version loaded.
	from    int
	to      int
	engines int
}

// NewInput returns an input with the number of live entry VMs, this one
// included.
func NewInput(live int) Input { return Input{live: max(live, 1)} }

// WithLease returns a copy of i that may act under the fencing number of the
// move's lease.
func (i Input) WithLease(fence uint64) Input {
	i.lease = true
	i.fence = fence
	return i
}

// WithRecord returns a copy of i with the record last seen and its store
// revision, 0 when the store holds none.
func (i Input) WithRecord(r Record, revision uint64) Input {
	i.record = r
	i.revision = revision
	return i
}

// WithFailed returns a copy of i with a verdict of failure from a peer.
func (i Input) WithFailed(reason string) Input {
	i.failed = reason
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

// ready returns the largest share that the engines of the new version can
// serve. Engines may hold both versions.
func (i Input) ready() float64 {
	if i.engines == 0 {
		return 0
	}
	return float64(i.to) / float64(i.engines)
}
