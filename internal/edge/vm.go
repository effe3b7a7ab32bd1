package edge

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/table"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
)

const (
	// leaveWait is how long a stopping VM goes on taking requests, until the
	// load balancer has seen two failed checks, one a second.
	leaveWait = 2500 * time.Millisecond
	// leaveRoom is the end of the grace period in which nothing is waited for
	// any more, so that the process ends by itself.
	leaveRoom = 400 * time.Millisecond
	// leaveLook is the pause between looks at the requests in flight.
	leaveLook = 50 * time.Millisecond
)

// Settings are the settings of a VM. The fields are exported for construction
// only.
type Settings struct {
	Name   string
	Domain string
	Region string
	// Front, Ready and Metrics are the IP:port of the listeners.
	Front   string
	Ready   string
	Metrics string
	// Feed is the IP:port at which other VMs of the failure domain are given
	// changes of the store, or "" if the VM does not take part in that.
	Feed string
	// Link is the width of the VM's link in Mbit/s, or 0 if it is unknown.
	Link float64
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// Gather is how long changes of the store are gathered before the VM asks
	// for more; it counts against the time in which they must take effect.
	Gather time.Duration
	Budget proxy.Budget
	// Exposure bounds the requests of a version that is not proven.
	Exposure move.Exposure
	Seed     uint64
}

// Sources translates the store's keys. A key that a function does not know is
// none of the VM's.
type Sources struct {
	// Registry is the prefix of the keys that hold upstreams. Operators are
	// the prefixes of the keys that operators write, or are written for them.
	// One watch follows everything unless there are many VMs.
	Registry  string
	Operators []string
	// Enrolled is the prefix of the VMs' own keys.
	Enrolled string
	// IsTable reports whether the key holds the routing table.
	IsTable func(key string) bool
	// Table decodes the routing table.
	Table func(value []byte) (*table.Table, error)
	// Rollout decodes an order to move a service; it returns nil for other
	// keys. Status encodes the state that operators are told.
	Rollout func(key string, value []byte) (*Rollout, error)
	Status  func(service, target string, s RolloutState) (key string, value []byte, err error)
	// ID returns the upstream's id of a key of the registry, or "".
	ID func(key string) string
	// Entry decodes a key of the registry.
	Entry func(key string, value []byte) (pool.Entry, error)
}

// VM is one entry VM.
type VM struct {
	settings Settings
	store    *store.Client
	sources  Sources
	log      zerolog.Logger
	metrics  *meter.Registry

	dispatcher *Dispatcher
	mover      *mover
	watcher    *watcher
	front      *Front
	ready      *http.Server
	numbers    atomic.Uint64
	draining   atomic.Bool
	stop       context.CancelFunc
	// peers holds the enrolled VMs by key; only the watcher uses it.
	peers map[string]enrolment
	feed  *feed.Log
	// lease is that of the VM's own key; only the enrolling duty uses it.
	lease string
}

// New returns a VM that is not started.
func New(s Settings, c *store.Client, sources Sources, u Upstreams, log zerolog.Logger) *VM {
	m := meter.New("clementinelink")
	m.WatchProcess()
	core := proxy.New(pool.New(s.Region, s.Domain, s.Seed), s.Budget, s.Seed).WithExposure(s.Exposure)
	v := &VM{
		settings:   s,
		store:      c,
		sources:    sources,
		log:        log,
		metrics:    m,
		peers:      make(map[string]enrolment),
		feed:       feed.NewLog(),
		dispatcher: newDispatcher(core, u, newJournal(log, m)),
	}
	c.WithObserver(func(verb, result string) {
		m.Counter("store_calls_total", "Calls of the store.", "verb", verb, "result", result).Inc()
	})
	v.mover = newMover(s.Name, s.Exposure, sources, c, v.dispatcher.tell, log)
	v.dispatcher.moves = v.mover.traffic
	v.watcher = newWatcher(sources, c, s.Gather, s.Seed, log)
	if s.Feed != "" {
		v.watcher.reader = feed.NewReader(s.Name, c, v.feed, s.Gather, log).WithObserver(func(source, result string) {
			m.Counter("feed_reads_total", "Reads of changes by the kind of source.", "source", source, "result", result).Inc()
		})
	}
	v.watcher.apply = v.changed
	v.watcher.peers = func() int { return len(v.peers) }
	v.watcher.services = v.services
	return v
}

// Metrics returns the VM's metrics.
func (v *VM) Metrics() *meter.Registry { return v.metrics }

// Start opens the listeners and starts the duties. The handler serves callers.
func (v *VM) Start(ctx context.Context, handler http.Handler) error {
	ctx, v.stop = context.WithCancel(ctx)
	front, err := net.Listen("tcp", v.settings.Front)
	if err != nil {
		return errors.Wrap(err, "edge: front")
	}
	v.front = newFront(front, handler, v.limits, v.log)
	if err := v.serveReady(); err != nil {
		return err
	}
	if err := v.serveFeed(ctx); err != nil {
		return err
	}
	v.watch()
	go v.dispatcher.run(ctx)
	go v.watcher.run(ctx)
	go v.mover.run(ctx)
	go v.enrol(ctx)
	go v.front.run()
	v.log.Info().Str("front", v.settings.Front).Str("ready", v.settings.Ready).Str("domain", v.settings.Domain).Msg("edge: Started.")
	return nil
}

// watch adds the gauges.
func (v *VM) watch() {
	d := v.dispatcher
	v.metrics.Watch("ready", "1 if the VM takes requests.", func() float64 {
		if v.Ready() {
			return 1
		}
		return 0
	})
	v.metrics.Watch("requests_live", "Requests in flight.", func() float64 { return float64(d.live.Load()) })
	v.metrics.Watch("requests_waiting", "Requests in flight without an attempt that runs.", func() float64 {
		if c := d.census.Load(); c != nil {
			return float64(c.waiting)
		}
		return 0
	})
	for state := range d.core.Pool().Census(d.now()) {
		v.metrics.Watch("upstreams", "Listed upstreams by state.", func() float64 {
			if c := d.census.Load(); c != nil {
				return float64(c.upstreams[state])
			}
			return 0
		}, "state", state)
	}
	v.metrics.Watch("table_version", "Version of the routing table in force, 0 for none.", func() float64 {
		if t := d.table.Load(); t != nil {
			return float64(t.Version())
		}
		return 0
	})
	v.metrics.Watch("table_age_seconds", "Time since the routing table in force arrived.", func() float64 {
		return d.now().Sub(time.Unix(0, d.adopted.Load())).Seconds()
	})
	v.metrics.Watch("store_age_seconds", "Time since the store, or a VM that it answered lately, confirmed the table and the upstreams.", func() float64 { return v.watcher.age().Seconds() })
}

// serveReady starts the listeners for the load balancer and for metrics.
func (v *VM) serveReady() error {
	rt := chi.NewRouter()
	rt.Get("/readyz", v.answerReady)
	rt.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	rt.Handle("/metrics", v.metrics)
	v.ready = &http.Server{
		Handler:           rt,
		ReadHeaderTimeout: time.Second,
	}
	for _, address := range []string{v.settings.Ready, v.settings.Metrics} {
		if address == "" {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "edge: ready")
		}
		go func() {
			if err := v.ready.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				v.log.Error().Err(err).Str("address", address).Msg("edge: A listener stopped.")
			}
		}()
	}
	return nil
}

// serveFeed starts the listener for other VMs.
func (v *VM) serveFeed(ctx context.Context) error {
	if v.settings.Feed == "" {
		return nil
	}
	l, err := net.Listen("tcp", v.settings.Feed)
	if err != nil {
		return errors.Wrap(err, "edge: feed")
	}
	server := &http.Server{
		Handler:           feed.NewServer(v.feed).Handler(),
		ReadHeaderTimeout: time.Second,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error().Err(err).Str("address", v.settings.Feed).Msg("edge: A listener stopped.")
		}
	}()
	return nil
}

func (v *VM) answerReady(w http.ResponseWriter, _ *http.Request) {
	if v.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the VM should get new connections.
func (v *VM) Ready() bool { return v.dispatcher.ready.Load() && !v.draining.Load() }

// Draining reports whether the VM is stopping, so that each answer must end its
// connection.
func (v *VM) Draining() bool { return v.draining.Load() }

// limits returns the limits on callers in force.
func (v *VM) limits() table.Limits {
	if t := v.dispatcher.table.Load(); t != nil {
		return t.Limits()
	}
	return firstLimits
}

// MaxBody returns the largest body in bytes, or 0 for no bound.
func (v *VM) MaxBody() int { return v.limits().Body() }

// Submit hands a caller's request to the dispatcher and returns what the caller
// is to be given; the last output is one whose kind is Last. The number of the
// request is set here.
func (v *VM) Submit(ctx context.Context, s proxy.RequestSpec, m *Message) (uint64, *ring.Ring[proxy.Action]) {
	s.Number = v.numbers.Add(1)
	out := ring.New[proxy.Action](outputCap, ring.Refuse)
	v.dispatcher.events.Put(ctx, signal{
		event: proxy.NewArrive(proxy.NewRequest(s)),
		arrival: &arrival{
			id:      s.ID,
			message: m,
			outputs: out,
		},
	})
	return s.Number, out
}

// Leave tells the dispatcher that a caller left.
func (v *VM) Leave(number uint64) { v.dispatcher.tell(context.Background(), proxy.NewGone(number)) }

// Shutdown stops the VM: it is not ready first, goes on serving until the load
// balancer has noticed, finishes the requests in flight, and ends within the
// grace period.
func (v *VM) Shutdown(ctx context.Context) error {
	began := time.Now()
	v.draining.Store(true)
	end := began.Add(v.settings.Grace - leaveRoom)
	v.dispatcher.tell(ctx, proxy.NewDrain(end))
	v.log.Info().Int64("live", v.dispatcher.live.Load()).Msg("edge: Stopping.")
	limit, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	pause(limit, leaveWait)
	for limit.Err() == nil && v.dispatcher.live.Load() > 0 {
		pause(limit, leaveLook)
	}
	err := v.front.shutdown(limit)
	v.stop()
	v.log.Info().Int64("live", v.dispatcher.live.Load()).Int64("ms", time.Since(began).Milliseconds()).Msg("edge: Stopped.")
	return err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
