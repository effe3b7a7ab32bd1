package pause

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// While waits as long as a condition holds, which it checks at an interval, or until ctx ends.
func While(ctx context.Context, interval time.Duration, holds func() bool) {
	for ctx.Err() == nil && holds() {
		Sleep(ctx, interval)
	}
}
