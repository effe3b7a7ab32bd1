package detect

import "time"

const (
	// defaultGap is the token gap assumed until one has been observed.
	defaultGap = 64 * time.Millisecond
	// maxGaps is the silence, in expected token gaps, after which a stream is
	// suspect. An engine that slows down by a factor of 3 stays well below it.
	maxGaps = 8
	// minSilence is the shortest silence timeout. It keeps short stalls of a
	// fast engine from causing a hedge.
	minSilence = 250 * time.Millisecond
	// maxSilence is the longest silence timeout. It bounds the wait for a slow
	// engine, because output must continue within 4 s of a loss.
	maxSilence = 1500 * time.Millisecond
	// minFirstWait is the shortest timeout for a first token, which allows for
	// a long prompt.
	minFirstWait = time.Second
	// maxFirstWait is the longest timeout for a first token.
	maxFirstWait = 5 * time.Second
	// firstWaitFactor is the ratio of the timeout for a first token to the
	// average time to a first token.
	firstWaitFactor = 4
	// minGap is shorter than any engine's token gap. Tokens that arrive closer
	// together were buffered on the way.
	minGap = time.Millisecond
	// averageWeight is the weight of a new observation in the moving averages.
	averageWeight = 0.1
)

// Cadence holds the observed token timing of one engine. The zero value is for an
// engine that has not been observed. It is not safe for concurrent use.
type Cadence struct {
	// gap is the moving average of the time between two tokens of one stream;
	// 0 means unknown.
	gap time.Duration
	// first is the moving average of the time to a first token; 0 means unknown.
	first time.Duration
	// last is the time of the latest token of any stream.
	last time.Time
}

// Token records a token that arrived gap after the previous token of its stream.
// Gaps longer than any silence timeout are caused by a stall and gaps under 1 ms
// by buffering; neither enters the average.
func (c *Cadence) Token(now time.Time, gap time.Duration) {
	c.last = now
	if gap < minGap || gap > maxSilence {
		return
	}
	c.gap = movingAverage(c.gap, gap)
}

// First records the first token of a stream, which arrived after wait.
func (c *Cadence) First(now time.Time, wait time.Duration) {
	c.last = now
	if wait > maxFirstWait {
		wait = maxFirstWait
	}
	c.first = movingAverage(c.first, wait)
}

// Gap returns the expected time between two tokens of one stream.
func (c *Cadence) Gap() time.Duration {
	if c.gap == 0 {
		return defaultGap
	}
	return c.gap
}

// Last returns the time of the latest token of any stream.
func (c *Cadence) Last() time.Time { return c.last }

// Base returns how long a stream may be silent if all streams of its engine are
// silent.
func (c *Cadence) Base() time.Duration {
	return min(max(maxGaps*c.Gap(), minSilence), maxSilence)
}

// Silence returns how long a stream that has produced a token may be silent. The
// timeout doubles while other streams of the engine produce tokens, because the
// host and the network are working then.
func (c *Cadence) Silence(now time.Time) time.Duration {
	d := c.Base()
	if now.Sub(c.last) < d {
		return min(2*d, maxSilence)
	}
	return d
}

// FirstWait returns how long a new stream may take to its first token if queued
// is the number of requests that wait on the engine before it.
func (c *Cadence) FirstWait(queued int) time.Duration {
	first := c.first
	if first == 0 {
		first = minFirstWait / firstWaitFactor
	}
	d := firstWaitFactor*first + time.Duration(queued)*first
	return min(max(d, minFirstWait), maxFirstWait)
}

func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(averageWeight*float64(observed-old))
}
