package bulk

import (
	"context"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/pause"
)

// TestPausedRead guards against a VM that gives up what it reads from another one after
// it has paused itself, and asks the store for the whole value (LOST).
func TestPausedRead(t *testing.T) {
	now := time.Now()
	w := &watchdog{
		limit: time.Hour,
		end:   now.Add(time.Hour),
		timer: time.NewTimer(time.Hour),
		due:   now,
	}
	if w.expired(now.Add(pause.Shortest)) {
		t.Error("the read ends with a pause of the process")
	}
	if want := now.Add(pause.Shortest + pause.Settle); !w.due.Equal(want) {
		t.Errorf("the next look is %s after the first, want %s", w.due.Sub(now), want.Sub(now))
	}
	if !w.expired(w.due) {
		t.Error("the read goes on without progress after the pause")
	}
	// Progress was noted after the timer had fired.
	w.note(now.Add(time.Second))
	if w.expired(now.Add(time.Second + time.Millisecond)) {
		t.Error("the read ends although a part has just arrived")
	}
	// Pauses do not prolong the read beyond its end.
	w.end = now.Add(time.Minute)
	if !w.expired(now.Add(time.Minute)) {
		t.Error("the read goes on after its end")
	}
	w.stop()
	if !w.expired(w.due.Add(time.Second)) {
		t.Error("the read goes on although it was stopped")
	}
}

// TestReadWithoutProgress guards against a read that never ends.
func TestReadWithoutProgress(t *testing.T) {
	ctx, stop := WithProgress(t.Context(), 20*time.Millisecond, time.Minute)
	defer stop()
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("no end after 10 s")
	}
	if err := context.Cause(ctx); err != context.DeadlineExceeded {
		t.Errorf("cause %v", err)
	}
}
