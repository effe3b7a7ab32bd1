package fleet

import "time"

// Load is one load report of an engine.
type Load struct {
	incarnation string
	running     int
	waiting     int
	slots       int
	versions    []string
	leaving     bool
	age         time.Duration
}

// NewLoad returns a report that was age old when it was sent.
func NewLoad(incarnation string, running, waiting, slots int, versions []string, leaving bool, age time.Duration) Load {
	return Load{
		incarnation: incarnation,
		running:     running,
		waiting:     waiting,
		slots:       slots,
		versions:    versions,
		leaving:     leaving,
		age:         age,
	}
}

// Incarnation returns the engine's start id.
func (l Load) Incarnation() string { return l.incarnation }

// Running returns the streams in the batch.
func (l Load) Running() int { return l.running }

// Waiting returns the queued streams.
func (l Load) Waiting() int { return l.waiting }

// Slots returns the batch limit.
func (l Load) Slots() int { return l.slots }

// Versions returns the loaded versions. The caller must not change it.
func (l Load) Versions() []string { return l.versions }

// Leaving reports whether the engine says that it is leaving.
func (l Load) Leaving() bool { return l.leaving }

// Age returns the report's age when it was sent.
func (l Load) Age() time.Duration { return l.age }
