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

// historyMax is how long earlier snapshots are kept. It bounds the lag.
const historyMax = 10 * time.Minute

// snapshot is the list of VMs from an instant on.
type snapshot struct {
	since time.Time
	vms   []*world.VM
}

// history holds the snapshots, oldest first, and the lag with which callers see
// them. It is immutable.
type history struct {
	snapshots []snapshot
	lag       time.Duration
}

// Server is the simulated list. Its zero value is not usable; see New. Its
// methods may be called concurrently, as the history is replaced atomically.
type Server struct {
	now     func() time.Time
	history atomic.Pointer[history]
	// down is true during an outage, when GET answers with 503.
	down atomic.Bool
}

// New returns a list that shows vms immediately and later changes after lag.
func New(lag time.Duration, vms ...*world.VM) *Server {
	s := &Server{
		now: time.Now,
	}
	s.history.Store(&history{
		snapshots: []snapshot{
			{
				vms: vms,
			},
		},
		lag: lag,
	})
	return s
}

// Run serves an initially empty list without lag at address until ctx ends.
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

// Remove removes a VM; an unknown name has no effect.
func (s *Server) Remove(name string) {
	s.change(func(vms []*world.VM) []*world.VM { return without(vms, name) })
}

// MarkLeaving marks a VM as leaving; an unknown name has no effect.
func (s *Server) MarkLeaving(name string) {
	s.change(func(vms []*world.VM) []*world.VM {
		changed := []*world.VM{}
		for _, v := range vms {
			if v.Name() == name {
				v = v.WithLeaving()
			}
			changed = append(changed, v)
		}
		return changed
	})
}

// SetLag sets the age of the list that callers see. It is capped at 10 minutes.
func (s *Server) SetLag(lag time.Duration) {
	s.update(func(h history) history {
		h.lag = min(lag, historyMax)
		return h
	})
}

// SetDown starts or ends an outage, during which reads get 503.
func (s *Server) SetDown(down bool) { s.down.Store(down) }

// Shown returns the list as callers see it now.
func (s *Server) Shown() []*world.VM {
	h := s.history.Load()
	at := s.now().Add(-h.lag)
	shown := h.snapshots[0].vms
	for _, v := range h.snapshots[1:] {
		if v.since.After(at) {
			break
		}
		shown = v.vms
	}
	return shown
}

// change appends the snapshot that f returns for the newest one, and discards
// those that are too old to be shown.
func (s *Server) change(f func([]*world.VM) []*world.VM) {
	s.update(func(h history) history {
		now := s.now()
		kept := h.snapshots
		for len(kept) > 1 && kept[1].since.Before(now.Add(-historyMax)) {
			kept = kept[1:]
		}
		last := kept[len(kept)-1]
		h.snapshots = append(append([]snapshot(nil), kept...), snapshot{
			since: now,
			vms:   f(last.vms),
		})
		return h
	})
}

// update applies f to the history. f runs again if a concurrent update comes
// first.
func (s *Server) update(f func(history) history) {
	for {
		old := s.history.Load()
		changed := f(*old)
		if s.history.CompareAndSwap(old, &changed) {
			return
		}
	}
}

// without returns the VMs except the named one.
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

// changeBody is the body of POST /vms; see the package comment.
type changeBody struct {
	Op  string `json:"op"`
	VM  vmBody `json:"vm"`
	Lag int64  `json:"lag"`
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/vms", s.listVMs)
	r.Post("/vms", s.postChange)
	return r
}

// listVMs handles GET /vms. Its ETag lets callers poll with If-None-Match.
func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	bodies := []vmBody{}
	for _, v := range s.Shown() {
		bodies = append(bodies, encodeVM(v))
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

func (s *Server) postChange(w http.ResponseWriter, r *http.Request) {
	var b changeBody
	if err := json.NewDecoder(io.LimitReader(r.Body, 65536)).Decode(&b); err != nil || !s.apply(b) {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// apply executes a change and reports whether its op is known.
func (s *Server) apply(b changeBody) bool {
	switch b.Op {
	case "add":
		s.Add(decodeVM(b.VM))
	case "remove":
		s.Remove(b.VM.Name)
	case "leave":
		s.MarkLeaving(b.VM.Name)
	case "lag":
		s.SetLag(time.Duration(b.Lag) * time.Millisecond)
	case "down", "up":
		s.SetDown(b.Op == "down")
	default:
		return false
	}
	return true
}

func encodeVM(v *world.VM) vmBody {
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

func decodeVM(b vmBody) *world.VM {
	kind := world.Entry
	switch b.Kind {
	case world.Engine.String():
		kind = world.Engine
	case world.Plain.String():
		kind = world.Plain
	}
	v := world.NewVM(b.Name, kind, b.Address, b.Domain, b.Region)
	if b.Service != "" {
		v = v.WithService(b.Service)
	}
	if b.State == "leaving" {
		v = v.WithLeaving()
	}
	return v
}
