package simsvc

import (
	"context"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/simeng/host"
	"github.com/cockroachdb/errors"
)

// settings are fixed once the service is made.
type settings struct {
	address string
	work    time.Duration
	slots   int
}

// Option changes a setting of a service.
type Option func(*settings)

// WithAddress sets the listening address host:port; default 127.0.0.1:0.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithWork sets the time that each call takes; default 5 ms.
func WithWork(d time.Duration) Option { return func(s *settings) { s.work = d } }

// WithSlots sets how many calls run at once; further ones are refused with
// X-Not-Run. Default 64.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// Service is a simulated plain service.
type Service struct {
	name string
	set  *settings
	host *host.Host
	desk *desk
	// alive ends with Close.
	alive context.Context
	die   context.CancelFunc
	once  sync.Once

	guard sync.Mutex
	// end stops the running incarnation; nil while the service is down.
	end context.CancelFunc
}

// New returns a service that isn't started yet.
func New(name string, opts ...Option) *Service {
	set := &settings{
		address: "127.0.0.1:0",
		work:    5 * time.Millisecond,
		slots:   64,
	}
	for _, o := range opts {
		o(set)
	}
	alive, die := context.WithCancel(context.Background())
	return &Service{
		name:  name,
		set:   set,
		host:  host.New(set.address),
		desk:  newDesk(set.slots),
		alive: alive,
		die:   die,
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Address returns host:port, valid after Start.
func (s *Service) Address() string { return s.host.Address() }

// Start listens and serves.
func (s *Service) Start() error {
	s.guard.Lock()
	defer s.guard.Unlock()
	if s.end != nil || s.alive.Err() != nil {
		return errors.Newf("service %s runs or is closed", s.name)
	}
	life, end := context.WithCancel(s.alive)
	s.once.Do(func() { go s.desk.run(s.alive) })
	// The first call of this incarnation must come after the renewal.
	ask(life, s, s.desk.controls, func(k *desk) bool {
		k.renew()
		return true
	})
	if err := s.host.Start(s.routes(life)); err != nil {
		end()
		return err
	}
	s.end = end
	return nil
}

// Restart starts the service again on its address, after Kill. The record is
// kept.
func (s *Service) Restart() error { return s.Start() }

// Kill resets all connections and stops listening; calls in progress that
// haven't run yet don't run.
func (s *Service) Kill() { s.stop(s.host.Kill) }

// Close stops the service for good.
func (s *Service) Close() {
	s.die()
	s.stop(s.host.Close)
}

// Record returns everything that the service ran, in order.
func (s *Service) Record() []Entry {
	entries, _ := ask(s.alive, s, s.desk.controls, func(k *desk) []Entry { return k.entries() })
	return entries
}

// Inject starts a fault.
func (s *Service) Inject(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.mode == Kill {
		s.Kill()
		if f.length > 0 {
			// Start fails once the service is closed, which is as it should be.
			time.AfterFunc(f.length, func() { _ = s.Start() })
		}
		return nil
	}
	if _, ok := ask(s.alive, s, s.desk.controls, func(k *desk) bool {
		k.faults.set(f, time.Now())
		return true
	}); !ok {
		return errors.Newf("service %s is closed", s.name)
	}
	return nil
}

func (s *Service) stop(end func()) {
	s.guard.Lock()
	defer s.guard.Unlock()
	if s.end == nil {
		return
	}
	end()
	s.end()
	s.end = nil
}

// ask runs f in the desk duty and returns its result, or false when it didn't
// run because life or the service ended first. It doesn't end with the
// caller's connection: what a paused service has received, it still runs later.
func ask[T any](life context.Context, s *Service, to *ring.Ring[command], f func(*desk) T) (T, bool) {
	reply := make(chan func() (T, bool), 1)
	var none T
	if !to.Put(life, func(k *desk, _ time.Time) {
		if life.Err() != nil {
			reply <- func() (T, bool) { return none, false }
			return
		}
		v := f(k)
		reply <- func() (T, bool) { return v, true }
	}) {
		return none, false
	}
	select {
	case result := <-reply:
		return result()
	case <-s.alive.Done():
		return none, false
	}
}
