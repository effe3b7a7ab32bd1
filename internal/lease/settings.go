package lease

import "time"

// Settings fixes the times of a lease. They must be the same on all VMs, since
// a new holder derives from its own settings how long the old one could act.
type Settings struct {
	ttl time.Duration
	// margin is kept between the local deadline and the store's expiry.
	margin time.Duration
	// drift bounds the relative difference in rate of two clocks.
	drift float64
	// waitOut is true when upstreams ignore fencing numbers.
	waitOut bool
	// settle bounds the time from MayAct to the effect of the action.
	settle time.Duration
}

// NewSettings returns settings for a time to live, with a margin of a tenth of
// it and a drift of 1%, which is far above that of a working quartz clock.
func NewSettings(ttl time.Duration) Settings {
	return Settings{
		ttl:    ttl,
		margin: ttl / 10,
		drift:  0.01,
	}
}

// WithMargin replaces the margin and the drift.
func (s Settings) WithMargin(margin time.Duration, drift float64) Settings {
	s.margin = margin
	s.drift = drift
	return s
}

// WithWaitOut makes a new holder wait until no action of the one before can
// take effect any more; settle bounds the time from MayAct to the effect.
func (s Settings) WithWaitOut(settle time.Duration) Settings {
	s.waitOut = true
	s.settle = settle
	return s
}

// TTL returns the time to live of the store's lease.
func (s Settings) TTL() time.Duration { return s.ttl }

// deadline returns the local end of a lease whose request was sent at sent.
// The store's time to live starts later, when it handles the request, so the
// request's time in flight shortens the lease and never lengthens it.
func (s Settings) deadline(sent time.Time) time.Time {
	return sent.Add(s.ttl - s.share(s.ttl) - s.margin)
}

// ready returns when a holder may act whose acquisition was answered at now.
// The holder before sent its last successful renewal before the key was free,
// so it stops within one time to live after that, on any clock.
func (s Settings) ready(now time.Time) time.Time {
	if !s.waitOut {
		return now
	}
	wait := s.ttl + s.settle
	return now.Add(wait + s.share(wait))
}

// share returns the clock error over d.
func (s Settings) share(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.drift)
}
