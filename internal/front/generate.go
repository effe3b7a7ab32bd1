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

// complete answers a request for a generation.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, sh *shape) {
	m, ws, p := s.owner(r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	body, p := s.body(w, r)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	in, p := parse(body)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	sum := digest(ws, sh.path, body)
	rq, p := s.request(r, sh, m, ws, in, sum)
	if p != nil {
		WriteProblem(w, p)
		return
	}
	w.Header().Set("X-Request-Id", rq.ID())
	s.serve(r.Context(), newCaller(s, w, rq, sh, in, sum, m.Service(rq.Service()).Contract()))
}

// request builds the dispatcher's request.
func (s *Server) request(r *http.Request, sh *shape, m *world.Map, ws *world.Workspace, in *input, sum uint64) (*relay.Request, *errs.Problem) {
	sv := m.Service(in.Model)
	if sv == nil || sv.Kind() != world.Engine {
		return nil, unknownModel(in.Model)
	}
	cur, p := s.position(r, in, sum)
	if p != nil {
		return nil, p
	}
	id := r.Header.Get("X-Request-Id")
	if cur != nil {
		id = cur.Request()
	}
	left, p := allowed(r, sv.Contract().Deadline())
	if p != nil {
		return nil, p
	}
	limit, p := in.limit(s.limits)
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
	rq := relay.NewRequest(id, sv.Name(), ws.Name(), class(r, ws), s.now().Add(left)).
		WithTrace(r.Header.Get("Traceparent"))
	if p := in.put(rq, sh); p != nil {
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

// position returns the verified cursor of a caller that reconnects, or nil.
func (s *Server) position(r *http.Request, in *input, sum uint64) (*cursor.Cursor, *errs.Problem) {
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
	case cur.Body() != sum:
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

// serve hands the request to the dispatcher and writes its outputs.
func (s *Server) serve(ctx context.Context, c *caller) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { s.observe(c.measure.sample) }()
	out := ring.New[relay.Output](outputs, ring.Refuse)
	id := c.request.ID()
	held := s.seats.take(id, cancel)
	if p := s.generate(ctx, c.request, out); p != nil {
		// A response taken over from an older connection is still in flight.
		s.seats.free(id, held, !held.heir, s.leave)
		c.fail(p)
		return
	}
	finished := s.pass(ctx, c, out)
	s.seats.free(id, held, finished, s.leave)
	if !finished && ctx.Err() != nil {
		// A connection that lost its response to a newer one must not look like
		// one that ended in order.
		panic(http.ErrAbortHandler)
	}
}

// pass writes outputs until the last one and reports whether it was read. It
// also ends a response whose dispatcher gave up because the ring was full, and
// one that the dispatcher has not ended some time after its deadline.
func (s *Server) pass(ctx context.Context, c *caller, out *ring.Ring[relay.Output]) bool {
	guard := time.NewTimer(c.request.Deadline().Sub(s.now()) + s.limits.grace)
	defer guard.Stop()
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
		case <-guard.C:
			c.fail(errs.New(errs.Expired, c.outcome(), "the response did not end by its deadline"))
			return false
		}
	}
}
