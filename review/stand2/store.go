package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the usual time of an answer of the store.
const storeDelay = 4 * time.Millisecond

// historyTime is how long the store keeps its history (history_s).
const historyTime = 20 * time.Second

// item is an item of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"create_revision,omitempty"`
	Lease   int64  `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	items   map[string]item
	history []item
	// times holds when each change of the history was made.
	times []time.Time
	rev   uint64
	// kept is the revision from which on the history is complete.
	kept      uint64
	leases    map[int64]time.Time
	ttls      map[int64]time.Duration
	lastLease int64
	era       int
	changed   chan struct{}
	// delay returns the time of an answer to a caller's address.
	delay   func(path string) time.Duration
	address string
	// observe is called with each change by a VM.
	observe func(i item)
}

// newStore starts a store on a loopback address.
func newStore() (*store, error) {
	s := &store{
		items:   make(map[string]item),
		rev:     100,
		leases:  make(map[int64]time.Time),
		ttls:    make(map[int64]time.Duration),
		changed: make(chan struct{}),
		delay:   func(string) time.Duration { return storeDelay },
		observe: func(item) {},
	}
	s.kept = s.rev
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(name("key"), s.getKey)
	mux.HandleFunc(name("range"), s.getRange)
	mux.HandleFunc(name("watch"), s.getWatch)
	mux.HandleFunc(name("txn"), s.postTxn)
	mux.HandleFunc(name("lease"), s.postLease)
	mux.HandleFunc(name("keep"), s.postKeep)
	mux.HandleFunc(name("lease-end"), s.endLease)
	// Workers and operators write over a path of their own.
	mux.HandleFunc("/stand-in/", s.putForeign)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.delay(r.URL.Path))
		s.mutex.Lock()
		w.Header().Set(name("era"), strconv.Itoa(s.era))
		s.mutex.Unlock()
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, handler) }()
	go s.expire()
	return s, nil
}

// expire ends leases and removes the keys of ended ones.
func (s *store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mutex.Lock()
		for id, until := range s.leases {
			if time.Now().After(until) {
				s.dropLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// dropLease ends a lease. The caller must hold the mutex.
func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(key, nil, 0, true)
		}
	}
}

// write changes a key and returns the revision. The caller must hold the mutex.
func (s *store) write(key string, value []byte, lease int64, removed bool) uint64 {
	s.rev++
	i := item{
		Key:     key,
		Value:   value,
		Rev:     s.rev,
		Created: s.rev,
		Lease:   lease,
		Removed: removed,
	}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	if removed {
		i.Created = 0
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history, s.times = append(s.history, i), append(s.times, time.Now())
	for time.Since(s.times[0]) > historyTime {
		s.kept = s.history[0].Rev
		s.history, s.times = s.history[1:], s.times[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// put writes a key for an operator or a worker.
func (s *store) put(key string, value []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(key, value, 0, false)
}

// remove removes a key for an operator or a worker.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(key, nil, 0, true)
	}
}

// values returns the values of the keys with a prefix.
func (s *store) values(prefix string) map[string][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make(map[string][]byte)
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			list[key] = i.Value
		}
	}
	return list
}

func (s *store) putForeign(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/stand-in/")
	var body struct {
		Value   []byte `json:"value"`
		Removed bool   `json:"removed"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if body.Removed {
		s.remove(key)
	} else {
		s.put(key, body.Value)
	}
	w.WriteHeader(http.StatusOK)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	list := make([]item, 0)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after_rev") {
			list = append(list, s.items[key])
		}
	}
	rev := s.rev
	s.mutex.Unlock()
	answer(w, map[string]any{
		"items":       list,
		"more_pages":  false,
		"current_rev": rev,
	})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	for last := false; ; {
		s.mutex.Lock()
		lost, changed, rev := after < s.kept || after > s.rev || era != s.era, s.changed, s.rev
		events := make([]item, 0)
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		w.Header().Set(name("era"), strconv.Itoa(s.era))
		s.mutex.Unlock()
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || last {
			answer(w, map[string]any{
				"events":      events,
				"current_rev": rev,
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

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key string `json:"key"`
			Rev uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	failed := false
	present := make([]item, 0)
	for _, e := range body.Expected {
		i, ok := s.items[e.Key]
		failed = failed || i.Rev != e.Rev
		if ok {
			present = append(present, i)
		}
	}
	if failed {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{
			"items": present,
		})
		return
	}
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, name("registry")) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease, false)
		s.observe(s.items[p.Key])
	}
	for _, key := range body.Remove {
		if _, ok := s.items[key]; ok {
			s.write(key, nil, 0, true)
		}
	}
	answer(w, map[string]any{
		"revision": s.rev,
	})
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(body.TTL, 1000), 600_000)
	s.mutex.Lock()
	s.lastLease++
	id := s.lastLease
	s.ttls[id] = time.Duration(ttl) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	s.mutex.Unlock()
	answer(w, map[string]any{
		"lease":  id,
		"ttl_ms": ttl,
	})
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, name("keep")), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, map[string]any{
		"ttl_ms": s.ttls[id].Milliseconds(),
	})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, name("lease-end")), 10, 64)
	s.mutex.Lock()
	s.dropLease(id)
	s.mutex.Unlock()
	w.WriteHeader(http.StatusOK)
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
