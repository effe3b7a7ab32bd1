package fleet

import "time"

// Load is one load report of an engine. It is immutable.
type Load struct {
	incarnation string
	running     int
	waiting     int
	slots       int
	versions    []string
	leaving     bool
	age         time.Duration
}

// NewLoad returns a load report. The incarnation identifies one run of the engine
// process, running and waiting count streams, slots is the batch limit, versions
// lists the loaded model versions, and age is how old the values were when the
// engine sent them.
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

// Incarnation returns the ID of the engine process that sent the report.
func (l Load) Incarnation() string { return l.incarnation }

// Running returns the number of streams in the batch.
func (l Load) Running() int { return l.running }

// Waiting returns the number of queued streams.
func (l Load) Waiting() int { return l.waiting }

// Slots returns the largest number of streams in the batch.
func (l Load) Slots() int { return l.slots }

// Versions returns the loaded versions. The caller must not modify the slice.
func (l Load) Versions() []string { return l.versions }

// Leaving reports whether the engine announced that it is leaving.
func (l Load) Leaving() bool { return l.leaving }

// Age returns how old the values were when the engine sent the report.
func (l Load) Age() time.Duration { return l.age }
