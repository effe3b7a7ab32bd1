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
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	first, extra := 0, 0
	for i := range windowSlots {
		first += w.first[i]
		extra += w.extra[i]
	}
	if float64(extra+1) > w.ratio*float64(first)+w.slack {
		return false
	}
	w.extra[w.newest]++
	return true
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
