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

// outputCap is the number of outputs that wait for a caller to read them. When
// the ring is full, the response ends with a problem that holds the cursor of a
// streaming caller.
const outputCap = 1024

// maxHeaderBytes is the largest accepted request header. A cursor, a bearer
// token and tracing headers together take less than 8 KiB.
const maxHeaderBytes = 64 << 10

// defaultDeadline applies when neither the contract nor the route has a
// deadline.
const defaultDeadline = 10 * time.Minute

// reconnectGrace is how long a generation continues after its streaming caller
// disconnected. Clients reconnect within a second; a longer time would waste
// tokens on callers that do not return.
const reconnectGrace = time.Second

// Limits bounds the resources that one request can use.
type Limits struct {
	// maxBody is in bytes.
	maxBody       int64
	defaultTokens int
	maxTokens     int
	readTimeout   time.Duration
	writeTimeout  time.Duration
	// endGrace is how long after its deadline the dispatcher may end a response.
	endGrace time.Duration
}

// NewLimits returns the default limits: a request body of at most 4 MiB that
// arrives within 30 s; 4,096 generated tokens if the caller gives no limit, and
// at most 131,072; 10 s for each write; and 5 s after the deadline for the
// dispatcher to end a response.
func NewLimits() Limits {
	return Limits{
		maxBody:       4 << 20,
		defaultTokens: 4096,
		maxTokens:     131072,
		readTimeout:   30 * time.Second,
		writeTimeout:  10 * time.Second,
		endGrace:      5 * time.Second,
	}
}

// WithBody returns a copy of l that accepts request bodies of up to size bytes.
func (l Limits) WithBody(size int64) Limits {
	l.maxBody = size
	return l
}

// WithTokens returns a copy of l with the number of tokens generated when the
// caller gives no limit, and the largest limit that a caller may give.
func (l Limits) WithTokens(defaultTokens, maxTokens int) Limits {
	l.defaultTokens = defaultTokens
	l.maxTokens = maxTokens
	return l
}

// WithTimeouts returns a copy of l with the time limits for reading a body and
// for one write, and the time after a deadline within which the dispatcher must
// end the response.
func (l Limits) WithTimeouts(read, write, endGrace time.Duration) Limits {
	l.readTimeout = read
	l.writeTimeout = write
	l.endGrace = endGrace
	return l
}

// Server serves callers' requests. Its With methods must be called before
// Handler; the fields do not change afterwards.
type Server struct {
	codec  *cursor.Codec
	limits Limits
	// current returns the configuration in force, or nil before the first one.
	current func() *world.Config
	// generate passes a request to the dispatcher. It returns a problem if the
	// dispatcher did not accept the request and will put nothing into the ring.
	generate func(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem
	// disconnected tells the dispatcher that the caller of a request is gone. It
	// is called only for accepted requests whose last output was not read.
	disconnected func(id string)
	// call serves a request to a plain service.
	call  func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace)
	newID func() string
	now   func() time.Time
	// ready returns false during shutdown, when requests are still served but
	// connections are not kept alive.
	ready func() bool
	// observe receives a sample of the service-level objectives from each
	// accepted or refused request. Handlers call it concurrently.
	observe     func(s *burn.Sample)
	connections connections
}

// New returns a server that passes generation requests to generate and calls
// disconnected with the request id of a caller that disconnected before the end
// of its response.
func New(codec *cursor.Codec, current func() *world.Config,
	generate func(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem,
	disconnected func(id string)) *Server {
	return &Server{
		codec:        codec,
		limits:       NewLimits(),
		current:      current,
		generate:     generate,
		disconnected: disconnected,
		call:         noCall,
		newID:        uuid.NewString,
		now:          time.Now,
		ready:        func() bool { return true },
		observe:      func(*burn.Sample) {},
		connections: connections{
			byID: map[string]*connection{},
		},
	}
}

// WithLimits sets the limits for each request.
func (s *Server) WithLimits(l Limits) *Server {
	s.limits = l
	return s
}

// WithCall sets the function that serves requests to plain services. It gets a
// request whose body was read into memory and whose headers X-Request-Id and
// Traceparent are set, and a context that ends at the call's deadline.
func (s *Server) WithCall(call func(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace)) *Server {
	s.call = call
	return s
}

// WithID sets the function that returns a new request id, unique across all
// VMs.
func (s *Server) WithID(newID func() string) *Server {
	s.newID = newID
	return s
}

// WithClock sets the function that returns the current time.
func (s *Server) WithClock(now func() time.Time) *Server {
	s.now = now
	return s
}

// WithReady sets the function that reports whether the process is ready for new
// connections.
func (s *Server) WithReady(ready func() bool) *Server {
	s.ready = ready
	return s
}

// WithObserve sets the function that receives the sample of each request. It
// must not block and must be safe for concurrent use.
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
	m.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, &chatCompletions) })
	m.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, &textCompletions) })
	m.NotFound(s.plain)
	m.MethodNotAllowed(s.plain)
	return m
}

// HTTP returns a server for the callers' listener. It sets no WriteTimeout,
// which would limit the duration of a whole response. Reading a body and each
// write have their own deadlines.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// identify is middleware that sets the request id and the traceparent header,
// and closes connections while the process shuts down.
func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.newID()
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("Traceparent", traceparent(r.Header.Get("Traceparent"), id))
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
