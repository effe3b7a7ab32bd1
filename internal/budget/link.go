package budget

import (
	"time"

	"golang.org/x/time/rate"
)

// linkBurst is the time whose share of the link's bytes may be sent in one
// burst.
const linkBurst = 2 * time.Second

// Link limits the bytes that this VM sends over a link between regions. The
// zero value allows nothing until Resize is called. It is not safe for
// concurrent use.
type Link struct {
	limiter *rate.Limiter
	// sent is the total number of bytes allowed.
	sent int64
}

// NewLink returns a limit in bytes per second.
func NewLink(bytes float64) *Link {
	return &Link{
		limiter: rate.NewLimiter(rate.Limit(bytes), max(int(bytes*linkBurst.Seconds()), 1)),
	}
}

// Allow reports whether n bytes may be sent now and counts them if so.
func (l *Link) Allow(now time.Time, n int) bool {
	if l.limiter == nil || !l.limiter.AllowN(now, n) {
		return false
	}
	l.sent += int64(n)
	return true
}

// Resize changes the limit to bytes per second.
func (l *Link) Resize(now time.Time, bytes float64) {
	if l.limiter == nil {
		*l = *NewLink(bytes)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(bytes))
	l.limiter.SetBurstAt(now, max(int(bytes*linkBurst.Seconds()), 1))
}

// Sent returns the total number of bytes allowed.
func (l *Link) Sent() int64 { return l.sent }
