package budget

import "time"

const (
	// windowSlots is the number of slots that a window is divided into. One of
	// them is the partial slot of the current time.
	windowSlots = 20
)

// Window limits the extra attempts within any period of a fixed length: to a
// ratio of the first attempts in the period, plus this VM's part of a slack
// that all VMs share. It is not safe for concurrent use.
type Window struct {
	ratio      float64
	slack      float64
	slotLength time.Duration
	// first and extra count first and extra attempts by slot. newest is the
	// index of the newest slot, and slotStart the time at which it starts.
	first     [windowSlots]int
	extra     [windowSlots]int
	newest    int
	slotStart time.Time
}

// NewWindow returns a limit over periods of the given length.
func NewWindow(ratio, slack float64, length time.Duration) *Window {
	return &Window{
		ratio:      ratio,
		slack:      slack,
		slotLength: length / (windowSlots - 1),
	}
}

// SetSlack sets this VM's part of the slack.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// CountFirst counts a first attempt.
func (w *Window) CountFirst(now time.Time) {
	w.advance(now)
	w.first[w.newest]++
}

// Take reports whether an extra attempt is allowed and counts it if so.
func (w *Window) Take(now time.Time) bool { return w.TakeAbove(now, 0) }

// TakeAbove is Take for an attempt that leaves a share of the limit, from 0 to 1, to
// others.
func (w *Window) TakeAbove(now time.Time, share float64) bool {
	if !w.Permits(now, share) {
		return false
	}
	w.extra[w.newest]++
	return true
}

// Permits reports whether TakeAbove would allow an attempt.
func (w *Window) Permits(now time.Time, share float64) bool {
	limit, extra := w.count(now)
	return float64(extra+1) <= limit*(1-share)
}

// Left returns the number of extra attempts that are allowed, and the time after which
// the earliest ones leave the period, or 0 if there are none in it.
func (w *Window) Left(now time.Time) (int, time.Duration) {
	limit, extra := w.count(now)
	for i := range windowSlots {
		// The oldest slot follows the newest one.
		if at := (w.newest + 1 + i) % windowSlots; w.extra[at] > 0 {
			return int(limit) - extra, w.slotStart.Add(time.Duration(i+1) * w.slotLength).Sub(now)
		}
	}
	return int(limit) - extra, 0
}

// count returns the limit on extra attempts and their number in the period.
func (w *Window) count(now time.Time) (limit float64, extra int) {
	w.advance(now)
	first := 0
	for i := range windowSlots {
		first += w.first[i]
		extra += w.extra[i]
	}
	return w.ratio*float64(first) + w.slack, extra
}

// advance moves the newest slot to the present time and clears the slots that
// have left the period.
func (w *Window) advance(now time.Time) {
	if w.slotStart.IsZero() {
		w.slotStart = now
	}
	for n := 0; now.Sub(w.slotStart) >= w.slotLength; n++ {
		if n >= windowSlots {
			w.slotStart = now
			return
		}
		w.slotStart = w.slotStart.Add(w.slotLength)
		w.newest = (w.newest + 1) % windowSlots
		w.first[w.newest], w.extra[w.newest] = 0, 0
	}
}
