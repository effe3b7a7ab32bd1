package simsvc

import (
	"context"
	"net"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/simeng/host"
	"github.com/cockroachdb/errors"
)

// settings holds the options of a service. It doesn't change after New.
type settings struct {
	address string
	work    time.Duration
	slots   int
	// listen binds the address; nil for a port of the machine.
	listen func(address string) (net.Listener, error)
}

// Option changes a setting of a service.
type Option func(*settings)

// WithAddress sets the listening address host:port; default 127.0.0.1:0.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithWork sets the time that each call takes; default 5 ms.
func WithWork(d time.Duration) Option { return func(s *settings) { s.work = d } }

// WithSlots sets how many calls run at once; further ones are refused with 429
// and X-Not-Run. Default 64.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithListen sets the function that binds the address; default a port of the
// machine.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(s *settings) { s.listen = listen }
}

// Service is a simulated plain service. Its methods may be called concurrently.
type Service struct {
	name     string
	settings *settings
	host     *host.Host
	state    *state
	// ctx ends with Close.
	ctx       context.Context
	cancel    context.CancelFunc
	startOnce sync.Once

	mu sync.Mutex
	// stopIncarnation ends the context of the running incarnation. It is nil
	// while the service is down.
	stopIncarnation context.CancelFunc
}

// New returns a stopped service; Start runs it.
func New(name string, opts ...Option) *Service {
	opt := &settings{
		address: "127.0.0.1:0",
		work:    5 * time.Millisecond,
		slots:   64,
	}
	for _, o := range opts {
		o(opt)
	}
	h := host.New(opt.address)
	if opt.listen != nil {
		h.WithListen(opt.listen)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		name:     name,
		settings: opt,
		host:     h,
		state:    newState(opt.slots),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Address returns host:port, valid after Start.
func (s *Service) Address() string { return s.host.Address() }

// Start listens and serves in the background. It fails if the service runs or is
// closed, or the address can't be bound.
func (s *Service) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopIncarnation != nil || s.ctx.Err() != nil {
		return errors.Newf("simsvc: service %s is already running or closed", s.name)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.startOnce.Do(func() { go s.state.run(s.ctx) })
	// Resets the state before the first call of this incarnation arrives.
	execute(ctx, s, s.state.controls, func(st *state) bool {
		st.reset()
		return true
	})
	if err := s.host.Start(s.routes(ctx)); err != nil {
		cancel()
		return err
	}
	s.stopIncarnation = cancel
	return nil
}

// Restart starts the service again on its address, after Kill. The record is
// kept.
func (s *Service) Restart() error { return s.Start() }

// Kill resets all connections and stops listening. Calls that are still in their
// working time don't run.
func (s *Service) Kill() { s.stop(s.host.Kill) }

// Close stops the service for good.
func (s *Service) Close() {
	s.cancel()
	s.stop(s.host.Close)
}

// Record returns everything that the service ran, in order.
func (s *Service) Record() []Entry {
	entries, _ := execute(s.ctx, s, s.state.controls, func(st *state) []Entry { return st.entries() })
	return entries
}

// Inject starts a fault. It fails for an invalid fault and, unless the fault is
// Kill, once the service is closed.
func (s *Service) Inject(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.mode == Kill {
		s.Kill()
		if f.duration > 0 {
			// Start fails if the service is closed by then, and it stays closed.
			time.AfterFunc(f.duration, func() { _ = s.Start() })
		}
		return nil
	}
	if _, ok := execute(s.ctx, s, s.state.controls, func(st *state) bool {
		st.faults.set(f, time.Now())
		return true
	}); !ok {
		return errors.Newf("service %s is closed", s.name)
	}
	return nil
}

// stop ends the running incarnation, if any.
func (s *Service) stop(stopHost func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopIncarnation == nil {
		return
	}
	stopHost()
	s.stopIncarnation()
	s.stopIncarnation = nil
}

// execute runs f in the goroutine of state.run and returns its result, or false
// if f didn't run because ctx or the service ended first. It doesn't depend on
// the caller's connection: a paused service still runs the calls it received when
// it resumes.
func execute[T any](ctx context.Context, s *Service, queue *ring.Ring[command], f func(*state) T) (T, bool) {
	reply := make(chan func() (T, bool), 1)
	var zero T
	if !queue.Put(ctx, func(st *state, _ time.Time) {
		if ctx.Err() != nil {
			reply <- func() (T, bool) { return zero, false }
			return
		}
		v := f(st)
		reply <- func() (T, bool) { return v, true }
	}) {
		return zero, false
	}
	select {
	case result := <-reply:
		return result()
	case <-s.ctx.Done():
		return zero, false
	}
}
