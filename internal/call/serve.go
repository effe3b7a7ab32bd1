package call

import (
	"context"
	"io"
	"net/http"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/front"
	"clementinelink.example/clementinelink/internal/plain"
	"clementinelink.example/clementinelink/internal/world"
	"github.com/google/uuid"
)

const (
	// maxRequestBytes is the largest accepted request body. Bodies are held in
	// memory for retries and for their digest.
	maxRequestBytes = 4 << 20
	// maxKeyBytes is the longest accepted idempotency key.
	maxKeyBytes = 255
)

// Serve answers a caller's request on a route of a plain service. It reads the
// body, up to 4 MiB, and returns when the answer was written or the caller has
// left, which ends r's context. The deadline of the call is that of ctx, or the
// route's if ctx has none.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, r *http.Request, service *world.Service, rt *world.Route, ws *world.Workspace) {
	rq, problem := s.newRequest(ctx, r, service, rt, ws)
	if problem != nil {
		front.WriteProblem(w, problem)
		return
	}
	if !s.arrivals.Put(r.Context(), rq) {
		front.WriteProblem(w, errs.New(errs.Overload, errs.NotRun, "too many calls wait").WithRetry(retryAfter))
		return
	}
	select {
	case p := <-rq.reply:
		writeReply(w, p)
	case <-r.Context().Done():
		rq.callerLeft.Store(true)
		s.post(message{
			callerLeft: rq,
		})
	case <-s.runCtx.Done():
		front.WriteProblem(w, errs.New(errs.Unavailable, errs.Unknown, "the VM shuts down"))
	}
}

func (s *Server) newRequest(ctx context.Context, r *http.Request, service *world.Service, rt *world.Route, ws *world.Workspace) (*request, *errs.Problem) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = s.now().Add(rt.Deadline())
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil {
		return nil, errs.New(errs.Invalid, errs.NotRun, "the body could not be read: %v", err)
	}
	if len(body) > maxRequestBytes {
		return nil, errs.New(errs.Invalid, errs.NotRun, "the body is over %d bytes", maxRequestBytes)
	}
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) > 1 || len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes) {
		return nil, errs.New(errs.Invalid, errs.NotRun, "Idempotency-Key must be one value of 1 to %d bytes", maxKeyBytes)
	}
	uri := r.URL.RequestURI()
	rq := &request{
		number:   s.lastNumber.Add(1),
		service:  service,
		route:    rt,
		call:     plain.NewCall(uuid.NewString(), r.Method, uri, r.Header.Clone(), body, deadline),
		deadline: deadline,
		reply:    make(chan reply, 1),
	}
	if len(keys) == 1 && !rt.Idempotent() {
		rq.keyed = true
		rq.key = claim.Key(ws.Name(), keys[0])
		rq.body = claim.Body(r.Method, uri, body)
	}
	return rq, nil
}

func writeReply(w http.ResponseWriter, p reply) {
	if p.replayed {
		w.Header().Set("Idempotency-Replayed", "true")
	}
	if p.problem != nil {
		front.WriteProblem(w, p.problem)
		return
	}
	for k, v := range p.answer.Header() {
		w.Header()[k] = v
	}
	if p.answer.ContentType() != "" {
		w.Header().Set("Content-Type", p.answer.ContentType())
	}
	w.WriteHeader(p.answer.Status())
	// A write fails if the caller has left. A repeat with the same key gets the
	// stored answer.
	_, _ = w.Write(p.answer.Body())
}
