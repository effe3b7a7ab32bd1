package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5/middleware"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

// plain serves a request to a plain service, selected by its declared route.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	m, ws, p := s.authenticate(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	sv, rt := m.Route(r.Method, r.URL.Path)
	if rt == nil {
		WriteProblem(w, errs.New(errs.NotFound, errs.NotRun, "no route is declared for %s %.100q", r.Method, r.URL.Path))
		return
	}
	timeout, p := requestTimeout(r, callDeadline(sv, rt))
	if p != nil {
		WriteProblem(w, p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	body, p := s.readBody(w, r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	restoreBody(r, body)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + s.limits.writeTimeout))
	recorder := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	s.call(ctx, recorder, r, sv, rt, ws)
	s.observe(newCallSample(sv.Name(), ws.Name(), recorder.Status(), ctx.Err() == nil, r.Context().Err() != nil))
}

// callDeadline returns the route's deadline, or the service's if the route has
// none.
func callDeadline(sv *world.Service, rt *world.Route) time.Duration {
	if rt.Deadline() > 0 {
		return rt.Deadline()
	}
	return sv.Contract().Deadline()
}
