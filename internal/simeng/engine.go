package simeng

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/simeng/host"
	"github.com/cockroachdb/errors"
)

// counters are kept over restarts, so that ratios include the work of killed
// incarnations.
type counters struct {
	generated atomic.Uint64
	started   atomic.Uint64
	finished  atomic.Uint64
	cancelled atomic.Uint64
	// wasted counts the generated tokens of cancelled attempts.
	wasted  atomic.Uint64
	refused atomic.Uint64
	// holdAt is the value of generated at which generation stops, 0 for none.
	holdAt atomic.Uint64
	// fence is the highest fencing number of the orders so far.
	fence atomic.Uint64
}

// settings holds the options of an engine. It doesn't change after New.
type settings struct {
	address         string
	model           string
	versions        []string
	role            string
	slots           int
	queue           int
	tokenGap        time.Duration
	gapGrowth       float64
	prefillPerToken time.Duration
	cacheBlocks     int
	eventLag        time.Duration
	// eventLossInterval n loses each n-th cache event, 0 none.
	eventLossInterval uint64
	loadLag           time.Duration
	retention         time.Duration
	loadTime          time.Duration
	fencing           bool
	pullWeights       func(ctx context.Context, model, version string) error
	listen            func(address string) (net.Listener, error)
}

// Option changes a setting of an engine.
type Option func(*settings)

// WithAddress sets the listening address host:port; default 127.0.0.1:0.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithModel sets the model name; another model's requests get 409. By default
// any model is accepted.
func WithModel(model string) Option { return func(s *settings) { s.model = model } }

// WithVersions sets the versions loaded at each start; default "v1".
func WithVersions(versions ...string) Option { return func(s *settings) { s.versions = versions } }

// WithSlots sets the batch size and the length of the waiting queue; default
// 16 and 32.
func WithSlots(slots, queue int) Option {
	return func(s *settings) {
		s.slots = slots
		s.queue = queue
	}
}

// WithGap sets the token gap of a batch of one and its relative growth up to a
// full batch; default 40 ms and 0.5.
func WithGap(gap time.Duration, growth float64) Option {
	return func(s *settings) {
		s.tokenGap = gap
		s.gapGrowth = growth
	}
}

// WithPrefill sets the time per uncached prompt or prefix token; default 100 µs.
func WithPrefill(d time.Duration) Option { return func(s *settings) { s.prefillPerToken = d } }

// WithCache sets the cache size in blocks of 16 tokens, the delay of cache
// events, and the interval at which events are lost: n loses each n-th event, 0
// none. Defaults are 4096, 500 ms and 20.
func WithCache(blocks int, lag time.Duration, lossInterval uint64) Option {
	return func(s *settings) {
		s.cacheBlocks = blocks
		s.eventLag = lag
		s.eventLossInterval = lossInterval
	}
}

// WithLoadLag sets the interval of samples of the load; default 250 ms.
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithRetain sets how long a stream is kept without a reader; default 30 s.
func WithRetain(d time.Duration) Option { return func(s *settings) { s.retention = d } }

// WithFencing sets whether orders with an old fencing number are rejected;
// default true.
func WithFencing(on bool) Option { return func(s *settings) { s.fencing = on } }

// WithWeights sets the function that pulls a version from the weight store and
// the time that a load takes after the pull; default no pull and 2 s. A failed
// pull is repeated until it succeeds or the version is unloaded.
func WithWeights(pull func(ctx context.Context, model, version string) error, load time.Duration) Option {
	return func(s *settings) {
		s.pullWeights = pull
		s.loadTime = load
	}
}

// WithListen sets the function that binds the address; default net.Listen.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(s *settings) { s.listen = listen }
}

// Engine is a simulated model engine. Its methods may be called concurrently.
type Engine struct {
	name     string
	settings *settings
	counters *counters
	host     *host.Host

	mu sync.Mutex
	// current is the running incarnation, nil while the engine is down.
	current *incarnation
	// starts counts the incarnations so far.
	starts uint64
	// closed makes pending restarts do nothing.
	closed bool
}

// incarnation is one run of the engine, from Start to Kill or Close.
type incarnation struct {
	batch  *batch
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed when the batch goroutine has returned.
	done chan struct{}
}

// New returns a stopped engine; Start runs it.
func New(name string, opts ...Option) *Engine {
	s := &settings{
		address:           "127.0.0.1:0",
		versions:          []string{"v1"},
		role:              "serve",
		slots:             16,
		queue:             32,
		tokenGap:          40 * time.Millisecond,
		gapGrowth:         0.5,
		prefillPerToken:   100 * time.Microsecond,
		cacheBlocks:       4096,
		eventLag:          500 * time.Millisecond,
		eventLossInterval: 20,
		loadLag:           250 * time.Millisecond,
		retention:         30 * time.Second,
		loadTime:          2 * time.Second,
		fencing:           true,
		pullWeights:       func(context.Context, string, string) error { return nil },
	}
	for _, o := range opts {
		o(s)
	}
	return &Engine{
		name:     name,
		settings: s,
		counters: &counters{},
		host:     host.New(s.address).WithListen(s.listen),
	}
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.name }

// Address returns host:port, valid after Start.
func (e *Engine) Address() string { return e.host.Address() }

// Generated returns the number of tokens generated since New, over restarts
// and including cancelled attempts.
func (e *Engine) Generated() uint64 { return e.counters.generated.Load() }

// Started returns the number of attempts taken since New, over restarts.
func (e *Engine) Started() uint64 { return e.counters.started.Load() }

// HoldAfter stops generation after n further tokens until Release, so that a
// test can act at a known position of a stream independent of scheduling
// delays. Call it while no stream is running.
func (e *Engine) HoldAfter(n uint64) { e.counters.holdAt.Store(e.Generated() + n) }

// Release resumes generation after HoldAfter.
func (e *Engine) Release() { e.counters.holdAt.Store(0) }

// HasVersion reports whether a version is loaded now. It is false while the
// engine is down.
func (e *Engine) HasVersion(version string) bool {
	e.mu.Lock()
	inc := e.current
	e.mu.Unlock()
	if inc == nil {
		return false
	}
	held, ok := runOnBatch(inc, inc.batch.controls, func(b *batch, _ time.Time) bool { return b.versions.loaded(version) })
	return held && ok
}

// Start listens and serves in the background. It fails if the engine already
// runs or the address can't be bound.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return errors.Newf("simeng: engine %s is already running", e.name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	// The start time makes incarnations of separate processes differ.
	id := uint64(time.Now().UnixMilli())<<8 | e.starts&0xff
	inc := &incarnation{
		batch:  newBatch(e.settings, e.counters, id),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	if err := e.host.Start(e.routes(inc)); err != nil {
		cancel()
		return err
	}
	e.starts++
	e.current = inc
	go func() {
		defer close(inc.done)
		inc.batch.run(inc.ctx)
	}()
	return nil
}

// Restart starts a new incarnation on the same address, after Kill.
func (e *Engine) Restart() error { return e.Start() }

// Kill resets all connections and stops the engine; its streams are lost.
func (e *Engine) Kill() { e.stop(e.host.Kill) }

// Close stops the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop(e.host.Close)
}

// Inject starts a fault. It fails for an invalid fault and, unless the fault is
// Kill, while the engine is down.
func (e *Engine) Inject(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	if f.mode == Kill {
		e.Kill()
		if f.duration > 0 {
			time.AfterFunc(f.duration, e.restartAfterKill)
		}
		return nil
	}
	e.mu.Lock()
	inc := e.current
	e.mu.Unlock()
	if inc == nil {
		return errors.Newf("engine %s is down", e.name)
	}
	if _, ok := runOnBatch(inc, inc.batch.controls, func(b *batch, now time.Time) bool {
		b.inject(f, now)
		return true
	}); !ok {
		return errors.Newf("engine %s went down", e.name)
	}
	return nil
}

// restartAfterKill starts a new incarnation unless the engine is closed.
func (e *Engine) restartAfterKill() {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if !closed {
		// If the port is still in use, the engine stays down as after a crash.
		_ = e.Start()
	}
}

// stop ends the running incarnation, if any, and waits for its batch.
func (e *Engine) stop(stopHost func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return
	}
	stopHost()
	e.current.cancel()
	<-e.current.done
	e.current = nil
}
