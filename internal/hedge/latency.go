package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerDouble is the number of buckets from a latency to its double, which are
	// 19% wide.
	bucketsPerDouble = 4
	// numBuckets covers latencies from 1 ms to 33 s.
	numBuckets = 15 * bucketsPerDouble
	// halfLife is the time after which latencies count half. A third of a minute of a
	// route with one request a second is enough for minSamples.
	halfLife = 30 * time.Second
	// minSamples is the weight of latencies below which quantiles are not known. A quantile
	// of 0.95 needs at least 20.
	minSamples = 20
)

// latencies is a histogram of recent latencies that ages. The zero value is empty.
type latencies struct {
	buckets [numBuckets]float32
	total   float32
	agedAt  time.Time
}

// observe adds a latency.
func (l *latencies) observe(now time.Time, d time.Duration) {
	l.age(now)
	l.buckets[bucket(d)]++
	l.total++
}

// known reports whether there are enough latencies for quantiles.
func (l *latencies) known(now time.Time) bool {
	l.age(now)
	return l.total >= minSamples
}

// quantile returns the latency that the share q of the latencies does not exceed,
// interpolated within its bucket. It is 0 without latencies.
func (l *latencies) quantile(q float64) time.Duration {
	rest := float32(q) * l.total
	for i, n := range l.buckets {
		if n > 0 && rest <= n {
			low, high := bound(i), bound(i+1)
			return low + time.Duration(float64(rest/n)*float64(high-low))
		}
		rest -= n
	}
	return 0
}

// age halves the weights of the latencies for each half-life that has passed.
func (l *latencies) age(now time.Time) {
	if l.agedAt.IsZero() {
		l.agedAt = now
	}
	steps := int(now.Sub(l.agedAt) / halfLife)
	if steps <= 0 {
		return
	}
	l.agedAt = l.agedAt.Add(time.Duration(steps) * halfLife)
	factor := float32(math.Pow(0.5, float64(steps)))
	l.total = 0
	for i := range l.buckets {
		l.buckets[i] *= factor
		l.total += l.buckets[i]
	}
}

// bucket returns the index of the bucket of a latency.
func bucket(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(bucketsPerDouble*math.Log2(float64(d)/float64(time.Millisecond))), numBuckets-1)
}

// bound returns the lower bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i)/bucketsPerDouble) * float64(time.Millisecond))
}
