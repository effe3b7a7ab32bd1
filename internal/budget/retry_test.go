package budget

import (
	"testing"
	"time"
)

// TestRetryShare guards against extra attempts that multiply the load of an
// outage: they must stay within the ratio plus the floor.
func TestRetryShare(t *testing.T) {
	now := time.Unix(0, 0)
	r := NewRetry(DefaultRatio, DefaultFloor, DefaultBurst)
	taken := 0
	for range 10_000 {
		now = now.Add(10 * time.Millisecond)
		r.CountFirst(now)
		if r.Take(now) {
			taken++
		}
	}
	// 100 s of 100 calls a second: 1,000 by the ratio, 100 by the floor.
	if taken < 1_095 || taken > 1_105 {
		t.Errorf("%d extra attempts, want about 1,100", taken)
	}
	now = now.Add(time.Hour)
	for taken = 0; r.Take(now); taken++ {
	}
	if taken != DefaultBurst {
		t.Errorf("%d extra attempts after an hour, want %v", taken, DefaultBurst)
	}
}
