package origin

import "time"

const (
	// calmTime is the time after a restoration in which the VMs write again what the
	// store has lost, and rewriteSpread the time between the first and the last turn.
	calmTime      = 2 * time.Second
	rewriteSpread = time.Second
)

// Pace states when VMs may write after a restoration of the store. The zero value is that
// before the first restoration.
type Pace struct {
	restoredAt time.Time
}

// Restored starts the time in which the VMs write again what the store has lost.
func (p *Pace) Restored(now time.Time) { p.restoredAt = now }

// Calm reports whether what the store has lost has been written again. Until then no VM
// adds a verdict of its own, since another one may know of an earlier verdict that the
// store has lost.
func (p *Pace) Calm(now time.Time) bool {
	return p.restoredAt.IsZero() || !now.Before(p.restoredAt.Add(calmTime))
}

// Turn returns how much later a VM writes than its predecessor among a number of VMs,
// which is usually delay.
func (p *Pace) Turn(now time.Time, vms int, delay time.Duration) time.Duration {
	if p.Calm(now) {
		return delay
	}
	return min(delay, rewriteSpread/time.Duration(max(vms, 1)))
}
