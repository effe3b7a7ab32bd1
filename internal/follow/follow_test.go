package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

// TestNoPauseAfterFullBatch guards against a follower that pauses after each
// part of a large set of changes. With 300 VMs and 3,000 upstreams, such pauses
// delayed a configuration by 10 s.
func TestNoPauseAfterFullBatch(t *testing.T) {
	const parts = 8
	revision := uint64(0)
	f := &Follower{
		batchDelay: func() time.Duration { return time.Hour },
		state:      NewState(),
		list: func(context.Context, string) ([]store.Entry, uint64, error) {
			return nil, 0, nil
		},
		watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Event, uint64, error) {
			if after == parts*fullBatch {
				<-ctx.Done()
				return nil, after, ctx.Err()
			}
			var events []store.Event
			for range fullBatch {
				revision++
				events = append(events, store.NewEvent(store.NewEntry(fmt.Sprintf("k%d", revision), nil, revision, ""), false))
			}
			return events, revision, nil
		},
		now:       time.Now,
		confirmed: time.Now,
		idle:      func(time.Time) {},
		log:       zerolog.Nop(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	seen := 0
	f.emit = func(_ context.Context, c Change) {
		if seen += c.Len(); seen == parts*fullBatch {
			cancel()
		}
	}
	f.Run(ctx)
	if seen != parts*fullBatch {
		t.Errorf("%d changes in 5 s, want %d", seen, parts*fullBatch)
	}
}
