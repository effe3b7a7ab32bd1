// Package expect estimates how long upstreams take to answer, and decides by that whether
// a second attempt pays and which answers are slow.
package expect

import "time"

const (
	// weight is the weight of a new time in the moving average.
	weight = 0.1
	// minTimes is the number of times before which the average is not known.
	minTimes = 5
	// hungFactor is the multiple of the usual time after which an attempt that has not
	// begun is taken to be stuck, whether a second one is in time or not.
	hungFactor = 3
)

// Times is a moving average of the times from an attempt to the first part of its
// answer. The zero value knows none. It is not safe for concurrent use.
type Times struct {
	mean float64
	// count is the number of times, up to minTimes.
	count int
}

// Observe adds the time that an attempt took.
func (t *Times) Observe(d time.Duration) {
	if t.count == 0 {
		t.mean = float64(d)
	}
	t.mean += weight * (float64(d) - t.mean)
	t.count = min(t.count+1, minTimes)
}

// Usual returns the average, or 0 if it is not known.
func (t *Times) Usual() time.Duration {
	if t.count < minTimes {
		return 0
	}
	return time.Duration(t.mean)
}

// Pays reports whether a second attempt that starts now beside one that was sent at a
// time pays: it is expected to begin by the time due, or the first one seems stuck. A
// second attempt that comes too late delays the work of others for nothing.
func (t *Times) Pays(now, sent, due time.Time) bool {
	return !now.Add(t.Usual()).After(due) || !now.Before(t.StuckAt(sent, due))
}

// StuckAt returns the time at which an attempt that was sent at a time seems stuck, if
// its answer is due at another one.
func (t *Times) StuckAt(sent, due time.Time) time.Time {
	stuck := sent.Add(hungFactor * t.Usual())
	if stuck.Before(due) {
		return due
	}
	return stuck
}
