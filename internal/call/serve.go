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
	// maxRequest is the largest request body in bytes; it is held in memory for
	// retries and its digest.
	maxRequest = 4 << 20
	// maxKey is the largest idempotency key in bytes.
	maxKey = 255
)

// Serve answers a caller's request on a route of a plain service. It reads the
// body, up to 4 MiB, and returns when the caller has its answer or has left. The
// call's deadline is that of ctx, or else the route's; r's own context ends when
// the caller leaves.
func (d *Desk) Serve(ctx context.Context, w http.ResponseWriter, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace) {
	t, problem := d.ticket(ctx, r, s, rt, ws)
	if problem != nil {
		front.WriteProblem(w, problem)
		return
	}
	if !d.arrivals.Put(r.Context(), t) {
		front.WriteProblem(w, errs.New(errs.Overload, errs.NotRun, "too many calls wait").WithRetry(retryAfter))
		return
	}
	select {
	case p := <-t.reply:
		write(w, p)
	case <-r.Context().Done():
		t.left.Store(true)
		d.post(message{
			gone: t,
		})
	case <-d.life.Done():
		front.WriteProblem(w, errs.New(errs.Unavailable, errs.Unknown, "the VM shuts down"))
	}
}

func (d *Desk) ticket(ctx context.Context, r *http.Request, s *world.Service, rt *world.Route, ws *world.Workspace) (*ticket, *errs.Problem) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = d.now().Add(rt.Deadline())
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest+1))
	if err != nil {
		return nil, errs.New(errs.Invalid, errs.NotRun, "the body could not be read: %v", err)
	}
	if len(body) > maxRequest {
		return nil, errs.New(errs.Invalid, errs.NotRun, "the body is over %d bytes", maxRequest)
	}
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) > 1 || len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKey) {
		return nil, errs.New(errs.Invalid, errs.NotRun, "Idempotency-Key must be one value of 1 to %d bytes", maxKey)
	}
	uri := r.URL.RequestURI()
	t := &ticket{
		number:   d.numbers.Add(1),
		service:  s,
		route:    rt,
		call:     plain.NewCall(uuid.NewString(), r.Method, uri, r.Header.Clone(), body, deadline),
		deadline: deadline,
		reply:    make(chan reply, 1),
	}
	if len(keys) == 1 && !rt.Idempotent() {
		t.keyed = true
		t.key = claim.Key(ws.Name(), keys[0])
		t.body = claim.Body(r.Method, uri, body)
	}
	return t, nil
}

func write(w http.ResponseWriter, p reply) {
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
	// A failed write means that the caller left; its repeat gets the stored
	// answer.
	_, _ = w.Write(p.answer.Body())
}
