package simvms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"clementinelink.example/clementinelink/internal/world"
)

// keep is how long superseded lists stay available; it bounds the lag.
const keep = 10 * time.Minute

// version is the list from an instant on.
type version struct {
	since time.Time
	vms   []*world.VM
}

// history is a list over time, oldest first, and the lag with which it is
// shown. It is immutable.
type history struct {
	versions []version
	lag      time.Duration
}

// Server is the simulated list. Its zero value is not usable; see New. Its
// state is one immutable history, replaced atomically.
type Server struct {
	now   func() time.Time
	state atomic.Pointer[history]
	// down is true while all calls get 503.
	down atomic.Bool
}

// New returns a list that shows vms at once and changes after lag.
func New(lag time.Duration, vms ...*world.VM) *Server {
	s := &Server{
		now: time.Now,
	}
	s.state.Store(&history{
		versions: []version{
			{
				vms: vms,
			},
		},
		lag: lag,
	})
	return s
}

// Run serves an empty list without lag at address until ctx ends; POST /vms
// fills it.
func Run(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "simvms: listen")
	}
	return New(0).Serve(ctx, listener)
}

// Start serves on a free loopback port. It returns the base URL and a function
// that stops the server and returns its error.
func (s *Server) Start() (base string, stop func() error, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "simvms: listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, listener) }()
	stop = func() error {
		cancel()
		return <-ended
	}
	return "http://" + listener.Addr().String(), stop, nil
}

// Serve serves the list until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "simvms: serve")
	}
	return nil
}

// Add adds a VM or replaces the one with its name.
func (s *Server) Add(v *world.VM) {
	s.change(func(vms []*world.VM) []*world.VM { return append(without(vms, v.Name()), v) })
}

// Remove removes a VM.
func (s *Server) Remove(name string) {
	s.change(func(vms []*world.VM) []*world.VM { return without(vms, name) })
}

// Leave marks a VM as leaving.
func (s *Server) Leave(name string) {
	s.change(func(vms []*world.VM) []*world.VM {
		changed := []*world.VM{}
		for _, v := range vms {
			if v.Name() == name {
				v = v.Leave()
			}
			changed = append(changed, v)
		}
		return changed
	})
}

// SetLag sets the age of the shown list, at most 10 minutes.
func (s *Server) SetLag(lag time.Duration) {
	s.replace(func(h history) history {
		h.lag = min(lag, keep)
		return h
	})
}

// SetDown makes all later reads fail with 503, or ends that.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// Shown returns the list as callers see it now.
func (s *Server) Shown() []*world.VM {
	h := s.state.Load()
	at := s.now().Add(-h.lag)
	shown := h.versions[0].vms
	for _, v := range h.versions[1:] {
		if v.since.After(at) {
			break
		}
		shown = v.vms
	}
	return shown
}

func (s *Server) change(f func([]*world.VM) []*world.VM) {
	s.replace(func(h history) history {
		now := s.now()
		kept := h.versions
		for len(kept) > 1 && kept[1].since.Before(now.Add(-keep)) {
			kept = kept[1:]
		}
		last := kept[len(kept)-1]
		h.versions = append(append([]version(nil), kept...), version{
			since: now,
			vms:   f(last.vms),
		})
		return h
	})
}

// replace applies f to the history; f runs again if another change wins.
func (s *Server) replace(f func(history) history) {
	for {
		old := s.state.Load()
		changed := f(*old)
		if s.state.CompareAndSwap(old, &changed) {
			return
		}
	}
}

func without(vms []*world.VM, name string) []*world.VM {
	kept := []*world.VM{}
	for _, v := range vms {
		if v.Name() != name {
			kept = append(kept, v)
		}
	}
	return kept
}

// vmBody is the JSON form of a VM.
type vmBody struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	State   string `json:"state"`
}

// changeBody is the body of POST /vms. Op is add, remove, leave, lag, down or up;
// Lag is in milliseconds.
type changeBody struct {
	Op  string `json:"op"`
	VM  vmBody `json:"vm"`
	Lag int64  `json:"lag"`
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/vms", s.show)
	r.Post("/vms", s.post)
	return r
}

func (s *Server) show(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	bodies := []vmBody{}
	for _, v := range s.Shown() {
		bodies = append(bodies, encode(v))
	}
	list, err := json.Marshal(map[string]any{
		"vms": bodies,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(list))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(append(list, '\n'))
}

func (s *Server) post(w http.ResponseWriter, r *http.Request) {
	var b changeBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 65536)).Decode(&b); err != nil || !s.apply(b) {
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Server) apply(b changeBody) bool {
	switch b.Op {
	case "add":
		s.Add(decode(b.VM))
	case "remove":
		s.Remove(b.VM.Name)
	case "leave":
		s.Leave(b.VM.Name)
	case "lag":
		s.SetLag(time.Duration(b.Lag) * time.Millisecond)
	case "down", "up":
		s.SetDown(b.Op == "down")
	default:
		return false
	}
	return true
}

func encode(v *world.VM) vmBody {
	state := "live"
	if v.Leaving() {
		state = "leaving"
	}
	return vmBody{
		Name:    v.Name(),
		Kind:    v.Kind().String(),
		Service: v.Service(),
		Address: v.Address(),
		Domain:  v.Domain(),
		Region:  v.Region(),
		State:   state,
	}
}

func decode(b vmBody) *world.VM {
	kind := world.Entry
	switch b.Kind {
	case world.Engine.String():
		kind = world.Engine
	case world.Plain.String():
		kind = world.Plain
	}
	v := world.NewVM(b.Name, kind, b.Address, b.Domain, b.Region)
	if b.Service != "" {
		v = v.Serving(b.Service)
	}
	if b.State == "leaving" {
		v = v.Leave()
	}
	return v
}
