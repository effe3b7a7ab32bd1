package call

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of most recent latencies that are kept for a route.
	maxSamples = 128
	// hedgePercentile is the percentile of the latency after which a lookup is
	// hedged, so that about 5% of them are.
	hedgePercentile = 0.95
	// defaultHedgeDelay is used while a route has fewer than minSamples.
	defaultHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay keeps timer noise from causing hedges on very fast routes.
	minHedgeDelay = 5 * time.Millisecond
	minSamples    = 20
)

// latency estimates the hedge delay of a route from its recent latencies.
type latency struct {
	recent [maxSamples]time.Duration
	count  int
	// percentile is the hedgePercentile of recent when it was last recalculated.
	percentile time.Duration
}

func (l *latency) add(d time.Duration) {
	l.recent[l.count%maxSamples] = d
	l.count++
	// Sorting 128 values every 16 samples costs under 1 µs a call.
	if l.count%16 != 0 && l.count != minSamples {
		return
	}
	sorted := slices.Clone(l.recent[:min(l.count, maxSamples)])
	slices.Sort(sorted)
	l.percentile = sorted[int(float64(len(sorted)-1)*hedgePercentile)]
}

// hedgeDelay returns the time after which a lookup without an answer gets a
// second attempt.
func (l *latency) hedgeDelay() time.Duration {
	if l.count < minSamples {
		return defaultHedgeDelay
	}
	return max(l.percentile, minHedgeDelay)
}
