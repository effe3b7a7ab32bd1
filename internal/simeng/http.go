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

// tokensMax is the largest accepted max_tokens; it bounds a reader's memory.
const tokensMax = 65536

// killDelay is the time between the answer to POST /fault and the kill.
const killDelay = 20 * time.Millisecond

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

type cacheEventBody struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

type orderBody struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Op      string `json:"op"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

type faultBody struct {
	Mode    string   `json:"mode"`
	ForMS   int64    `json:"for_ms"`
	Factor  *float64 `json:"factor"`
	Kind    string   `json:"kind"`
	Version string   `json:"version"`
	Share   *float64 `json:"share"`
}

type statsBody struct {
	Generated uint64 `json:"generated"`
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Wasted    uint64 `json:"wasted"`
	Refused   uint64 `json:"refused"`
}

// door holds the HTTP handlers of one incarnation.
type door struct {
	engine *Engine
	life   *life
}

func (e *Engine) routes(l *life) http.Handler {
	d := &door{
		engine: e,
		life:   l,
	}
	r := chi.NewRouter()
	r.Post("/v1/completions", d.open)
	r.Get("/v1/streams/{request}/{attempt}", d.attach)
	r.Delete("/v1/streams/{request}/{attempt}", d.cancel)
	r.Get("/load", d.load)
	r.Get("/cache", d.cache)
	r.Post("/orders", d.order)
	r.Post("/fault", d.fault)
	r.Get("/stats", d.stats)
	return r
}

// ask runs f in the batch duty and returns its result, or false when the
// incarnation ended first. It doesn't end with the caller's connection: what a
// paused engine has received, it still does later.
func ask[T any](l *life, to *ring.Ring[command], f func(*batch, time.Time) T) (T, bool) {
	reply := make(chan T, 1)
	var none T
	if !to.Put(l.ctx, func(b *batch, now time.Time) { reply <- f(b, now) }) {
		return none, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-l.ctx.Done():
		return none, false
	}
}

// must is ask for a handler, which ends when there is no result.
func must[T any](d *door, r *http.Request, f func(*batch, time.Time) T) T {
	v, ok := ask(d.life, d.life.batch.commands, f)
	if !ok {
		host.Reset(r)
	}
	return v
}

type opened struct {
	stream *stream
	reader *reader
	status int
	// key is that of the stream when this reader began.
	key key
}

func (d *door) open(w http.ResponseWriter, r *http.Request) {
	var o openBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	prompt, err := o.check()
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if model := d.engine.set.model; model != "" && o.Model != model {
		refuse(w, http.StatusConflict, errors.Newf("model %q is not loaded", o.Model))
		return
	}
	s := newStream(&o, prompt)
	got := must(d, r, func(b *batch, now time.Time) opened {
		reader, status := b.open(s, now)
		return opened{
			stream: s,
			reader: reader,
			status: status,
			key:    s.key,
		}
	})
	if got.status == http.StatusServiceUnavailable {
		answer(w, got.status, map[string]any{"leaving": true})
		return
	}
	if got.reader == nil {
		refuse(w, got.status, errors.New(http.StatusText(got.status)))
		return
	}
	d.write(w, r, got)
}

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

func pathKey(r *http.Request) (key, bool) {
	attempt, err := strconv.ParseUint(chi.URLParam(r, "attempt"), 10, 32)
	return key{
		request: chi.URLParam(r, "request"),
		attempt: uint32(attempt),
	}, err == nil
}

func (d *door) attach(w http.ResponseWriter, r *http.Request) {
	k, ok := pathKey(r)
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil {
		refuse(w, http.StatusBadRequest, errors.New("attempt and offset must be numbers"))
		return
	}
	as := k.attempt
	if text := r.URL.Query().Get("as"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			refuse(w, http.StatusBadRequest, errors.New("as must be a number"))
			return
		}
		as = uint32(n)
	}
	got := must(d, r, func(b *batch, _ time.Time) opened {
		s, reader := b.attach(k, offset, as)
		return opened{
			stream: s,
			reader: reader,
			key: key{
				request: k.request,
				attempt: as,
			},
		}
	})
	if got.reader == nil {
		refuse(w, http.StatusNotFound, errors.New("unknown stream or offset"))
		return
	}
	d.write(w, r, got)
}

func (d *door) cancel(w http.ResponseWriter, r *http.Request) {
	k, ok := pathKey(r)
	if !ok {
		refuse(w, http.StatusBadRequest, errors.New("attempt must be a number"))
		return
	}
	if !must(d, r, func(b *batch, now time.Time) bool { return b.cancel(k, sigClose, now) }) {
		refuse(w, http.StatusNotFound, errors.New("unknown stream"))
		return
	}
	answer(w, http.StatusOK, map[string]any{"cancelled": true})
}

func (d *door) load(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, must(d, r, func(b *batch, now time.Time) loadBody { return b.load(now) }))
}

func (d *door) cache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	events := must(d, r, func(b *batch, now time.Time) []cacheEventBody { return b.cache.after(after, now) })
	answer(w, http.StatusOK, map[string]any{"events": events})
}

func (d *door) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	status := must(d, r, func(b *batch, now time.Time) int { return b.order(d.life.ctx, &o, now) })
	answer(w, status, map[string]any{"id": o.ID, "fence": d.engine.counts.fence.Load()})
}

func (d *door) fault(w http.ResponseWriter, r *http.Request) {
	var f faultBody
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	fault := f.fault()
	if fault.mode == Kill {
		// The connection of this request is reset like all others, so the
		// kill waits until the answer is out.
		time.AfterFunc(killDelay, func() { _ = d.engine.Inject(fault) })
		answer(w, http.StatusOK, map[string]any{"mode": f.Mode})
		return
	}
	if err := d.engine.Inject(fault); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"mode": f.Mode})
}

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

func (d *door) stats(w http.ResponseWriter, _ *http.Request) {
	c := d.engine.counts
	answer(w, http.StatusOK, statsBody{
		Generated: c.generated.Load(),
		Started:   c.started.Load(),
		Finished:  c.finished.Load(),
		Cancelled: c.cancelled.Load(),
		Wasted:    c.wasted.Load(),
		Refused:   c.refused.Load(),
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, status int, err error) {
	answer(w, status, map[string]any{"error": err.Error()})
}
