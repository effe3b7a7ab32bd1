package edge

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/accord"
	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/enrol"
	"clementinelink.example/clementinelink/internal/fair"
	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/ledger"
	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/origin"
	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/roster"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/table"
	"clementinelink.example/clementinelink/internal/tree"
	"clementinelink.example/clementinelink/internal/where"
	"clementinelink.example/clementinelink/internal/wire"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
)

const (
	// drainDelay is how long a stopping VM still accepts requests. The load
	// balancer checks once per second and removes the VM after two failed
	// checks.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the time before the end of the grace period at which
	// the VM stops waiting for requests, so that the process exits before it is
	// killed.
	shutdownMargin = 400 * time.Millisecond
	// drainPollInterval is how often a stopping VM checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
)

// Settings configures a VM. The fields are exported for construction only.
type Settings struct {
	Name string
	// Domain is the VM's failure domain.
	Domain string
	Region string
	// Front, Ready and Metrics are the IP:port of the listeners for callers,
	// for the load balancer's checks and for metrics. An empty Ready or Metrics
	// starts no listener.
	Front   string
	Ready   string
	Metrics string
	// Feed is the IP:port at which the VM serves changes of the store to other
	// VMs, or "" if it neither serves nor reads such changes.
	Feed string
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, or 0 if it is
	// unknown.
	LinkMbps float64
	// Held is the number of bytes that the VM may hold on behalf of callers and
	// upstreams.
	Held int64
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// BatchDelay is how long the VM waits after a change of the store before it
	// asks for more, so that several changes cost one call. It delays changes
	// and so counts against the time in which they must take effect.
	BatchDelay time.Duration
	// EffectTime is the time within which a change of the store must take effect.
	EffectTime time.Duration
	// SettleTime is the time after the store's recovery from which its word counts
	// again.
	SettleTime time.Duration
	// Budget bounds the repeated attempts.
	Budget budget.Limits
	// Shared is true if workspaces share engines equally.
	Shared bool
	// Hedges bounds the second attempts beside slow ones.
	Hedges hedge.Limit
	// Exposure bounds the requests that an unproven version gets.
	Exposure move.Exposure
	// FirstStart is true if the whole system starts for the first time, so that
	// the store has no key of the VM. A wrong value costs a call of the store.
	FirstStart bool
	// Seed initializes the VM's random choices.
	Seed uint64
}

// Sources describes the keys of the store and decodes their values. Keys that
// none of its functions recognizes are ignored.
type Sources struct {
	// EnrolledPrefix is the prefix of the VMs' own keys. The failure domain and
	// the VM's name follow, separated by a slash.
	EnrolledPrefix string
	// IsTable reports whether the key holds the routing table.
	IsTable func(key string) bool
	// Table decodes the routing table.
	Table func(value []byte) (*table.Table, error)
	// MoveOrder decodes an order to move a service; it returns nil for other
	// keys. MoveStatus encodes the state of a move for operators.
	MoveOrder  func(key string, value []byte) (*origin.Order, error)
	MoveStatus func(service, target string, s origin.State) (key string, value []byte, err error)
	// ID returns the id of the upstream of a registry key, or "" for others.
	ID func(key string) string
	// Entry decodes the entry under a registry key.
	Entry func(key string, value []byte) (pool.Entry, error)
	// Restored decides what stays in force after a restoration of the store.
	Restored mirror.Rules
}

// VM is an entry VM. Its exported methods may be called concurrently once Start
// has returned.
type VM struct {
	settings Settings
	store    *store.Client
	sources  Sources
	log      zerolog.Logger
	metrics  *meter.Registry

	dispatcher *Dispatcher
	progress   *progress
	mover      *mover
	accord     *accord.Duty
	enrol      *enrol.Duty
	watcher    *watcher
	front      *Front
	ready      *http.Server
	// lastNumber is the number of the latest request.
	lastNumber atomic.Uint64
	draining   atomic.Bool
	// charges is the number of charges in force.
	charges atomic.Int64
	stop    context.CancelFunc
	// peers holds the enrolled VMs. Only the watcher's goroutine uses it.
	peers  *roster.Roster
	mirror *mirror.Log
	// account bounds what is held on behalf of callers and upstreams.
	account *ledger.Account
	// controlShare is the part of the VM's link that changes of the store may use on
	// their way to other VMs. It is 0 for no limit.
	controlShare float64
}

// begunShare is the share of Settings.Held that is left to the pieces of streams.
const begunShare = 1.0 / 3

// New returns a VM that has not been started.
func New(s Settings, c *store.Client, sources Sources, u Upstreams, log zerolog.Logger) *VM {
	m := meter.New("clementinelink")
	m.WatchProcess()
	j := newEventLog(log, m)
	upstreams := pool.New(s.Region, s.Domain, s.Seed).WithObserver(j.logChange, j.logInvalid)
	order := fair.NewOrder(s.Shared).WithObserver(func(rank int) { m.Counter("ranks_total", "Attempts by their rank.", "rank", strconv.Itoa(rank)).Inc() })
	core := proxy.New(upstreams, s.Budget, s.Seed).WithExposure(s.Exposure).WithOrder(order).WithHedges(s.Hedges, func(r hedge.Result) {
		m.Counter("hedges_total", "Second attempts beside slow ones by result.", "result", string(r)).Inc()
	})
	v := &VM{
		settings:   s,
		store:      c,
		sources:    sources,
		log:        log,
		metrics:    m,
		peers:      roster.New(),
		mirror:     mirror.NewLog().WithRules(sources.Restored),
		account:    ledger.New(s.Held, int64(begunShare*float64(s.Held))),
		dispatcher: newDispatcher(core, u, j),
		progress:   newProgress(s.EffectTime, m, log),
	}
	c.WithObserver(func(verb, result string) {
		m.Counter("store_calls_total", "Calls of the store.", "verb", verb, "result", result).Inc()
	})
	m.Watch("held_bytes", "Bytes held on behalf of callers and upstreams.", func() float64 { return float64(s.Held - v.account.Free()) })
	v.mover = newMover(s.Name, int(s.Seed^uint64(time.Now().UnixNano())), s.Exposure, sources, c, v.dispatcher.notify, v.rewritten, log)
	v.dispatcher.reports = v.mover.reports
	v.accord = accord.New(s.Name, c, func(ctx context.Context, charges []blame.Charge) {
		v.charges.Store(int64(len(charges)))
		v.dispatcher.notify(ctx, proxy.NewCharges(charges))
	}, func(name string) {
		if name == accord.Rewrite {
			v.rewritten("charge")
		}
		m.Counter("blame_total", "Steps of the agreement on prompt parts that crash engines.", "step", name).Inc()
	}, log)
	v.dispatcher.runLost, v.dispatcher.runSurvived = v.accord.RunLost, v.accord.RunSurvived
	v.watcher = newWatcher(c, s.BatchDelay, log)
	self := tree.NewVM(s.Name, s.Feed, s.LinkMbps).In(s.Domain, s.Region)
	v.enrol = enrol.New(self, sources.EnrolledPrefix, s.FirstStart, c, v.watcher.join, v.watcher.isJoined.Load, func() { v.rewritten("enrolment") }, log)
	v.watcher.alone = s.Feed == ""
	v.watcher.reader = feed.NewReader(s.Name, c, v.mirror, s.BatchDelay, log).WithObserver(func(source, result string) {
		m.Counter("feed_reads_total", "Reads of changes by the kind of source.", "source", source, "result", result).Inc()
	}).WithReceived(func(source string, bytes int) {
		m.Counter("feed_received_bytes_total", "Bytes of values in changes by the kind of source, as they were sent.", "source", source).Add(bytes)
	})
	v.watcher.apply, v.watcher.idle = v.applyChange, v.progress.confirm
	v.watcher.settleTime = s.SettleTime
	return v
}

// rewritten counts a key that is written again after a restoration of the store.
func (v *VM) rewritten(kind string) {
	v.metrics.Counter("store_rewrites_total", "Keys written again after the store was restored from a copy.", "kind", kind).Inc()
}

// Hold returns a holding for what a request makes the VM hold.
func (v *VM) Hold() *ledger.Holding { return v.account.Open() }

// WithControlShare limits the changes of the store that the VM passes on to a part of
// its link, from 0 to 1. Call it before Start.
func (v *VM) WithControlShare(share float64) *VM {
	v.controlShare = share
	return v
}

// Metrics returns the VM's metrics.
func (v *VM) Metrics() *meter.Registry { return v.metrics }

// Start opens the listeners and starts the VM's goroutines, which run until ctx
// ends or Shutdown is called. handler serves callers' requests.
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
	v.registerGauges()
	go v.dispatcher.run(ctx)
	go v.watcher.run(ctx)
	go v.mover.run(ctx)
	go v.accord.Run(ctx)
	go v.enrol.Run(ctx)
	go v.front.run()
	v.log.Info().Str("front", v.settings.Front).Str("ready", v.settings.Ready).Str("domain", v.settings.Domain).Msg("edge: Started.")
	return nil
}

// registerGauges registers the gauges.
func (v *VM) registerGauges() {
	d := v.dispatcher
	v.metrics.Watch("ready", "1 if the VM takes requests.", func() float64 {
		if v.Ready() {
			return 1
		}
		return 0
	})
	v.metrics.Watch("requests_live", "Requests in flight.", func() float64 { return float64(d.inFlight.Load()) })
	v.metrics.Watch("prompt_charges", "Charges in force against prompt parts that crash engines.", func() float64 { return float64(v.charges.Load()) })
	stat := func(read func(*coreStats) int) func() float64 {
		return func() float64 {
			if c := d.stats.Load(); c != nil {
				return float64(read(c))
			}
			return 0
		}
	}
	v.metrics.Watch("requests_waiting", "Requests in flight without an attempt that runs.", stat(func(c *coreStats) int { return c.waiting }))
	for state := range d.core.Pool().CountByState(d.now()) {
		v.metrics.Watch("upstreams", "Listed upstreams by state.", stat(func(c *coreStats) int { return c.upstreams[state] }), "state", state)
	}
	v.metrics.Watch("limited_upstreams", "Listed upstreams that name a limit on requests.", stat(func(c *coreStats) int { return c.limited }))
	v.metrics.Watch("slow_upstreams", "Listed upstreams whose latest reports say that work takes clearly longer than usual.", stat(func(c *coreStats) int { return c.slow }))
	v.metrics.Watch("table_version", "Version of the routing table in force, 0 for none.", func() float64 { return float64(d.table.Load().Version()) })
	v.metrics.Watch("table_age_seconds", "Time since the routing table in force arrived.", func() float64 {
		return d.now().Sub(time.Unix(0, d.tableSince.Load())).Seconds()
	})
	v.metrics.Watch("applied_age_seconds", "Time since the store confirmed the table and the upstreams that requests are served by.", func() float64 {
		return v.progress.age(d.now()).Seconds()
	})
	v.metrics.Watch("entries_kept", "Entries that are missing from the store but kept after an outage.", func() float64 { return float64(v.watcher.kept()) })
	v.metrics.Watch("store_era", "Number of times that the store was restored from a copy, as it states.", func() float64 { return float64(v.store.Era()) })
	v.metrics.Watch("entries_held", "Entries that stay in force although the restored store has others.", func() float64 { return float64(v.mirror.Held()) })
	v.metrics.Watch("store_age_seconds", "Time since the store, or a VM that it answered lately, confirmed the table and the upstreams.", func() float64 { return v.watcher.age().Seconds() })
}

// serveReady starts the listeners for the load balancer's checks and for operators.
func (v *VM) serveReady() error {
	rt := chi.NewRouter()
	rt.Get("/readyz", v.handleReady)
	rt.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	rt.Handle("/metrics", v.metrics)
	rt.Get("/where", where.NewHandler(v.settings.Name, v.dispatcher.inspect).ServeHTTP)
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

// serveFeed starts the listener that serves changes of the store to other VMs.
func (v *VM) serveFeed(ctx context.Context) error {
	if v.settings.Feed == "" {
		return nil
	}
	l, err := net.Listen("tcp", v.settings.Feed)
	if err != nil {
		return errors.Wrap(err, "edge: feed")
	}
	handlers := http.NewServeMux()
	handlers.Handle(wire.FeedPathPrefix, feed.NewServer(v.mirror).WithPace(v.settings.LinkMbps, v.controlShare).Handler())
	handlers.Handle(wire.BlamePathPrefix, accord.NewServer(v.accord).Handler())
	server := &http.Server{
		Handler:           handlers,
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

func (v *VM) handleReady(w http.ResponseWriter, _ *http.Request) {
	if v.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the load balancer should send new connections to the VM.
func (v *VM) Ready() bool { return v.dispatcher.ready.Load() && !v.draining.Load() }

// Draining reports whether the VM is stopping. Each answer must then close its
// connection.
func (v *VM) Draining() bool { return v.draining.Load() }

// limits returns the limits on callers in the current table.
func (v *VM) limits() table.Limits {
	if t := v.dispatcher.table.Load(); t != nil {
		return t.Limits()
	}
	return defaultLimits
}

// MaxBody returns the largest permitted request body in bytes, or 0 for no limit.
func (v *VM) MaxBody() int { return v.limits().MaxBodyBytes() }

// Submit queues a caller's request for the dispatcher. It returns the number
// that it assigns to the request, and a queue of the actions to perform towards
// the caller. The last action is the one whose kind is Final.
func (v *VM) Submit(ctx context.Context, s proxy.RequestSpec, m *Message) (uint64, *Output) {
	s.Number = v.lastNumber.Add(1)
	out := NewOutput(outputCap, v.account.Open())
	v.dispatcher.events.Put(ctx, queuedEvent{
		event: proxy.NewArrive(proxy.NewRequest(s)),
		arrival: &arrival{
			id:      s.ID,
			message: m,
			outputs: out,
		},
	})
	return s.Number, out
}

// CallerGone notifies the dispatcher that the caller of a request has
// disconnected.
func (v *VM) CallerGone(number uint64) {
	v.dispatcher.notify(context.Background(), proxy.NewCallerLeft(number))
}

// Shutdown stops the VM gracefully. The VM reports that it is not ready, serves
// new requests until the load balancer has noticed, finishes the requests in
// flight, and returns before the grace period ends.
func (v *VM) Shutdown(ctx context.Context) error {
	began := time.Now()
	v.draining.Store(true)
	end := began.Add(v.settings.Grace - shutdownMargin)
	v.dispatcher.notify(ctx, proxy.NewDrain(end))
	v.log.Info().Int64("live", v.dispatcher.inFlight.Load()).Msg("edge: Stopping.")
	limit, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	pause.Sleep(limit, drainDelay)
	pause.While(limit, drainPollInterval, func() bool { return v.dispatcher.inFlight.Load() > 0 })
	err := v.front.shutdown(limit)
	v.stop()
	v.log.Info().Int64("live", v.dispatcher.inFlight.Load()).Int64("ms", time.Since(began).Milliseconds()).Msg("edge: Stopped.")
	return err
}
