package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/front"
)

// burnTimeout bounds the wait for the counters of the other VMs. The report
// lists the VMs that did not answer in time.
const burnTimeout = 5 * time.Second

// Server serves operators' requests. WithRoute must be called before Handler;
// the fields do not change afterwards.
type Server struct {
	// ready returns false while the process starts and from the beginning of a
	// shutdown.
	ready func() bool
	// status returns what /upstreams shows, as a value for encoding/json.
	status  func() any
	metrics http.Handler
	// burn returns the burn report with the counters that arrive before ctx
	// ends.
	burn   func(ctx context.Context) *burn.Report
	routes []route
}

// route is an additional path of the listener.
type route struct {
	method  string
	path    string
	handler http.HandlerFunc
}

// New returns a server. ready decides the response of /readyz, status returns
// the value that /upstreams shows as JSON, metrics serves /metrics, and report
// returns the report for /burn. The functions must be safe for concurrent use.
func New(ready func() bool, status func() any, metrics http.Handler, report func(ctx context.Context) *burn.Report) *Server {
	return &Server{
		ready:   ready,
		status:  status,
		metrics: metrics,
		burn:    report,
	}
}

// WithRoute adds a path to the listener.
func (s *Server) WithRoute(method, path string, handler http.HandlerFunc) *Server {
	s.routes = append(s.routes, route{
		method:  method,
		path:    path,
		handler: handler,
	})
	return s
}

// Handler returns the handler for the operators' listener.
func (s *Server) Handler() http.Handler {
	m := chi.NewRouter()
	m.Get("/healthz", s.getHealth)
	m.Get("/readyz", s.getReady)
	m.Method(http.MethodGet, "/metrics", s.metrics)
	m.Get("/upstreams", s.getStatus)
	m.Get("/burn", s.getBurn)
	for _, r := range s.routes {
		m.Method(r.method, r.path, r.handler)
	}
	return m
}

// HTTP returns a server for the operators' listener.
func (s *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		WriteTimeout:      time.Minute,
		IdleTimeout:       2 * time.Minute,
	}
}

// getHealth always succeeds, which shows that the process serves HTTP.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(s.status())
}

// getBurn writes the burn report in the format that the query parameter "format"
// names: text, json or png.
func (s *Server) getBurn(w http.ResponseWriter, r *http.Request) {
	format := r.URL.Query().Get("format")
	contentTypes := map[string]string{
		"":     "text/plain; charset=utf-8",
		"text": "text/plain; charset=utf-8",
		"json": "application/json",
		"png":  "image/png",
	}
	if contentTypes[format] == "" {
		front.WriteProblem(w, errs.New(errs.Invalid, errs.NotRun, "format must be text, json or png, not %.20q", format))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), burnTimeout)
	defer cancel()
	report := s.burn(ctx)
	write := report.Text
	switch format {
	case "json":
		write = report.JSON
	case "png":
		write = report.PNG
	}
	var b bytes.Buffer
	if err := write(&b); err != nil {
		front.WriteProblem(w, errs.New(errs.Internal, errs.Unknown, "%v", err))
		return
	}
	w.Header().Set("Content-Type", contentTypes[format])
	_, _ = w.Write(b.Bytes())
}
