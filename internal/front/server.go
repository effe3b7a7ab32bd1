package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/world"
)

// outputs is the capacity of a caller's output ring. A caller that falls this
// many tokens behind is ended with a cursor.
const outputs = 1024

// headerLimit is the largest request header in bytes; a cursor, a bearer token
// and tracing headers take under 8 KiB.
const headerLimit = 64 << 10

// defaultDeadline applies where neither a contract nor a route states one.
const defaultDeadline = 10 * time.Minute

// reconnectGrace is how long a generation goes on for a streaming caller that
// disconnected. A client reconnects within a second; a longer time would cost
// tokens for callers that do not come back.
const reconnectGrace = time.Second

// Limits bounds what one caller can take from the process.
type Limits struct {
	body   int64
	tokens int
	most   int
	read   time.Duration
	write  time.Duration
	grace  time.Duration
}

// NewLimits returns limits with the defaults: a request body of 4 MiB that
// arrives within 30 s, 4,096 generated tokens when the caller states no limit
// and at most 131,072, a write that completes within 10 s, and 5 s after the
// deadline for the dispatcher to end a response.
func NewLimits() Limits {
	return Limits{
		body:   4 << 20,
		tokens: 4096,
		most:   131072,
		read:   30 * time.Second,
		write:  10 * time.Second,
		grace:  5 * time.Second,
	}
}

// WithBody returns a copy of l with the largest request body in bytes.
func (l Limits) WithBody(size int64) Limits {
	l.body = size
	return l
}

// WithTokens returns a copy of l with the number of tokens generated when the
// caller states no limit, and the largest number that a caller may ask for.
func (l Limits) WithTokens(usual, most int) Limits {
	l.tokens = usual
	l.most = most
	return l
}

// WithTimes returns a copy of l with the times for reading a body, for one
// write, and for the dispatcher after a deadline.
func (l Limits) WithTimes(read, write, grace time.Duration) Limits {
	l.read = read
	l.write = write
	l.grace = grace
	return l
}

// Server answers callers. Its function fields are set before Handler is
// called and do not change afterwards.
type Server struct {
	codec  *cursor.Codec
	limits Limits
	// current returns the configuration in force, or nil before the first.
	current func() *world.Map
	// generate hands a request to the dispatcher. A problem means that the
	// dispatcher did not accept it and will put nothing into the ring.
	generate func(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem
	// leave tells the dispatcher that a request has no caller any more. It is
	// called only for accepted requests whose last output was not read.
	leave func(id string)
	// call answers a request to a plain service.
	call  func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace)
	newID func() string
	now   func() time.Time
	// ready is false during shutdown: requests are still answered, but
	// connections are not kept open.
	ready func() bool
	// observe takes what each accepted or refused request showed of its
	// service's objectives. Handlers call it from many goroutines.
	observe func(s *burn.Sample)
	seats   seats
}

// New returns a server that hands generations to generate and reports callers
// that go away to leave.
func New(codec *cursor.Codec, current func() *world.Map,
	generate func(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem,
	leave func(id string)) *Server {
	return &Server{
		codec:    codec,
		limits:   NewLimits(),
		current:  current,
		generate: generate,
		leave:    leave,
		call:     noCall,
		newID:    uuid.NewString,
		now:      time.Now,
		ready:    func() bool { return true },
		observe:  func(*burn.Sample) {},
		seats: seats{
			held: map[string]*seat{},
		},
	}
}

// WithLimits sets the limits on one caller.
func (s *Server) WithLimits(l Limits) *Server {
	s.limits = l
	return s
}

// WithCall sets the function that answers requests to plain services. The
// body of r is complete in memory and within the limit, ctx ends at the
// call's deadline, and the headers X-Request-Id and Traceparent of r are set.
func (s *Server) WithCall(call func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace)) *Server {
	s.call = call
	return s
}

// WithID sets the function that returns ids unique across all VMs.
func (s *Server) WithID(newID func() string) *Server {
	s.newID = newID
	return s
}

// WithClock sets the function that returns the current time.
func (s *Server) WithClock(now func() time.Time) *Server {
	s.now = now
	return s
}

// WithReady sets the function that reports whether new connections are wanted.
func (s *Server) WithReady(ready func() bool) *Server {
	s.ready = ready
	return s
}

// WithObserve sets the function that takes the sample of each request. It must
// not block and is safe for concurrent use.
func (s *Server) WithObserve(observe func(s *burn.Sample)) *Server {
	s.observe = observe
	return s
}

// Handler returns the handler for the callers' listener.
func (s *Server) Handler() http.Handler {
	m := chi.NewRouter()
	m.Use(s.identify)
	m.Get("/readyz", s.readiness)
	m.Get("/v1/models", s.models)
	m.Get("/v1/models/{model}", s.model)
	m.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, &chat) })
	m.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, &text) })
	m.NotFound(s.plain)
	m.MethodNotAllowed(s.plain)
	return m
}

// HTTP returns a server for the callers' listener. It sets no WriteTimeout,
// which would bound a whole response; reading a body and each write have
// deadlines of their own.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    headerLimit,
	}
}

// identify gives each request an id and a trace, and closes connections while
// the process shuts down.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.newID()
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("Traceparent", trace(r.Header.Get("Traceparent"), id))
		w.Header().Set("X-Request-Id", id)
		if !s.ready() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func noCall(_ context.Context, w http.ResponseWriter, _ *http.Request, s *world.Service, _ *world.Route, _ *world.Workspace) {
	WriteProblem(w, errs.New(errs.Unavailable, errs.NotRun, "no upstream of %s is configured", s.Name()))
}
