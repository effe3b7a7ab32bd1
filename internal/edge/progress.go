package edge

import (
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/meter"
	"github.com/rs/zerolog"
)

// progress tells how old the store's word is that the dispatcher acts upon. Its
// methods may be called concurrently.
type progress struct {
	// bound is the time within which a change must take effect.
	bound time.Duration
	// pending counts the changes that the dispatcher has not applied yet.
	pending atomic.Int64
	// applied is when the store confirmed what the dispatcher has applied, nil
	// before the first list.
	applied atomic.Pointer[time.Time]
	delay   *meter.Histogram
	log     zerolog.Logger
}

func newProgress(bound time.Duration, m *meter.Registry, log zerolog.Logger) *progress {
	return &progress{
		bound: bound,
		delay: m.Histogram("change_delay_seconds", "Time from the store's confirmation of a change to its effect on requests."),
		log:   log,
	}
}

// begin counts a change, and returns the function to be called once the dispatcher
// has applied it. confirmed is zero if the store has not confirmed the change.
func (p *progress) begin(confirmed time.Time, keys int) func(now time.Time) {
	p.pending.Add(1)
	return func(now time.Time) {
		p.pending.Add(-1)
		if confirmed.IsZero() {
			return
		}
		p.applied.Store(&confirmed)
		delay := now.Sub(confirmed)
		p.delay.Observe(delay)
		if delay > p.bound {
			p.log.Warn().Int64("ms", delay.Milliseconds()).Int("keys", keys).Msg("edge: A change took effect late.")
		}
	}
}

// confirm records that the store has no change after what was applied.
func (p *progress) confirm(confirmed time.Time) {
	if p.pending.Load() == 0 {
		p.applied.Store(&confirmed)
	}
}

// age returns the time since the store confirmed what the dispatcher has applied, or
// 0 before the first list.
func (p *progress) age(now time.Time) time.Duration {
	if at := p.applied.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}
