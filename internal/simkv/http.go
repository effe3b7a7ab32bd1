package simkv

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// callKind is the kind under which a call is counted and rate-limited.
type callKind uint8

const (
	read callKind = iota
	write
	watch
)

// headerEra names the era in all answers.
const headerEra = "Era"

// response is the answer to a call. A status of 0 means that there is none.
type response struct {
	status int
	body   any
	// era is the era in which the call was performed, or 0 for one that was not.
	era uint64
}

// handler returns the routes of the API.
func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/kv/*", s.withFaults(read, s.get))
	r.Put("/kv/*", s.withFaults(write, s.put))
	r.Delete("/kv/*", s.withFaults(write, s.remove))
	r.Get("/kv", s.withFaults(read, s.list))
	r.Get("/watch", s.withFaults(watch, s.watch))
	r.Post("/leases", s.withFaults(write, s.grant))
	r.Post("/leases/{id}/renew", s.withFaults(write, s.renew))
	r.Delete("/leases/{id}", s.withFaults(write, s.revoke))
	r.Post("/fault", s.fault)
	r.Get("/stats", s.reportStats)
	return r
}

// withFaults applies rate limits and faults to the calls of a handler.
func (s *Server) withFaults(k callKind, next func(*http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decided := make(chan decision, 1)
		if !s.execute(r.Context(), func() { decided <- s.admit(k) }) {
			panic(http.ErrAbortHandler)
		}
		v := <-decided
		if v.hang > 0 {
			sleep(r.Context(), v.hang)
			panic(http.ErrAbortHandler)
		}
		if v.status != 0 {
			w.Header().Set("Retry-After", "1")
			w.Header().Set(headerEra, strconv.FormatUint(v.era, 10))
			w.WriteHeader(v.status)
			return
		}
		if !sleep(r.Context(), v.delay) || v.cutBefore {
			panic(http.ErrAbortHandler)
		}
		a := next(r)
		if v.cutAfter || a.status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerEra, strconv.FormatUint(max(a.era, v.era), 10))
		writeResponse(w, a)
	}
}

// admit counts a call and applies rate limits, then faults.
func (s *Server) admit(k callKind) decision {
	limit := s.reads
	switch k {
	case read:
		s.stats.reads++
	case write:
		s.stats.writes++
		limit = s.writes
	case watch:
		s.stats.watches++
	}
	if !limit.AllowN(s.now(), 1) {
		s.stats.refused++
		return decision{
			era:    s.state.era,
			status: http.StatusTooManyRequests,
		}
	}
	v := s.faults.decide(s.now(), k == write)
	v.era = s.state.era
	return v
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func writeResponse(w http.ResponseWriter, a response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// executeRequest runs f in the goroutine of run, as execute does, and returns its
// response, or the zero response if f did not finish.
func (s *Server) executeRequest(r *http.Request, f func() response) response {
	reply := make(chan response, 1)
	perform := func() {
		a := f()
		a.era = s.state.era
		reply <- a
	}
	if !s.execute(r.Context(), perform) {
		return response{}
	}
	return <-reply
}

// key returns the key in the request's path.
func key(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/kv/") }

// statusOnly returns a response without a body.
func statusOnly(status int) response {
	return response{
		status: status,
	}
}

// changeResponse returns the response to a put or delete with the outcome res.
func changeResponse(revision uint64, res result) response {
	status := http.StatusOK
	switch res {
	case conflict:
		status = http.StatusPreconditionFailed
	case noLease:
		status = http.StatusNotFound
	}
	return response{
		status: status,
		body: map[string]uint64{
			"revision": revision,
		},
	}
}

func (s *Server) get(r *http.Request) response {
	return s.executeRequest(r, func() response {
		e, ok := s.state.entries[key(r)]
		if !ok {
			return statusOnly(http.StatusNotFound)
		}
		return response{
			status: http.StatusOK,
			body:   e,
		}
	})
}

func (s *Server) put(r *http.Request) response {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return statusOnly(http.StatusPreconditionRequired)
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		return statusOnly(http.StatusBadRequest)
	}
	if len(value) > MaxValue {
		// Reads more of the body, because a client that is still writing may miss
		// the answer.
		_, _ = io.CopyN(io.Discard, r.Body, 8*MaxValue)
		return statusOnly(http.StatusRequestEntityTooLarge)
	}
	return s.executeRequest(r, func() response {
		return changeResponse(s.state.put(s.now(), key(r), value, expect, r.Header.Get("Lease")))
	})
}

func (s *Server) remove(r *http.Request) response {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return statusOnly(http.StatusPreconditionRequired)
	}
	return s.executeRequest(r, func() response { return changeResponse(s.state.remove(s.now(), key(r), expect)) })
}

func (s *Server) list(r *http.Request) response {
	return s.executeRequest(r, func() response {
		return response{
			status: http.StatusOK,
			body: map[string]any{
				"entries":  s.state.list(r.URL.Query().Get("prefix")),
				"revision": s.state.revision,
			},
		}
	})
}

// watch waits until a key below the prefix changes, for at most "wait"
// milliseconds, and answers with the events and the revision to continue after.
func (s *Server) watch(r *http.Request) response {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return statusOnly(http.StatusBadRequest)
	}
	wait := maxWait
	if ms, err := strconv.ParseInt(q.Get("wait"), 10, 64); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		changes := make(chan chan struct{}, 1)
		a := s.executeRequest(r, func() response {
			changes <- s.changed
			return s.poll(q.Get("prefix"), after, timedOut)
		})
		if a.status != http.StatusNoContent {
			return a
		}
		select {
		case <-<-changes:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return response{}
		}
	}
}

// poll returns the response to a watch that has events, whose revision is
// compacted or unknown, or that has timed out; otherwise it returns 204.
func (s *Server) poll(prefix string, after uint64, timedOut bool) response {
	events, ok := s.state.eventsAfter(prefix, after)
	if !ok {
		return response{
			status: http.StatusGone,
			body: map[string]uint64{
				"revision": s.state.revision,
			},
		}
	}
	if len(events) == 0 && !timedOut {
		return statusOnly(http.StatusNoContent)
	}
	last, found := s.state.lastEvent(prefix, after)
	return response{
		status: http.StatusOK,
		body: map[string]any{
			"events":   s.faults.applyWatchFaults(events, last, found),
			"revision": s.state.revision,
		},
	}
}

// leaseBody is the JSON form of a lease; TTL is in milliseconds.
type leaseBody struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl"`
}

func (s *Server) grant(r *http.Request) response {
	var b leaseBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&b); err != nil || b.TTL <= 0 {
		return statusOnly(http.StatusBadRequest)
	}
	return s.executeRequest(r, func() response {
		b.ID = s.state.grant(s.now(), time.Duration(b.TTL)*time.Millisecond)
		return response{
			status: http.StatusOK,
			body:   b,
		}
	})
}

func (s *Server) renew(r *http.Request) response {
	id := chi.URLParam(r, "id")
	return s.executeRequest(r, func() response {
		ttl, ok := s.state.renew(s.now(), id)
		if !ok {
			return statusOnly(http.StatusNotFound)
		}
		return response{
			status: http.StatusOK,
			body: leaseBody{
				ID:  id,
				TTL: ttl.Milliseconds(),
			},
		}
	})
}

func (s *Server) revoke(r *http.Request) response {
	id := chi.URLParam(r, "id")
	return s.executeRequest(r, func() response {
		if !s.state.revoke(s.now(), id) {
			return statusOnly(http.StatusNotFound)
		}
		return statusOnly(http.StatusOK)
	})
}

// fault and reportStats are exempt from faults and rate limits.
func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var b faultBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&b); err != nil {
		writeResponse(w, statusOnly(http.StatusBadRequest))
		return
	}
	if !s.Inject(Fault{
		body: b,
	}) {
		writeResponse(w, statusOnly(http.StatusBadRequest))
		return
	}
	writeResponse(w, statusOnly(http.StatusOK))
}

func (s *Server) reportStats(w http.ResponseWriter, _ *http.Request) {
	stats := s.Stats()
	writeResponse(w, response{
		status: http.StatusOK,
		body: map[string]uint64{
			"reads":    stats.reads,
			"writes":   stats.writes,
			"watches":  stats.watches,
			"refused":  stats.refused,
			"revision": stats.revision,
		},
	})
}
