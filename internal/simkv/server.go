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
	// DefaultReads is the platform's limit on reads and watches a second.
	DefaultReads = 2000
	// DefaultWrites is the platform's limit on writes and lease calls a second.
	DefaultWrites = 300
	// retain is the number of events kept for watches.
	retain = 10000
	// maxWait bounds one long poll.
	maxWait = 30 * time.Second
	// queue is the number of calls that wait for the keeper; a full queue
	// makes further calls wait.
	queue = 1024
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

// Server is the simulated store. One goroutine, the keeper, owns its state;
// handlers pass it functions through a ring.
type Server struct {
	now    func() time.Time
	ops    *ring.Ring[func()]
	reads  *rate.Limiter
	writes *rate.Limiter
	// ended is closed when the keeper stops.
	ended chan struct{}

	// The keeper owns the fields below.
	space  *space
	faults faults
	stats  Stats
	// changed is closed at the next change of any key.
	changed chan struct{}
}

// New returns a store with the platform's rate limits.
func New() *Server {
	return &Server{
		now:     time.Now,
		ops:     ring.New[func()](queue, ring.Wait),
		reads:   limiter(DefaultReads),
		writes:  limiter(DefaultWrites),
		ended:   make(chan struct{}),
		space:   newSpace(retain),
		changed: make(chan struct{}),
	}
}

// WithRates sets the limits in calls a second. Call it before Serve.
func (s *Server) WithRates(reads, writes float64) *Server {
	s.reads = limiter(reads)
	s.writes = limiter(writes)
	return s
}

// WithNow replaces the clock by which leases and faults end. Call it before
// Start or Serve.
func (s *Server) WithNow(now func() time.Time) *Server {
	s.now = now
	return s
}

// limiter allows a burst of a tenth of a second.
func limiter(perSecond float64) *rate.Limiter {
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
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, listener) }()
	stop = func() error {
		cancel()
		return <-ended
	}
	return "http://" + listener.Addr().String(), stop, nil
}

// Serve serves the store until ctx ends, then closes all connections. A
// server serves once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.keep(ctx)
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	cancel()
	<-s.ended
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "simkv: serve")
}

// Inject switches a fault on. It returns false for an unknown fault or when
// the store does not run.
func (s *Server) Inject(f Fault) bool {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	known := make(chan bool, 1)
	return s.do(ctx, func() { known <- s.inject(f.body) }) && <-known
}

// Stats returns the counts; they are zero when the store does not run.
func (s *Server) Stats() Stats {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	found := make(chan Stats, 1)
	if !s.do(ctx, func() { found <- s.count() }) {
		return Stats{}
	}
	return <-found
}

func (s *Server) inject(b faultBody) bool {
	switch b.Op {
	case "compact":
		s.space.compact()
	case "expire":
		s.space.expire(s.now().Add(time.Hour * 24 * 365))
	default:
		return s.faults.set(s.now(), b)
	}
	return true
}

func (s *Server) count() Stats {
	found := s.stats
	found.revision = s.space.revision
	return found
}

// do runs f on the keeper and waits for it. It returns false when ctx or the
// keeper ends first; f may then still run.
func (s *Server) do(ctx context.Context, f func()) bool {
	finished := make(chan struct{})
	if !s.ops.Put(ctx, func() { f(); close(finished) }) {
		return false
	}
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	case <-s.ended:
		return false
	}
}

// keep runs the functions of the ring and ends leases on time.
func (s *Server) keep(ctx context.Context) {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if first, ok := s.space.next(); ok {
			timer.Reset(first.Sub(s.now()))
		}
		select {
		case <-ctx.Done():
			return
		case f := <-s.ops.Out():
			s.step(f)
		case <-timer.C:
			s.step(func() {})
		}
	}
}

// step ends leases, runs f and wakes the watches after a change.
func (s *Server) step(f func()) {
	before := s.space.revision
	s.space.expire(s.now())
	f()
	if s.space.revision != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}
