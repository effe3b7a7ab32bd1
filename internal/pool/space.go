package pool

import "time"

// HasSpace reports whether an upstream can begin one more request at once: it has a free
// slot, if the number of its slots is known, and memory, and has not failed lately.
func (p *Pool) HasSpace(now time.Time, n Need, u *Upstream) bool {
	if slots := u.Slots(); slots > 0 && float64(u.attempts)+u.load.Others(now) >= float64(slots) {
		return false
	}
	return p.eligible(now, n, u) && !u.BackingOff(now) && !p.Suspect(now, u) && !u.full(now, n)
}
