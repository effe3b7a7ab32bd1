package feed

import (
	"context"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/flood"
)

// TestEndlessAnswer guards against a read that takes memory without bound because
// another VM sends without end.
func TestEndlessAnswer(t *testing.T) {
	for _, kind := range []string{"head-line", "head-fields", "informational", "body", "extensions", "trailer"} {
		s, err := flood.Start(kind)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		if _, err := NewClient(NewLog()).Changes(ctx, s.Address(), 1, time.Second); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %v", kind, err)
		}
		cancel()
		s.Close()
		if allowed := int64(maxAnswerBytes + 16<<20); s.Sent() > allowed {
			t.Errorf("%s: %d bytes accepted, want at most %d", kind, s.Sent(), allowed)
		}
	}
}
