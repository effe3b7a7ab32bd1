package load

// Report is the load that an upstream states in a response. The zero value means that it
// states none. It is immutable.
type Report struct {
	running int
	waiting int
	// counted is true if running and waiting are known.
	counted bool
	// slots is 0 if it is unknown.
	slots int
	// percent is how long work takes, in percent of the usual time, or 0 if it is
	// unknown.
	percent int
}

// WithCounts returns a copy of r with the number of running and waiting requests.
func (r Report) WithCounts(running, waiting int) Report {
	r.running, r.waiting, r.counted = running, waiting, true
	return r
}

// WithSlots returns a copy of r with the number of slots, or 0 if it is unknown.
func (r Report) WithSlots(slots int) Report {
	r.slots = slots
	return r
}

// WithSlowDown returns a copy of r with how long work takes, in percent of the usual
// time, or 0 if it is unknown.
func (r Report) WithSlowDown(percent int) Report {
	r.percent = percent
	return r
}

// Counts returns the number of running and waiting requests, and whether they are known.
func (r Report) Counts() (running, waiting int, known bool) { return r.running, r.waiting, r.counted }

// Slots returns the number of slots, or 0 if it is unknown.
func (r Report) Slots() int { return r.slots }

// SlowDown returns how long work takes, in percent of the usual time, or 0 if it is
// unknown.
func (r Report) SlowDown() int { return r.percent }
