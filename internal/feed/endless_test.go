package feed

import (
	"context"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/bound"
	"clementinelink.example/clementinelink/internal/flood"
	"clementinelink.example/clementinelink/internal/mirror"
)

// allowed is the largest number of bytes that a client may read for one answer: a
// head, a body and the read buffer of net/http.
const allowed = int64(bound.MaxHead + maxAnswerBytes + 4<<10)

// TestEndlessAnswer guards against a read that takes memory without bound because
// another VM sends without end.
func TestEndlessAnswer(t *testing.T) {
	for _, kind := range []string{"head-line", "head-fields", "informational", "body", "extensions", "trailer"} {
		s, err := flood.Start(kind)
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(mirror.NewLog())
		m := flood.NewMeter(c.dial)
		c.dial = m.Dial
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		if _, err := c.Changes(ctx, s.Address(), 1, time.Second); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %v", kind, err)
		}
		cancel()
		s.Close()
		if m.Read() == 0 || m.Read() > allowed {
			t.Errorf("%s: %d bytes read, want at most %d", kind, m.Read(), allowed)
		}
	}
}
