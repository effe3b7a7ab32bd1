package expect

import "time"

const (
	// slowFactor is the multiple of the typical latency above which an answer counts as
	// slow.
	slowFactor = 3
	// minSlowExcess is the least excess over the typical latency of a slow answer, so
	// that short answers do not count as slow by chance.
	minSlowExcess = 40 * time.Millisecond
	// typicalWeight is the weight of a new sample in the moving average of the typical
	// latency.
	typicalWeight = 0.05
)

// Typical holds the typical latency of a version's good answers by route. It is not safe
// for concurrent use.
type Typical struct {
	latencies map[string]time.Duration
}

// NewTypical returns latencies that are not known yet.
func NewTypical() *Typical {
	return &Typical{
		latencies: make(map[string]time.Duration),
	}
}

// Of returns the typical latency of a route, or 0 if it is not known.
func (t *Typical) Of(route string) time.Duration { return t.latencies[route] }

// Slow reports whether an answer of either version is slow.
func (t *Typical) Slow(route string, latency time.Duration) bool {
	usual := t.Of(route)
	return usual > 0 && latency > max(slowFactor*usual, usual+minSlowExcess)
}

// Observe adds the latency of a good answer.
func (t *Typical) Observe(route string, latency time.Duration) {
	usual, known := t.latencies[route]
	if !known {
		usual = latency
	}
	t.latencies[route] = usual + time.Duration(typicalWeight*float64(latency-usual))
}
