package simeng

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/simeng/host"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
)

// tokensMax is the largest accepted max_tokens. It bounds the memory of a
// reader's ring.
const tokensMax = 65536

// killDelay is the time between the answer to POST /fault and the kill.
const killDelay = 20 * time.Millisecond

// openBody is the body of POST /v1/completions.
type openBody struct {
	Request     string          `json:"request"`
	Attempt     uint32          `json:"attempt"`
	Model       string          `json:"model"`
	Version     string          `json:"version"`
	Adapter     string          `json:"adapter"`
	Prompt      string          `json:"prompt"`
	Messages    json.RawMessage `json:"messages"`
	Prefix      []uint32        `json:"prefix"`
	MaxTokens   int             `json:"max_tokens"`
	Seed        uint64          `json:"seed"`
	Temperature *float64        `json:"temperature"`
	TopP        *float64        `json:"top_p"`
	Stop        []string        `json:"stop"`
	Priority    int             `json:"priority"`
}

// loadBody is the answer to GET /load.
type loadBody struct {
	Incarnation uint64   `json:"incarnation"`
	Seq         uint64   `json:"seq"`
	AgeMS       int64    `json:"age_ms"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Slots       int      `json:"slots"`
	GapMS       float64  `json:"gap_ms"`
	Versions    []string `json:"versions"`
	Role        string   `json:"role"`
	Leaving     bool     `json:"leaving"`
}

// cacheEventBody is one event in the answer to GET /cache.
type cacheEventBody struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

// orderBody is the body of POST /orders.
type orderBody struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Op      string `json:"op"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// faultBody is the body of POST /fault.
type faultBody struct {
	Mode    string   `json:"mode"`
	ForMS   int64    `json:"for_ms"`
	Factor  *float64 `json:"factor"`
	Kind    string   `json:"kind"`
	Version string   `json:"version"`
	Share   *float64 `json:"share"`
}

// statsBody is the answer to GET /stats.
type statsBody struct {
	Generated uint64 `json:"generated"`
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Wasted    uint64 `json:"wasted"`
	Refused   uint64 `json:"refused"`
}

// handlers holds the HTTP handlers of one incarnation.
type handlers struct {
	engine      *Engine
	incarnation *incarnation
}

func (e *Engine) routes(inc *incarnation) http.Handler {
	h := &handlers{
		engine:      e,
		incarnation: inc,
	}
	r := chi.NewRouter()
	r.Post("/v1/completions", h.open)
	r.Get("/v1/streams/{request}/{attempt}", h.attach)
	r.Delete("/v1/streams/{request}/{attempt}", h.cancel)
	r.Get("/load", h.load)
	r.Get("/cache", h.cache)
	r.Post("/orders", h.order)
	r.Post("/fault", h.fault)
	r.Get("/stats", h.stats)
	return r
}

// runOnBatch runs f in the batch goroutine and returns its result, or false if
// the incarnation ends first. It doesn't depend on the caller's connection: a
// paused engine still executes the requests it received when it resumes.
func runOnBatch[T any](inc *incarnation, queue *ring.Ring[command], f func(*batch, time.Time) T) (T, bool) {
	reply := make(chan T, 1)
	var zero T
	if !queue.Put(inc.ctx, func(b *batch, now time.Time) { reply <- f(b, now) }) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-inc.ctx.Done():
		return zero, false
	}
}

// runOrReset is runOnBatch for a handler. Without a result it resets the
// connection and ends the handler.
func runOrReset[T any](h *handlers, r *http.Request, f func(*batch, time.Time) T) T {
	v, ok := runOnBatch(h.incarnation, h.incarnation.batch.commands, f)
	if !ok {
		host.Reset(r)
	}
	return v
}

// openResult is the outcome of opening or attaching to a stream.
type openResult struct {
	stream *stream
	reader *reader
	status int
	// key is the stream's key when the reader was attached. A later attach may
	// change the stream's own.
	key key
}

func (h *handlers) open(w http.ResponseWriter, r *http.Request) {
	var o openBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	prompt, err := o.check()
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if model := h.engine.settings.model; model != "" && o.Model != model {
		writeError(w, http.StatusConflict, errors.Newf("model %q is not loaded", o.Model))
		return
	}
	s := newStream(&o, prompt)
	result := runOrReset(h, r, func(b *batch, now time.Time) openResult {
		reader, status := b.open(s, now)
		return openResult{
			stream: s,
			reader: reader,
			status: status,
			key:    s.key,
		}
	})
	if result.status == http.StatusServiceUnavailable {
		writeJSON(w, result.status, map[string]any{"leaving": true})
		return
	}
	if result.reader == nil {
		writeError(w, result.status, errors.New(http.StatusText(result.status)))
		return
	}
	h.writeStream(w, r, result)
}

// check validates the body and returns the prompt text.
func (o *openBody) check() (string, error) {
	if string(o.Messages) == "null" {
		o.Messages = nil
	}
	switch {
	case o.Request == "":
		return "", errors.New("request is missing")
	case o.MaxTokens < 1 || o.MaxTokens > tokensMax:
		return "", errors.Newf("max_tokens must be from 1 to %d", tokensMax)
	case len(o.Prefix) > o.MaxTokens:
		return "", errors.New("prefix is longer than max_tokens")
	case (o.Prompt == "") == (len(o.Messages) == 0):
		return "", errors.New("one of prompt and messages is needed")
	case len(o.Messages) > 0:
		return Prompt(o.Messages)
	}
	return o.Prompt, nil
}

// pathKey returns the stream key in the request's path; ok is false if the
// attempt isn't a number.
func pathKey(r *http.Request) (key, bool) {
	attempt, err := strconv.ParseUint(chi.URLParam(r, "attempt"), 10, 32)
	return key{
		request: chi.URLParam(r, "request"),
		attempt: uint32(attempt),
	}, err == nil
}

func (h *handlers) attach(w http.ResponseWriter, r *http.Request) {
	k, ok := pathKey(r)
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil {
		writeError(w, http.StatusBadRequest, errors.New("attempt and offset must be numbers"))
		return
	}
	newAttempt := k.attempt
	if text := r.URL.Query().Get("as"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			writeError(w, http.StatusBadRequest, errors.New("as must be a number"))
			return
		}
		newAttempt = uint32(n)
	}
	result := runOrReset(h, r, func(b *batch, _ time.Time) openResult {
		s, reader := b.attach(k, offset, newAttempt)
		return openResult{
			stream: s,
			reader: reader,
			key: key{
				request: k.request,
				attempt: newAttempt,
			},
		}
	})
	if result.reader == nil {
		writeError(w, http.StatusNotFound, errors.New("unknown stream or offset"))
		return
	}
	h.writeStream(w, r, result)
}

func (h *handlers) cancel(w http.ResponseWriter, r *http.Request) {
	k, ok := pathKey(r)
	if !ok {
		writeError(w, http.StatusBadRequest, errors.New("attempt must be a number"))
		return
	}
	if !runOrReset(h, r, func(b *batch, now time.Time) bool { return b.cancel(k, sigClose, now) }) {
		writeError(w, http.StatusNotFound, errors.New("unknown stream"))
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"cancelled": true})
}

func (h *handlers) load(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, runOrReset(h, r, func(b *batch, now time.Time) loadBody { return b.load(now) }))
}

func (h *handlers) cache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	events := runOrReset(h, r, func(b *batch, now time.Time) []cacheEventBody { return b.cache.after(after, now) })
	writeJSON(w, http.StatusOK, map[string]any{"events": events})
}

func (h *handlers) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	status := runOrReset(h, r, func(b *batch, now time.Time) int { return b.order(h.incarnation.ctx, &o, now) })
	writeJSON(w, status, map[string]any{"id": o.ID, "fence": h.engine.counters.fence.Load()})
}

func (h *handlers) fault(w http.ResponseWriter, r *http.Request) {
	var f faultBody
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	fault := f.fault()
	if fault.mode == Kill {
		// The kill also resets the connection of this request, so it is delayed
		// until the answer is sent.
		time.AfterFunc(killDelay, func() { _ = h.engine.Inject(fault) })
		writeJSON(w, http.StatusOK, map[string]any{"mode": f.Mode})
		return
	}
	if err := h.engine.Inject(fault); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"mode": f.Mode})
}

// fault returns the fault that the body describes.
func (f *faultBody) fault() Fault {
	fault := NewFault(f.Mode, time.Duration(f.ForMS)*time.Millisecond).WithVersion(f.Version)
	if f.Factor != nil {
		fault = fault.WithFactor(*f.Factor)
	}
	if f.Share != nil {
		fault = fault.WithShare(*f.Share)
	}
	if f.Kind != "" {
		fault = fault.WithKind(f.Kind)
	}
	return fault
}

func (h *handlers) stats(w http.ResponseWriter, _ *http.Request) {
	c := h.engine.counters
	writeJSON(w, http.StatusOK, statsBody{
		Generated: c.generated.Load(),
		Started:   c.started.Load(),
		Finished:  c.finished.Load(),
		Cancelled: c.cancelled.Load(),
		Wasted:    c.wasted.Load(),
		Refused:   c.refused.Load(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the peer has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, map[string]any{"error": err.Error()})
}
