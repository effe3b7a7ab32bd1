package once

import (
	"context"
	"net"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/pause"
	"github.com/cockroachdb/errors"
)

// TestPausedConnect guards against an upstream that is taken for unreachable since the VM
// itself paused while it connected (LOST).
func TestPausedConnect(t *testing.T) {
	const timeout = time.Millisecond
	for _, c := range []struct {
		name   string
		paused time.Duration
		dials  int
	}{
		{
			name:   "silent",
			paused: 0,
			dials:  1,
		},
		{
			name:   "paused",
			paused: 2 * pause.Shortest,
			dials:  2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			dials, now := 0, time.Unix(0, 0)
			d := New(timeout)
			d.now = func() time.Time { return now }
			d.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				dials++
				<-ctx.Done()
				now = now.Add(timeout + c.paused)
				return nil, ctx.Err()
			}
			if _, err := d.Do(t.Context(), "a", post("a"), nil); !errors.Is(err, ErrNotSent) {
				t.Errorf("error %v, want ErrNotSent", err)
			}
			if dials != c.dials {
				t.Errorf("%d connection attempts, want %d", dials, c.dials)
			}
		})
	}
}
