package budget

import "time"

// The default retry budget.
const (
	// DefaultRatio is the number of extra attempts allowed per first attempt.
	DefaultRatio = 0.1
	// DefaultFloor is the number of extra attempts per second that are allowed
	// without traffic, so that a VM with few requests can still retry.
	DefaultFloor = 1.0
	// DefaultBurst is the maximum number of unused extra attempts that accumulate.
	DefaultBurst = 20.0
)

// Retry is a token bucket that limits extra attempts: those after the first one
// of a request, such as retries and hedges. The zero value allows none. It is
// not safe for concurrent use.
type Retry struct {
	ratio float64
	floor float64
	burst float64
	// tokens is the number of extra attempts allowed at the time updatedAt,
	// between 0 and burst.
	tokens    float64
	updatedAt time.Time
}

// NewRetry returns a budget of ratio extra attempts per first attempt plus
// floor extra attempts per second, of which at most burst accumulate.
func NewRetry(ratio, floor, burst float64) *Retry {
	return &Retry{
		ratio:  ratio,
		floor:  floor,
		burst:  burst,
		tokens: min(floor, burst),
	}
}

// CountFirst adds a first attempt to the budget.
func (r *Retry) CountFirst(now time.Time) {
	r.refill(now)
	r.tokens = min(r.tokens+r.ratio, r.burst)
}

// Take reports whether an extra attempt is allowed and deducts it if so.
func (r *Retry) Take(now time.Time) bool {
	r.refill(now)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Left returns the number of extra attempts that were allowed at the time of
// the latest call of CountFirst or Take.
func (r *Retry) Left() float64 { return r.tokens }

// refill adds the extra attempts that have accumulated since the latest call.
func (r *Retry) refill(now time.Time) {
	if !r.updatedAt.IsZero() && now.After(r.updatedAt) {
		r.tokens = min(r.tokens+r.floor*now.Sub(r.updatedAt).Seconds(), r.burst)
	}
	r.updatedAt = now
}
