package simwts

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

const (
	// DefaultRate is the limit of Run in fetches per second.
	DefaultRate = 2
	// DefaultBurst is the number of fetches that Run serves at once.
	DefaultBurst = 4
)

// Server is the simulated weight store. It has every version of every model. Its
// methods may be called concurrently.
type Server struct {
	limiter *rate.Limiter
	served  atomic.Uint64
	refused atomic.Uint64
	// delay is the duration of a fetch in nanoseconds.
	delay atomic.Int64
}

// New returns a weight store that serves perSecond fetches per second, with the
// given burst and without delay.
func New(perSecond float64, burst int) *Server {
	return &Server{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
	}
}

// Run serves a weight store with the default rate at address until ctx ends.
func Run(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "simwts: listen")
	}
	return New(DefaultRate, DefaultBurst).Serve(ctx, listener)
}

// Start serves on a free loopback port. It returns the base URL and a function
// that stops the server and returns its error.
func (s *Server) Start() (base string, stop func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "simwts: listen")
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

// Serve serves the store until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	r := chi.NewRouter()
	r.Get("/weights/{model}/{version}", s.fetch)
	server := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "simwts: serve")
	}
	return nil
}

// SetDelay sets the duration of later fetches.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetRate sets the limit in fetches per second.
func (s *Server) SetRate(perSecond float64) { s.limiter.SetLimit(rate.Limit(perSecond)) }

// Served returns the number of fetches that were answered with 200.
func (s *Server) Served() uint64 { return s.served.Load() }

// Refused returns the number of fetches that got 429.
func (s *Server) Refused() uint64 { return s.refused.Load() }

// fetch answers a fetch, or refuses it with 429 and the seconds until the next
// one is allowed in Retry-After.
func (s *Server) fetch(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.Allow() {
		s.refused.Add(1)
		seconds := math.Ceil(1 / max(float64(s.limiter.Limit()), 0.001))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(time.Duration(s.delay.Load()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	s.served.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{
		"model":   chi.URLParam(r, "model"),
		"version": chi.URLParam(r, "version"),
	})
}
