package quota

import (
	"maps"
	"time"
)

// Returns holds the times by service at which the latest refused request was told to come
// back. It is not safe for concurrent use.
type Returns struct {
	last map[string]time.Time
}

// NewReturns returns times of no service.
func NewReturns() *Returns {
	return &Returns{
		last: make(map[string]time.Time),
	}
}

// Next returns the time at which a request that is refused now should come back, if the
// first place within the limits is free at a time. Times of a service follow one another at
// an interval, so that callers do not come back together, but are not after latest.
func (r *Returns) Next(service string, free, latest time.Time, interval time.Duration) time.Time {
	at := free
	if last := r.last[service]; last.After(at) {
		at = last
	}
	if at = at.Add(interval); at.After(latest) {
		at = latest
	}
	r.last[service] = at
	return at
}

// Copy returns a copy of r that changes apart from it.
func (r *Returns) Copy() *Returns {
	return &Returns{
		last: maps.Clone(r.last),
	}
}
