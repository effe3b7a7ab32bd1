package logger

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter is a writer whose Write blocks forever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// TestBlockedLog guards against a blocked log output stalling requests. Logging
// must not block, and dropped lines must be counted.
func TestBlockedLog(t *testing.T) {
	l := New(blockedWriter{}, zerolog.InfoLevel, "v1")
	const lines = 3 * logCap
	begun := time.Now()
	for range lines {
		l.Info().Msg("proxy: Request ended.")
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	if l.rateLimited.Load() == 0 {
		t.Error("no line over the rate was counted")
	}
}
