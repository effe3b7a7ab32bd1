package detect

import "time"

const (
	// defaultGap stands in until an engine has been observed.
	defaultGap = 64 * time.Millisecond
	// gaps is the number of expected token gaps that make a stream suspect.
	// An engine that slows down 3 times stays well below it.
	gaps = 8
	// minSilence keeps short stalls of a fast engine from causing a hedge.
	minSilence = 250 * time.Millisecond
	// maxSilence bounds the wait on a slow engine, because output must go on
	// within 4 s of a loss.
	maxSilence = 1500 * time.Millisecond
	// minFirst is the shortest wait for a first token; a prompt may be long.
	minFirst = time.Second
	// maxFirst bounds the wait for a first token.
	maxFirst = 5 * time.Second
	// firstFactor scales the average first-token time to a timeout.
	firstFactor = 4
	// minGap is shorter than any engine's token gap; tokens closer together come
	// from a buffer.
	minGap = time.Millisecond
	// weight is that of a new observation in the moving averages.
	weight = 0.1
)

// Cadence is the observed rhythm of one engine. The zero value is an engine
// that has not been observed. It is not safe for concurrent use.
type Cadence struct {
	// gap is the moving average between tokens of one stream; 0 is unknown.
	gap time.Duration
	// first is the moving average to a first token; 0 is unknown.
	first time.Duration
	// last is the time of the latest token of any stream.
	last time.Time
}

// Token records a token that came gap after the previous one of its stream.
// Gaps beyond the silence timeout belong to a stall and gaps under 1 ms to a
// buffer; neither is averaged.
func (c *Cadence) Token(now time.Time, gap time.Duration) {
	c.last = now
	if gap < minGap || gap > maxSilence {
		return
	}
	c.gap = average(c.gap, gap)
}

// First records the time that a stream took to its first token.
func (c *Cadence) First(now time.Time, wait time.Duration) {
	c.last = now
	if wait > maxFirst {
		wait = maxFirst
	}
	c.first = average(c.first, wait)
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

// Base returns how long a stream may stay silent on an engine all of whose
// streams are silent.
func (c *Cadence) Base() time.Duration {
	return min(max(gaps*c.Gap(), minSilence), maxSilence)
}

// Silence returns how long a stream that has produced may stay silent. The
// timeout doubles while other streams of the engine produce, because then the
// host and the link are alive.
func (c *Cadence) Silence(now time.Time) time.Duration {
	d := c.Base()
	if now.Sub(c.last) < d {
		return min(2*d, maxSilence)
	}
	return d
}

// FirstWait returns how long a new stream may take to its first token when
// queued requests wait before it on the engine.
func (c *Cadence) FirstWait(queued int) time.Duration {
	first := c.first
	if first == 0 {
		first = minFirst / firstFactor
	}
	d := firstFactor*first + time.Duration(queued)*first
	return min(max(d, minFirst), maxFirst)
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(weight*float64(observed-old))
}
