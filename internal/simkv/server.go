package simkv

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// MaxValue is the largest value in bytes; larger ones get 413.
	MaxValue = 1 << 20
	// DefaultReads is the platform's limit on reads and watches per second.
	DefaultReads = 2000
	// DefaultWrites is the platform's limit on writes and lease calls per second.
	DefaultWrites = 300
	// retainedEvents is the number of events kept for watches.
	retainedEvents = 10000
	// maxWait is the longest wait of a watch call.
	maxWait = 30 * time.Second
	// queueSize is the number of queued operations. Further calls block until
	// there is room.
	queueSize = 1024
)

// Stats counts calls since the start, including refused ones.
type Stats struct {
	reads    uint64
	writes   uint64
	watches  uint64
	refused  uint64
	revision uint64
}

// Reads returns the number of gets and lists.
func (s Stats) Reads() uint64 { return s.reads }

// Writes returns the number of puts, deletes and lease calls.
func (s Stats) Writes() uint64 { return s.writes }

// Watches returns the number of watch calls.
func (s Stats) Watches() uint64 { return s.watches }

// Refused returns the number of calls over a rate limit.
func (s Stats) Refused() uint64 { return s.refused }

// Revision returns the store's revision.
func (s Stats) Revision() uint64 { return s.revision }

// Server is the simulated store. The goroutine of run owns the data; handlers
// send it functions through a ring. Inject and Stats may be called concurrently.
type Server struct {
	now    func() time.Time
	ops    *ring.Ring[func()]
	reads  *rate.Limiter
	writes *rate.Limiter
	// stopped is closed when run returns.
	stopped chan struct{}

	// Only the goroutine of run uses the fields below.
	state  *state
	faults faults
	stats  Stats
	// changed is closed at the next change of any key, or the next restoration.
	changed chan struct{}
}

// New returns a store with the platform's rate limits.
func New() *Server {
	return &Server{
		now:     time.Now,
		ops:     ring.New[func()](queueSize, ring.Wait),
		reads:   newLimiter(DefaultReads),
		writes:  newLimiter(DefaultWrites),
		stopped: make(chan struct{}),
		state:   newState(retainedEvents),
		changed: make(chan struct{}),
	}
}

// WithRates sets the limits in calls per second. Call it before Start or Serve.
func (s *Server) WithRates(reads, writes float64) *Server {
	s.reads = newLimiter(reads)
	s.writes = newLimiter(writes)
	return s
}

// WithNow replaces the clock for leases, faults and rate limits. Call it before
// Start or Serve.
func (s *Server) WithNow(now func() time.Time) *Server {
	s.now = now
	return s
}

// newLimiter returns a limiter with a burst of a tenth of a second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Run serves a new store at address until ctx ends.
func Run(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "simkv: listen")
	}
	return New().Serve(ctx, listener)
}

// Start serves on a free loopback port. It returns the base URL and a function
// that stops the server and returns its error.
func (s *Server) Start() (base string, stop func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "simkv: listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Serve(ctx, listener) }()
	stop = func() error {
		cancel()
		return <-stopped
	}
	return "http://" + listener.Addr().String(), stop, nil
}

// Serve serves the store until ctx ends, then closes all connections. It must be
// called only once, directly or by Start.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.run(ctx)
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	cancel()
	<-s.stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "simkv: serve")
}

// Inject starts a fault. It returns false for an unknown fault or when the store
// does not run.
func (s *Server) Inject(f Fault) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	known := make(chan bool, 1)
	return s.execute(ctx, func() { known <- s.inject(f.body) }) && <-known
}

// Stats returns the counts; they are zero when the store does not run.
func (s *Server) Stats() Stats {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	reply := make(chan Stats, 1)
	if !s.execute(ctx, func() { reply <- s.currentStats() }) {
		return Stats{}
	}
	return <-reply
}

// inject starts a fault and reports whether its op is known.
func (s *Server) inject(b faultBody) bool {
	switch b.Op {
	case "compact":
		s.state.compact()
	case "restore":
		s.state.restore(s.now(), time.Duration(b.Time)*time.Millisecond)
	case "expire":
		s.state.expire(s.now().Add(time.Hour * 24 * 365))
	default:
		return s.faults.set(s.now(), b)
	}
	return true
}

// currentStats returns the counts with the current revision.
func (s *Server) currentStats() Stats {
	stats := s.stats
	stats.revision = s.state.revision
	return stats
}

// execute runs f in the goroutine of run and waits for it. It returns false when
// ctx or run ends first; f may then still run.
func (s *Server) execute(ctx context.Context, f func()) bool {
	finished := make(chan struct{})
	if !s.ops.Put(ctx, func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

// run executes the queued operations and ends leases when they expire.
func (s *Server) run(ctx context.Context) {
	defer close(s.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if first, ok := s.state.nextExpiry(); ok {
			timer.Reset(first.Sub(s.now()))
		}
		select {
		case <-ctx.Done():
			return
		case f := <-s.ops.Out():
			s.runOp(f)
		case <-timer.C:
			s.runOp(func() {})
		}
	}
}

// runOp ends expired leases, runs f and wakes the watches if a key changed or the store
// was restored.
func (s *Server) runOp(f func()) {
	revision, era := s.state.revision, s.state.era
	s.state.expire(s.now())
	f()
	if s.state.revision != revision || s.state.era != era {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
