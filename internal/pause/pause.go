// Package pause tells pauses of this process from the silence of others. A process that
// has used up its share of the processor, or whose machine stood still, finds its timers
// overdue before it has read what arrived meanwhile.
package pause

import "time"

const (
	// Shortest is the lateness of a timer from which the process counts as having paused.
	Shortest = 50 * time.Millisecond
	// Settle is the time after a pause in which what arrived meanwhile is read.
	Settle = 100 * time.Millisecond
)

// Late returns by how much a timer that was due at a time is late, and whether the
// process has paused.
func Late(now, due time.Time) (late time.Duration, paused bool) {
	late = max(now.Sub(due), 0)
	return late, late >= Shortest
}
