package pause

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestPausedConnect guards against a peer that is taken for unreachable since the VM itself
// paused while it connected (LOST).
func TestPausedConnect(t *testing.T) {
	refused := errors.New("refused")
	for _, c := range []struct {
		name    string
		timeout time.Duration
		paused  time.Duration
		err     error
		dials   int
	}{
		{
			name:    "silent",
			timeout: time.Millisecond,
			dials:   1,
		},
		{
			name:    "paused",
			timeout: time.Millisecond,
			paused:  2 * Shortest,
			dials:   2,
		},
		{
			name:    "refused after a pause",
			timeout: time.Hour,
			paused:  2 * Shortest,
			err:     refused,
			dials:   1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			dials, now := 0, time.Unix(0, 0)
			dial := Dial(func(ctx context.Context, _, _ string) (net.Conn, error) {
				dials++
				now = now.Add(c.timeout + c.paused)
				if c.err != nil {
					return nil, c.err
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}).Within(c.timeout, func() time.Time { return now })
			want := c.err
			if want == nil {
				want = context.DeadlineExceeded
			}
			if _, err := dial(t.Context(), "tcp", "a"); !errors.Is(err, want) {
				t.Errorf("error %v, want %v", err, want)
			}
			if dials != c.dials {
				t.Errorf("%d connection attempts, want %d", dials, c.dials)
			}
		})
	}
}
