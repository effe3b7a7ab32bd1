package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create_revision"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands for the platform's metadata store. It is always up, and its leases
// outlast a run.
type store struct {
	mutex    sync.Mutex
	revision uint64
	lease    int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		items:   make(map[string]item),
		changed: make(chan struct{}),
	}
}

// put writes a key, as the operator and the workers do.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{
		Key:   key,
		Value: b,
	})
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(item{
		Key:     key,
		Removed: true,
	})
}

// apply makes a change at a new revision and wakes the watches. The caller must
// hold the mutex.
func (s *store) apply(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.items[i.Key].Created
	if i.Created == 0 {
		i.Created = s.revision
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == names["range"]:
		s.list(w, r)
	case r.URL.Path == names["watch"]:
		s.watch(w, r)
	case r.URL.Path == names["key"]:
		s.get(w, r)
	case r.URL.Path == names["txn"]:
		s.change(w, r)
	case r.URL.Path == names["lease"], strings.HasPrefix(r.URL.Path, names["keep"]):
		s.mutex.Lock()
		s.lease++
		id := s.lease
		s.mutex.Unlock()
		answer(w, map[string]any{
			"lease":  id,
			"ttl_ms": 600000,
		})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mutex.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > r.URL.Query().Get("after_rev") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, map[string]any{
		"items":       found,
		"more_pages":  false,
		"current_rev": revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || last {
			answer(w, map[string]any{
				"events":      events,
				"current_rev": revision,
			})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expected []item   `json:"expected_rev"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range b.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{
				"items": []item{s.items[e.Key]},
			})
			return
		}
	}
	for _, p := range b.Puts {
		s.apply(item{
			Key:   p.Key,
			Value: p.Value,
			Lease: p.Lease,
		})
	}
	for _, key := range b.Remove {
		s.apply(item{
			Key:     key,
			Removed: true,
		})
	}
	answer(w, map[string]any{
		"revision": s.revision,
	})
}
