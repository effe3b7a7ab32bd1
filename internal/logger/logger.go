package logger

import (
	"io"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/meter"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// logCap is the number of lines that are buffered for the output. If the
	// reader does not keep up, the oldest lines are dropped.
	logCap = 4096
	// logRate is the largest number of lines written per second. It is about
	// ten times the peak rate of a VM.
	logRate = 2000
)

// Log is the structured log of a process. Logging never blocks the caller. It
// may be used concurrently.
type Log struct {
	zerolog.Logger
	out diode.Writer
	// dropped counts the lines that were dropped because the reader was too slow,
	// and rateLimited those that were dropped because they exceeded logRate.
	dropped     atomic.Int64
	rateLimited atomic.Int64
}

// New returns a log that writes lines of the given level and above to out,
// each with the name of the VM.
func New(out io.Writer, level zerolog.Level, vm string) *Log {
	l := &Log{}
	l.out = diode.NewWriter(out, logCap, 0, func(missed int) { l.dropped.Add(int64(missed)) })
	sampler := &zerolog.BurstSampler{
		Burst:       logRate,
		Period:      time.Second,
		NextSampler: countingSampler{count: &l.rateLimited},
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	l.Logger = zerolog.New(&l.out).Level(level).Sample(sampler).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// RegisterMetrics registers the numbers of dropped lines as metrics.
func (l *Log) RegisterMetrics(m *meter.Registry) {
	m.Watch("log_lines_lost", "Log lines that a slow reader lost.", func() float64 { return float64(l.dropped.Load()) })
	m.Watch("log_lines_cut", "Log lines over the rate.", func() float64 { return float64(l.rateLimited.Load()) })
}

// Close logs how many lines were dropped and flushes the buffered ones.
func (l *Log) Close() error {
	if lost, cut := l.dropped.Load(), l.rateLimited.Load(); lost+cut > 0 {
		l.Warn().Int64("lost", lost).Int64("cut", cut).Msg("log: Lines were dropped.")
	}
	return l.out.Close()
}

// countingSampler rejects every line and counts it.
type countingSampler struct {
	count *atomic.Int64
}

// Sample implements zerolog.Sampler.
func (s countingSampler) Sample(zerolog.Level) bool {
	s.count.Add(1)
	return false
}
