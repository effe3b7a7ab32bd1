package simsvc

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/simeng/host"
	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// bodyMax is the largest accepted request body in bytes.
const bodyMax = 1 << 20

// killDelay is the time between the answer to POST /fault and the kill.
const killDelay = 20 * time.Millisecond

// loadBody is the answer to GET /load.
type loadBody struct {
	Seq     uint64 `json:"seq"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// entryBody is one entry in the answer to GET /record.
type entryBody struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	Ref    string `json:"ref"`
	Key    string `json:"key,omitempty"`
}

// faultBody is the body of POST /fault.
type faultBody struct {
	Mode   string   `json:"mode"`
	ForMS  int64    `json:"for_ms"`
	Factor *float64 `json:"factor"`
	Count  int      `json:"count"`
}

// LookupValue returns the value that a lookup of path answers with. It depends
// only on the path and query.
func LookupValue(path string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(path)) }

// handlers holds the HTTP handlers of one incarnation, which ends with ctx.
type handlers struct {
	service *Service
	ctx     context.Context
}

func (s *Service) routes(ctx context.Context) http.Handler {
	h := &handlers{
		service: s,
		ctx:     ctx,
	}
	r := chi.NewRouter()
	r.Post("/fault", h.fault)
	r.Get("/record", h.record)
	r.Get("/load", h.load)
	r.HandleFunc("/*", h.call)
	return r
}

// call handles a lookup or booking.
func (h *handlers) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMax))
	if err != nil {
		host.Reset(r)
	}
	d, ok := execute(h.ctx, h.service, h.service.state.commands, (*state).admit)
	if !ok {
		host.Reset(r)
	}
	if d.refusal != 0 {
		w.Header().Set("X-Not-Run", "true")
		writeJSON(w, d.refusal, map[string]any{"leaving": d.mode == Leaving})
		return
	}
	h.failBefore(r, d)
	if d.mode == ErrorBefore {
		writeInjectedError(w)
		return
	}
	number := h.work(r, body, d)
	h.finish(w, r, d, number)
}

// failBefore ends the handler if a fault fails the call before it runs.
func (h *handlers) failBefore(r *http.Request, d decision) {
	switch d.mode {
	case ResetBefore:
		host.Reset(r)
	case HangBefore:
		h.hang(r)
	}
}

// work takes the working time and records the call. It continues when the caller
// disconnects, but not when the service is killed.
func (h *handlers) work(r *http.Request, body []byte, d decision) int {
	timer := time.NewTimer(time.Duration(float64(h.service.settings.work) * d.factor))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.ctx.Done():
		host.Reset(r)
	}
	var reference struct {
		Ref string `json:"ref"`
	}
	// The reference is optional, as is the body.
	_ = json.Unmarshal(body, &reference)
	digest := sha256.Sum256(body)
	number, ok := execute(h.ctx, h.service, h.service.state.commands, func(s *state) int {
		return s.recordCall(Entry{
			method: r.Method,
			path:   r.URL.RequestURI(),
			digest: hex.EncodeToString(digest[:8]),
			ref:    reference.Ref,
			key:    r.Header.Get("Idempotency-Key"),
		})
	})
	if !ok {
		host.Reset(r)
	}
	return number
}

// finish answers a call that has run, unless a fault prevents it.
func (h *handlers) finish(w http.ResponseWriter, r *http.Request, d decision, number int) {
	switch d.mode {
	case ResetAfter:
		host.Reset(r)
	case HangAfter:
		h.hang(r)
	case ErrorAfter:
		writeInjectedError(w)
		return
	}
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, map[string]any{"value": LookupValue(r.URL.RequestURI())})
		return
	}
	writeJSON(w, http.StatusCreated, map[string]any{"number": number})
}

// hang leaves the call unanswered until the caller disconnects or the service
// stops.
func (h *handlers) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-h.ctx.Done():
	}
	host.Reset(r)
}

func (h *handlers) fault(w http.ResponseWriter, r *http.Request) {
	var f faultBody
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	fault := NewFault(f.Mode, time.Duration(f.ForMS)*time.Millisecond).WithCount(f.Count)
	if f.Factor != nil {
		fault = fault.WithFactor(*f.Factor)
	}
	if f.Mode == Kill {
		// The kill also resets the connection of this request, so it is delayed
		// until the answer is sent.
		time.AfterFunc(killDelay, func() { _ = h.service.Inject(fault) })
	} else if err := h.service.Inject(fault); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"mode": f.Mode})
}

func (h *handlers) record(w http.ResponseWriter, _ *http.Request) {
	entries := []entryBody{}
	for _, e := range h.service.Record() {
		entries = append(entries, entryBody{
			Method: e.method,
			Path:   e.path,
			Digest: e.digest,
			Ref:    e.ref,
			Key:    e.key,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries})
}

func (h *handlers) load(w http.ResponseWriter, r *http.Request) {
	report, ok := execute(h.ctx, h.service, h.service.state.commands, (*state).load)
	if !ok {
		host.Reset(r)
	}
	writeJSON(w, http.StatusOK, report)
}

func writeInjectedError(w http.ResponseWriter) {
	writeJSON(w, http.StatusInternalServerError, map[string]any{"error": "injected"})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the peer has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
