package where

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/proxy"
)

const (
	// timeout bounds the time until the goroutine that owns the core has made the copy.
	timeout = time.Second
	// maxWaiting bounds the requests for explanations at a time. Each holds up to three
	// copies of what the VM knows, some 900 bytes for each upstream and copy.
	maxWaiting = 4
)

// Inspect calls a function, which must not change the core, in the goroutine that owns the
// core. It may return before that, and may not call it once ctx has ended.
type Inspect func(ctx context.Context, f func(now time.Time, c *proxy.Core))

// Handler serves explanations. It is safe for concurrent use.
type Handler struct {
	vm      string
	inspect Inspect
	// waiting holds one element for each request under way.
	waiting chan struct{}
}

// NewHandler returns a handler of the named VM.
func NewHandler(vm string, inspect Inspect) *Handler {
	return &Handler{
		vm:      vm,
		inspect: inspect,
		waiting: make(chan struct{}, maxWaiting),
	}
}

// snapshot is a copy of a core and the time at which it was made.
type snapshot struct {
	now  time.Time
	core *proxy.Core
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	k, err := key(r)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	s, err := parse(r.URL.Query(), k)
	if err != nil {
		h.writeError(w, http.StatusBadRequest, err)
		return
	}
	select {
	case h.waiting <- struct{}{}:
		defer func() { <-h.waiting }()
	default:
		h.writeError(w, http.StatusTooManyRequests, errors.Newf("%d explanations are under way; try again", maxWaiting))
		return
	}
	copied, err := h.copyCore(r.Context())
	if err != nil {
		h.writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	report, err := Explain(copied.now, h.vm, copied.core, s)
	switch {
	case errors.Is(err, ErrNoRoute):
		h.writeError(w, http.StatusNotFound, err)
	case err != nil:
		h.writeError(w, http.StatusServiceUnavailable, err)
	default:
		writeJSON(w, http.StatusOK, report)
	}
}

// copyCore returns a copy of the core that its goroutine makes.
func (h *Handler) copyCore(ctx context.Context) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	copies := make(chan snapshot, 1)
	h.inspect(ctx, func(now time.Time, c *proxy.Core) {
		if ctx.Err() != nil {
			return
		}
		copies <- snapshot{
			now:  now,
			core: c.Copy(0),
		}
	})
	select {
	case s := <-copies:
		return s, nil
	case <-ctx.Done():
		return snapshot{}, errors.Newf("the VM is too busy to explain a request within %s", timeout)
	}
}

func (h *Handler) writeError(w http.ResponseWriter, status int, err error) {
	body := ErrorBody{
		VM:     h.vm,
		Reason: err.Error(),
	}
	var f *FieldError
	if errors.As(err, &f) {
		body.Field, body.Reason = f.field, f.reason
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
