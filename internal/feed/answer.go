package feed

import (
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
)

// Answer is what a VM has received as the answer to a read of changes. It is immutable.
type Answer struct {
	changes mirror.Changes
	// transfer is the time from the first byte of the answer to its last one, or 0 if
	// it was not measured.
	transfer time.Duration
	// wireBytes is the size of the values as they were sent by another VM, or 0.
	wireBytes int
	// mismatch is the error of differences that did not fit and were asked for again as
	// whole values, or nil.
	mismatch error
}

// Changes returns the changes that the answer holds.
func (a Answer) Changes() mirror.Changes { return a.changes }

// size returns the number of bytes of the changes' values.
func (a Answer) size() int {
	n := 0
	for _, e := range a.changes.Events() {
		n += len(e.Entry().Value())
	}
	return n
}
