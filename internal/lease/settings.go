package lease

import "time"

// Settings holds the times of a lease. They must be the same on all VMs, since a
// new holder derives from its own settings how long the previous one may act.
type Settings struct {
	ttl time.Duration
	// margin is the time between the local deadline and the expiry in the store.
	margin time.Duration
	// drift is the maximum relative difference in rate of two clocks.
	drift float64
	// waitOut is true when upstreams ignore fencing numbers.
	waitOut bool
	// settle is the maximum time from MayAct until the action takes effect.
	settle time.Duration
}

// NewSettings returns settings for a time to live of the store lease, with a
// margin of a tenth of it and a drift of 1%, which is far above that of a working
// quartz clock.
func NewSettings(ttl time.Duration) Settings {
	return Settings{
		ttl:    ttl,
		margin: ttl / 10,
		drift:  0.01,
	}
}

// WithMargin returns a copy of s with another margin and drift. The drift is a
// fraction of the elapsed time.
func (s Settings) WithMargin(margin time.Duration, drift float64) Settings {
	s.margin = margin
	s.drift = drift
	return s
}

// WithWaitOut returns a copy of s with which a new holder waits until no action of
// the previous one can still take effect. It is for upstreams that ignore fencing
// numbers; settle is the maximum time from MayAct until an action takes effect.
func (s Settings) WithWaitOut(settle time.Duration) Settings {
	s.waitOut = true
	s.settle = settle
	return s
}

// TTL returns the time to live of the store lease.
func (s Settings) TTL() time.Duration { return s.ttl }

// deadline returns the local end of a lease whose grant or renewal was sent at
// sent. The store starts the time to live later, when it handles the request, so
// a slow request shortens the lease and never extends it.
func (s Settings) deadline(sent time.Time) time.Time {
	return sent.Add(s.ttl - s.clockError(s.ttl) - s.margin)
}

// earliestAct returns when a new holder may act if its acquisition was answered at
// now. The previous holder sent its last successful renewal before the key became
// free, so it stops within one time to live after that.
func (s Settings) earliestAct(now time.Time) time.Time {
	if !s.waitOut {
		return now
	}
	wait := s.ttl + s.settle
	return now.Add(wait + s.clockError(wait))
}

// clockError returns the maximum difference of two clocks after d.
func (s Settings) clockError(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.drift)
}
