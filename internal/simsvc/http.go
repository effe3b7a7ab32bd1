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

// bodyMax is the largest accepted body in bytes.
const bodyMax = 1 << 20

// killDelay is the time between the answer to POST /fault and the kill.
const killDelay = 20 * time.Millisecond

type loadBody struct {
	Seq     uint64 `json:"seq"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

type entryBody struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Digest string `json:"digest"`
	Ref    string `json:"ref"`
	Key    string `json:"key,omitempty"`
}

type faultBody struct {
	Mode   string   `json:"mode"`
	ForMS  int64    `json:"for_ms"`
	Factor *float64 `json:"factor"`
	Count  int      `json:"count"`
}

// Value returns the answer of a lookup, which depends on its path only.
func Value(path string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(path)) }

// counter holds the HTTP handlers of one incarnation.
type counter struct {
	service *Service
	life    context.Context
}

func (s *Service) routes(life context.Context) http.Handler {
	c := &counter{
		service: s,
		life:    life,
	}
	r := chi.NewRouter()
	r.Post("/fault", c.fault)
	r.Get("/record", c.record)
	r.Get("/load", c.load)
	r.HandleFunc("/*", c.call)
	return r
}

func (c *counter) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMax))
	if err != nil {
		host.Reset(r)
	}
	p, ok := ask(c.life, c.service, c.service.desk.commands, (*desk).enter)
	if !ok {
		host.Reset(r)
	}
	if p.refusal != 0 {
		w.Header().Set("X-Not-Run", "true")
		answer(w, p.refusal, map[string]any{"leaving": p.mode == Leaving})
		return
	}
	c.before(r, p)
	if p.mode == ErrorBefore {
		fail(w)
		return
	}
	number := c.work(r, body, p)
	c.after(w, r, p, number)
}

func (c *counter) before(r *http.Request, p plan) {
	switch p.mode {
	case ResetBefore:
		host.Reset(r)
	case HangBefore:
		c.hang(r)
	}
}

// work runs the call. It goes on when the caller has gone, but not when the
// service is killed first.
func (c *counter) work(r *http.Request, body []byte, p plan) int {
	timer := time.NewTimer(time.Duration(float64(c.service.set.work) * p.factor))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.life.Done():
		host.Reset(r)
	}
	var named struct {
		Ref string `json:"ref"`
	}
	// A body without a reference, or none at all, is a call like any other.
	_ = json.Unmarshal(body, &named)
	digest := sha256.Sum256(body)
	number, ok := ask(c.life, c.service, c.service.desk.commands, func(k *desk) int {
		return k.book(Entry{
			method: r.Method,
			path:   r.URL.RequestURI(),
			digest: hex.EncodeToString(digest[:8]),
			ref:    named.Ref,
			key:    r.Header.Get("Idempotency-Key"),
		})
	})
	if !ok {
		host.Reset(r)
	}
	return number
}

func (c *counter) after(w http.ResponseWriter, r *http.Request, p plan, number int) {
	switch p.mode {
	case ResetAfter:
		host.Reset(r)
	case HangAfter:
		c.hang(r)
	case ErrorAfter:
		fail(w)
		return
	}
	if r.Method == http.MethodGet {
		answer(w, http.StatusOK, map[string]any{"value": Value(r.URL.RequestURI())})
		return
	}
	answer(w, http.StatusCreated, map[string]any{"number": number})
}

// hang leaves the connection silent until the peer or the service ends it.
func (c *counter) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-c.life.Done():
	}
	host.Reset(r)
}

func (c *counter) fault(w http.ResponseWriter, r *http.Request) {
	var f faultBody
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	fault := NewFault(f.Mode, time.Duration(f.ForMS)*time.Millisecond).WithCount(f.Count)
	if f.Factor != nil {
		fault = fault.WithFactor(*f.Factor)
	}
	if f.Mode == Kill {
		// The connection of this request is reset like all others, so the
		// kill waits until the answer is out.
		time.AfterFunc(killDelay, func() { _ = c.service.Inject(fault) })
	} else if err := c.service.Inject(fault); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	answer(w, http.StatusOK, map[string]any{"mode": f.Mode})
}

func (c *counter) record(w http.ResponseWriter, _ *http.Request) {
	entries := []entryBody{}
	for _, e := range c.service.Record() {
		entries = append(entries, entryBody{
			Method: e.method,
			Path:   e.path,
			Digest: e.digest,
			Ref:    e.ref,
			Key:    e.key,
		})
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries})
}

func (c *counter) load(w http.ResponseWriter, r *http.Request) {
	report, ok := ask(c.life, c.service, c.service.desk.commands, (*desk).load)
	if !ok {
		host.Reset(r)
	}
	answer(w, http.StatusOK, report)
}

func fail(w http.ResponseWriter) {
	answer(w, http.StatusInternalServerError, map[string]any{"error": "injected"})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
