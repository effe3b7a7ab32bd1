package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5/middleware"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
)

// plain answers a request to a plain service by its declared route.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	m, ws, p := s.owner(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	sv, rt := m.Route(r.Method, r.URL.Path)
	if rt == nil {
		WriteProblem(w, errs.New(errs.NotFound, errs.NotRun, "no route is declared for %s %.100q", r.Method, r.URL.Path))
		return
	}
	left, p := allowed(r, callTime(sv, rt))
	if p != nil {
		WriteProblem(w, p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	body, p := s.body(w, r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	restore(r, body)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(left + s.limits.write))
	status := middleware.NewWrapResponseWriter(w, r.ProtoMajor)
	s.call(ctx, status, r, sv, rt, ws)
	s.observe(measureCall(sv.Name(), ws.Name(), status.Status(), ctx.Err() == nil, r.Context().Err() != nil))
}

// callTime returns the route's deadline, or else the service's.
func callTime(sv *world.Service, rt *world.Route) time.Duration {
	if rt.Deadline() > 0 {
		return rt.Deadline()
	}
	return sv.Contract().Deadline()
}
