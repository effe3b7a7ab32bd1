package front

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/world"
)

// complete serves a request to a generation endpoint.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, ep *endpoint) {
	m, ws, p := s.authenticate(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	body, p := s.readBody(w, r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	in, p := parse(body)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	digest := requestDigest(ws, ep.path, body)
	rq, p := s.newRequest(r, ep, m, ws, in, digest)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	w.Header().Set("X-Request-Id", rq.ID())
	s.serve(r.Context(), newCaller(s, w, rq, ep, in, digest, m.Service(rq.Service()).Contract()))
}

// newRequest returns the request for the dispatcher. If the caller reconnects,
// the request keeps the id and seed of its cursor.
func (s *Server) newRequest(r *http.Request, ep *endpoint, m *world.Config, ws *world.Workspace, in *input, digest uint64) (*relay.Request, *errs.Problem) {
	sv := m.Service(in.Model)
	if sv == nil || sv.Kind() != world.Engine {
		return nil, unknownModel(in.Model)
	}
	cur, p := s.resumeCursor(r, in, digest)
	if p != nil {
		return nil, p
	}
	id := r.Header.Get("X-Request-Id")
	if cur != nil {
		id = cur.Request()
	}
	timeout, p := requestTimeout(r, sv.Contract().Deadline())
	if p != nil {
		return nil, p
	}
	limit, p := in.tokenLimit(s.limits)
	if p != nil {
		return nil, p
	}
	seed, p := in.seed(id)
	if p != nil {
		return nil, p
	}
	sampling, p := in.sampling()
	if p != nil {
		return nil, p
	}
	rq := relay.NewRequest(id, sv.Name(), ws.Name(), requestClass(r, ws), s.now().Add(timeout)).
		WithTrace(r.Header.Get("Traceparent"))
	if p := in.setPrompt(rq, ep); p != nil {
		return nil, p
	}
	if in.Stream {
		rq.WithGrace(reconnectGrace)
	}
	if cur != nil {
		seed = cur.Seed()
		rq.WithResume(cur.Resume())
	}
	return rq.WithSampling(limit, seed, sampling), nil
}

// resumeCursor returns the verified cursor of a caller that reconnects, or nil
// if the request has none.
func (s *Server) resumeCursor(r *http.Request, in *input, digest uint64) (*cursor.Cursor, *errs.Problem) {
	id := r.Header.Get("Last-Event-ID")
	if id == "" {
		return nil, nil
	}
	if !in.Stream {
		return nil, invalid("header Last-Event-ID is given, but stream is not true")
	}
	cur, err := s.codec.Decode(id)
	switch {
	case errors.Is(err, cursor.ErrForged):
		return nil, invalid("header Last-Event-ID is not signed by this system")
	case err != nil:
		return nil, invalid("header Last-Event-ID is not a cursor")
	case cur.Body() != digest:
		return nil, invalid("header Last-Event-ID belongs to another request; the workspace, path and body must be the same")
	}
	return cur, nil
}

func unknownModel(name string) *errs.Problem {
	if name == "" {
		return invalid("model is missing")
	}
	return errs.New(errs.NotFound, errs.NotRun, "model %.100q is not declared", name)
}

// serve passes the request to the dispatcher and writes its outputs.
func (s *Server) serve(ctx context.Context, c *caller) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { s.observe(c.sampler.sample) }()
	out := ring.New[relay.Output](outputCap, ring.Refuse)
	id := c.request.ID()
	conn := s.connections.register(id, cancel)
	if p := s.generate(ctx, c.request, out); p != nil {
		// A response that was taken over from an older connection is still in
		// flight, so its caller must be reported as disconnected.
		s.connections.release(id, conn, !conn.takenOver, s.disconnected)
		c.fail(p)
		return
	}
	finished := s.relayOutputs(ctx, c, out)
	s.connections.release(id, conn, finished, s.disconnected)
	if !finished && ctx.Err() != nil {
		// Abort, so that a connection whose response was taken over by a newer one
		// does not look as if the response were complete.
		panic(http.ErrAbortHandler)
	}
}

// relayOutputs writes outputs to the caller and reports whether the last one
// was read. It ends the response itself if the dispatcher found the ring full,
// or if the dispatcher has not ended it by the deadline plus the grace time.
func (s *Server) relayOutputs(ctx context.Context, c *caller, out *ring.Ring[relay.Output]) bool {
	overdue := time.NewTimer(c.request.Deadline().Sub(s.now()) + s.limits.endGrace)
	defer overdue.Stop()
	for {
		if out.Len() == 0 && out.Refused() > 0 {
			c.fail(errs.New(errs.Slow, errs.Ran, "the caller is %d tokens behind", out.Cap()))
			return false
		}
		select {
		case o := <-out.Out():
			if done, ok := c.accept(o); done || !ok {
				return done
			}
		case <-ctx.Done():
			return false
		case <-overdue.C:
			c.fail(errs.New(errs.Expired, c.outcome(), "the response did not end by its deadline"))
			return false
		}
	}
}
