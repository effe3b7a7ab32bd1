package call

import (
	"slices"
	"time"
)

const (
	// samples is the number of recent latencies of a route that are kept.
	samples = 128
	// percentile is the share of lookups that are not hedged.
	percentile = 0.95
	// coldHedge is the time before a hedge while a route has few samples.
	coldHedge = 100 * time.Millisecond
	// minHedge keeps timer noise from hedging very fast routes.
	minHedge = 5 * time.Millisecond
	fewest   = 20
)

// latency holds the recent latencies of a route.
type latency struct {
	recent [samples]time.Duration
	count  int
	// high is the percentile at the last recalculation.
	high time.Duration
}

func (l *latency) add(d time.Duration) {
	l.recent[l.count%samples] = d
	l.count++
	// Sorting 128 values every 16 samples costs under 1 µs a call.
	if l.count%16 != 0 && l.count != fewest {
		return
	}
	sorted := slices.Clone(l.recent[:min(l.count, samples)])
	slices.Sort(sorted)
	l.high = sorted[int(float64(len(sorted)-1)*percentile)]
}

// hedge returns the time after which a second attempt is worth its cost.
func (l *latency) hedge() time.Duration {
	if l.count < fewest {
		return coldHedge
	}
	return max(l.high, minHedge)
}
