package follow

import (
	"context"
	"fmt"
	"slices"
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

// TestKeptKeyExpires guards against a key that is kept after an outage for longer
// than its time because a change arrived meanwhile, after which the follower
// pauses. A worker that had left got requests for that long (DRAIN).
func TestKeptKeyExpires(t *testing.T) {
	var skipped time.Duration
	calls := 0
	f := &Follower{
		batchDelay: func() time.Duration { return time.Hour },
		state:      NewState(),
		list: func(context.Context, string) ([]store.Entry, uint64, error) {
			return []store.Entry{store.NewEntry("x", nil, 1, "")}, 1, nil
		},
		watch: func(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
			calls++
			switch calls {
			case 1, 2:
				skipped += 2500 * time.Millisecond
				return nil, after, store.ErrUnavailable
			case 3:
				return []store.Event{store.NewEvent(store.NewEntry("x", nil, 2, ""), true), store.NewEvent(store.NewEntry("y", nil, 3, ""), false)}, 3, nil
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			return nil, after, ctx.Err()
		},
		now:       func() time.Time { return time.Now().Add(skipped) },
		confirmed: time.Now,
		lostAt:    store.LostAt,
		idle:      func(time.Time) {},
		log:       zerolog.Nop(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	gone := false
	f.emit = func(_ context.Context, c Change) {
		if slices.Contains(c.Deleted(), "x") {
			gone = true
			cancel()
		}
		if calls == 0 {
			// The list; its pause is not part of the test.
			f.batchDelay = func() time.Duration { return 0 }
			return
		}
		f.batchDelay = func() time.Duration { return time.Hour }
	}
	f.Run(ctx)
	if !gone {
		t.Error("x is still listed 10 s after its removal")
	}
}
