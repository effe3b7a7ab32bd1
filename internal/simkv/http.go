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

// kind tells how a call is counted.
type kind uint8

const (
	read kind = iota
	write
	watch
)

// answer is what the keeper decides on a call.
type answer struct {
	status int
	body   any
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/kv/*", s.guard(read, s.get))
	r.Put("/kv/*", s.guard(write, s.put))
	r.Delete("/kv/*", s.guard(write, s.remove))
	r.Get("/kv", s.guard(read, s.list))
	r.Get("/watch", s.guard(watch, s.watch))
	r.Post("/leases", s.guard(write, s.grant))
	r.Post("/leases/{id}/renew", s.guard(write, s.renew))
	r.Delete("/leases/{id}", s.guard(write, s.revoke))
	r.Post("/fault", s.fault)
	r.Get("/stats", s.report)
	return r
}

// guard applies rate limits and faults to a call.
func (s *Server) guard(k kind, next func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		judged := make(chan verdict, 1)
		if !s.do(r.Context(), func() { judged <- s.admit(k) }) {
			panic(http.ErrAbortHandler)
		}
		v := <-judged
		if v.hang > 0 {
			pause(r.Context(), v.hang)
			panic(http.ErrAbortHandler)
		}
		if v.status != 0 {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(v.status)
			return
		}
		if !pause(r.Context(), v.delay) || v.before {
			panic(http.ErrAbortHandler)
		}
		a := next(r)
		if v.after || a.status == 0 {
			panic(http.ErrAbortHandler)
		}
		reply(w, a)
	}
}

// admit counts a call and decides what happens to it.
func (s *Server) admit(k kind) verdict {
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
		return verdict{
			status: http.StatusTooManyRequests,
		}
	}
	return s.faults.judge(s.now(), k == write)
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

func reply(w http.ResponseWriter, a answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// ask runs f on the keeper; the zero answer means that it did not finish.
func (s *Server) ask(r *http.Request, f func() answer) answer {
	found := make(chan answer, 1)
	if !s.do(r.Context(), func() { found <- f() }) {
		return answer{}
	}
	return <-found
}

func key(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/kv/") }

// refuse is an answer without a body.
func refuse(status int) answer {
	return answer{
		status: status,
	}
}

// settled turns the outcome of a change into an answer.
func settled(revision uint64, res result) answer {
	status := http.StatusOK
	switch res {
	case conflict:
		status = http.StatusPreconditionFailed
	case noLease:
		status = http.StatusNotFound
	}
	return answer{
		status: status,
		body: map[string]uint64{
			"revision": revision,
		},
	}
}

func (s *Server) get(r *http.Request) answer {
	return s.ask(r, func() answer {
		e, ok := s.space.entries[key(r)]
		if !ok {
			return refuse(http.StatusNotFound)
		}
		return answer{
			status: http.StatusOK,
			body:   e,
		}
	})
}

func (s *Server) put(r *http.Request) answer {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return refuse(http.StatusPreconditionRequired)
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		return refuse(http.StatusBadRequest)
	}
	if len(value) > MaxValue {
		// Reads the rest, since a client that still writes may miss the answer.
		_, _ = io.CopyN(io.Discard, r.Body, 8*MaxValue)
		return refuse(http.StatusRequestEntityTooLarge)
	}
	return s.ask(r, func() answer {
		return settled(s.space.put(key(r), value, expect, r.Header.Get("Lease")))
	})
}

func (s *Server) remove(r *http.Request) answer {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		return refuse(http.StatusPreconditionRequired)
	}
	return s.ask(r, func() answer { return settled(s.space.remove(key(r), expect)) })
}

func (s *Server) list(r *http.Request) answer {
	return s.ask(r, func() answer {
		return answer{
			status: http.StatusOK,
			body: map[string]any{
				"entries":  s.space.list(r.URL.Query().Get("prefix")),
				"revision": s.space.revision,
			},
		}
	})
}

// watch waits until a key below the prefix changes, for "wait" milliseconds
// at most, and answers with the events and the revision to go on after.
func (s *Server) watch(r *http.Request) answer {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return refuse(http.StatusBadRequest)
	}
	wait := maxWait
	if ms, err := strconv.ParseInt(q.Get("wait"), 10, 64); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		changes := make(chan chan struct{}, 1)
		a := s.ask(r, func() answer {
			changes <- s.changed
			return s.poll(q.Get("prefix"), after, last)
		})
		if a.status != http.StatusNoContent {
			return a
		}
		select {
		case <-<-changes:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return answer{}
		}
	}
}

// poll answers a watch that has events, is compacted or has waited long
// enough (last); otherwise it returns 204.
func (s *Server) poll(prefix string, after uint64, last bool) answer {
	found, ok := s.space.events(prefix, after)
	if !ok {
		return answer{
			status: http.StatusGone,
			body: map[string]uint64{
				"revision": s.space.revision,
			},
		}
	}
	if len(found) == 0 && !last {
		return refuse(http.StatusNoContent)
	}
	older, seen := s.space.before(prefix, after)
	return answer{
		status: http.StatusOK,
		body: map[string]any{
			"events":   s.faults.distort(found, older, seen),
			"revision": s.space.revision,
		},
	}
}

// leaseBody is the JSON form of a lease; TTL is in milliseconds.
type leaseBody struct {
	ID  string `json:"id,omitempty"`
	TTL int64  `json:"ttl"`
}

func (s *Server) grant(r *http.Request) answer {
	var b leaseBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 1024)).Decode(&b); err != nil || b.TTL <= 0 {
		return refuse(http.StatusBadRequest)
	}
	return s.ask(r, func() answer {
		b.ID = s.space.grant(s.now(), time.Duration(b.TTL)*time.Millisecond)
		return answer{
			status: http.StatusOK,
			body:   b,
		}
	})
}

func (s *Server) renew(r *http.Request) answer {
	id := chi.URLParam(r, "id")
	return s.ask(r, func() answer {
		ttl, ok := s.space.renew(s.now(), id)
		if !ok {
			return refuse(http.StatusNotFound)
		}
		return answer{
			status: http.StatusOK,
			body: leaseBody{
				ID:  id,
				TTL: ttl.Milliseconds(),
			},
		}
	})
}

func (s *Server) revoke(r *http.Request) answer {
	id := chi.URLParam(r, "id")
	return s.ask(r, func() answer {
		if !s.space.revoke(id) {
			return refuse(http.StatusNotFound)
		}
		return refuse(http.StatusOK)
	})
}

// fault and report are for tests: no fault or rate limit applies to them.
func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var b faultBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&b); err != nil {
		reply(w, refuse(http.StatusBadRequest))
		return
	}
	if !s.Inject(Fault{
		body: b,
	}) {
		reply(w, refuse(http.StatusBadRequest))
		return
	}
	reply(w, refuse(http.StatusOK))
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	found := s.Stats()
	reply(w, answer{
		status: http.StatusOK,
		body: map[string]uint64{
			"reads":    found.reads,
			"writes":   found.writes,
			"watches":  found.watches,
			"refused":  found.refused,
			"revision": found.revision,
		},
	})
}
