package budget

import (
	"time"

	"golang.org/x/time/rate"
)

// linkBurst is the time for which a link's share may be used ahead.
const linkBurst = 2 * time.Second

// Link limits the bytes that this VM sends over a link between regions. The
// zero value allows nothing. It is owned by one duty.
type Link struct {
	limiter *rate.Limiter
	// sent counts the allowed bytes.
	sent int64
}

// NewLink returns a budget of bytes a second.
func NewLink(bytes float64) *Link {
	return &Link{
		limiter: rate.NewLimiter(rate.Limit(bytes), max(int(bytes*linkBurst.Seconds()), 1)),
	}
}

// Allow takes n bytes from the budget and reports whether there were enough.
func (l *Link) Allow(now time.Time, n int) bool {
	if l.limiter == nil || !l.limiter.AllowN(now, n) {
		return false
	}
	l.sent += int64(n)
	return true
}

// Resize changes the budget to bytes a second.
func (l *Link) Resize(now time.Time, bytes float64) {
	if l.limiter == nil {
		*l = *NewLink(bytes)
		return
	}
	l.limiter.SetLimitAt(now, rate.Limit(bytes))
	l.limiter.SetBurstAt(now, max(int(bytes*linkBurst.Seconds()), 1))
}

// Sent returns the bytes allowed so far.
func (l *Link) Sent() int64 { return l.sent }
