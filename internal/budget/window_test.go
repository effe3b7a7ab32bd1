package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindow guards the limit over every period, not only over consecutive
// ones: a burst at the end of one period and the start of the next must not be
// allowed twice.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		w := NewWindow(0.5, 8, length)
		now := time.Unix(0, 0)
		var first, extra []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.CountFirst(now)
				first = append(first, now)
			} else if w.Take(now) {
				extra = append(extra, now)
				// The period that ends now has the most extra attempts. First
				// attempts are counted for up to one slot more.
				got, base := within(extra, now, length), within(first, now, length+length/(windowSlots-1))
				if float64(got) > 0.5*float64(base)+8 {
					t.Fatalf("%d extra attempts in a span with %d first ones", got, base)
				}
			}
		}
	})
}

// TestWindowUse guards against a limit that refuses extra attempts that are
// allowed, or that allows some without first attempts or slack.
func TestWindowUse(t *testing.T) {
	w := NewWindow(0.5, 3, 10*time.Second)
	now := time.Unix(0, 0)
	for range 10 {
		w.CountFirst(now)
	}
	taken := 0
	for w.Take(now) {
		taken++
	}
	if taken != 8 {
		t.Errorf("%d extra attempts, want 8", taken)
	}
	w.SetSlack(0)
	if now = now.Add(time.Hour); w.Take(now) {
		t.Error("an extra attempt without first ones or slack")
	}
}

func within(times []time.Time, now time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < length {
			n++
		}
	}
	return n
}
