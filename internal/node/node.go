package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"clementinelink.example/clementinelink/internal/admin"
	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/front"
	"clementinelink.example/clementinelink/internal/meter"
	"clementinelink.example/clementinelink/internal/mover"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/internal/vmlist"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

// peerHeaderTimeout bounds the wait for a peer's request header.
const peerHeaderTimeout = 5 * time.Second

// hooks are the functions that follow a node's work.
type hooks struct {
	// report is called by the dispatcher with each response that ended.
	report []func(now time.Time, r *relay.Response)
}

// Node is one entry VM.
type Node struct {
	settings *Settings
	log      zerolog.Logger
	events   *ring.Ring[message]
	engine   *engine.Client
	hooks    *hooks
	dispatch *dispatcher
	cancel   *canceller
	members  *members
	reporter *reporter
	mover    *mover.Duty
	front    *front.Server
	calls    *calls
	store    *store.Client
	peers    *peer.Client
	follow   *config.Duty
	gossip   *gossip
	ledger   *ledger
	watcher  *watcher
	// incarnation is unique to this start of the process.
	incarnation uint64
	// vms is the latest VM list.
	vms     atomic.Pointer[[]*world.VM]
	changed notice
	// config is the configuration in force, published by the config duty.
	config atomic.Pointer[world.Map]
	// leaving is true from the beginning of a shutdown.
	leaving   atomic.Bool
	duties    sync.WaitGroup
	listeners map[string]net.Listener
	servers   []*http.Server
	// halt ends every duty.
	halt context.CancelFunc
}

// New wires a node from checked settings.
func New(s *Settings, log zerolog.Logger) (*Node, error) {
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	c := dig.New()
	for _, f := range []any{
		func() *Settings { return s },
		func() zerolog.Logger { return log },
		func() *ring.Ring[message] { return ring.New[message](eventCap, ring.Wait) },
		func() (*cursor.Codec, error) { return cursor.Parse(s.Keys) },
		func() *hooks { return &hooks{} },
		newEngine,
		newRouter,
		newList,
		newStore,
		newConfig,
		func() *meter.Registry { return meter.New("clementine") },
		func(r *meter.Registry) *peer.Client {
			sent := r.Counter("peer_bytes_total", "Bytes sent to other entry VMs.")
			return peer.NewClient(sent.Add)
		},
		newWatcher,
		func(e *engine.Client) *canceller { return newCanceller(e.Cancel) },
		func(events *ring.Ring[message], e *engine.Client) *reporter { return newReporter(events, e.Load) },
		newMover,
		newNode,
	} {
		if err := c.Provide(f); err != nil {
			return nil, errors.Wrap(err, "node: wire")
		}
	}
	var n *Node
	if err := c.Invoke(func(built *Node) { n = built }); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "node: wire")
	}
	return n, nil
}

func newEngine(events *ring.Ring[message]) *engine.Client {
	return engine.NewClient(func(ctx context.Context, ev router.Event) {
		events.Put(ctx, message{event: ev})
	})
}

func newRouter(s *Settings, h *hooks) *router.Router {
	return router.New(s.Region, s.Seed, func(now time.Time, r *relay.Response) {
		for _, f := range h.report {
			f(now, r)
		}
	})
}

func newList(s *Settings) *vmlist.Client { return vmlist.New(s.VMs) }

// parts are what a node is made of. It is filled by dig.
type parts struct {
	dig.In

	Settings *Settings
	Log      zerolog.Logger
	Events   *ring.Ring[message]
	Router   *router.Router
	Engine   *engine.Client
	Hooks    *hooks
	Cancel   *canceller
	Reporter *reporter
	List     *vmlist.Client
	Codec    *cursor.Codec
	Store    *store.Client
	Peers    *peer.Client
	Follow   *config.Duty
	Watcher  *watcher
	Mover    *mover.Duty
}

func newNode(p parts) *Node {
	n := &Node{
		settings:    p.Settings,
		log:         p.Log,
		events:      p.Events,
		engine:      p.Engine,
		hooks:       p.Hooks,
		cancel:      p.Cancel,
		reporter:    p.Reporter,
		store:       p.Store,
		peers:       p.Peers,
		follow:      p.Follow,
		watcher:     p.Watcher,
		mover:       p.Mover,
		incarnation: uint64(time.Now().UnixNano()),
		listeners:   make(map[string]net.Listener),
	}
	n.dispatch = newDispatcher(p.Router, p.Events, p.Engine, p.Cancel, p.Log, p.Watcher.observe)
	n.members = &members{
		fetch:   p.List.List,
		publish: n.publish,
		failed:  func(err error) { p.Log.Warn().Err(err).Msg("members: The VM list is unavailable.") },
	}
	n.calls = newCalls(p.Settings, p.Peers, p.Log)
	n.ledger = newLedger(p.Settings.Name, n.incarnation)
	n.gossip = &gossip{
		self:  p.Settings.Name,
		peers: p.Peers,
		rng:   rand.New(rand.NewPCG(n.incarnation, 2)),
		list:  n.list,
		news:  n.news,
		take:  n.take,
	}
	n.follow.WithPublish(n.adopt)
	n.front = front.New(p.Codec, n.current, n.generate, n.leave).
		WithReady(n.ready).
		WithObserve(func(s *burn.Sample) {
			n.watcher.sample(s)
			n.ledger.take(s)
		}).
		WithCall(n.calls.desk.Serve)
	n.OnReport(p.Watcher.report)
	n.OnReport(func(_ time.Time, r *relay.Response) {
		if s := resumed(n.dispatch.router.Config(), r); s != nil {
			n.ledger.take(s)
		}
	})
	return n
}

// OnReport adds a function that the dispatcher calls with each response that
// ended. It must be called before Start.
func (n *Node) OnReport(f func(now time.Time, r *relay.Response)) {
	n.hooks.report = append(n.hooks.report, f)
}

// Simple makes the node use the baseline policy of router.Simple. It must be
// called before Start.
func (n *Node) Simple(timeout time.Duration) { n.dispatch.router.Simple(timeout) }

// Plain makes the node use the baseline admission of router.Plain. It must be
// called before Start.
func (n *Node) Plain() { n.dispatch.router.Plain() }

// Start opens the listeners and starts the duties.
func (n *Node) Start(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	ctx, n.halt = context.WithCancel(ctx)
	n.duty(func() { n.dispatch.run(ctx) })
	n.duty(func() { n.members.run(ctx) })
	n.duty(func() { n.reporter.run(ctx) })
	n.duty(func() { n.ledger.run(ctx) })
	n.duty(func() { n.gossip.run(ctx) })
	n.duty(func() { _ = n.follow.Run(ctx) })
	n.calls.start(ctx, n.duty)
	n.duty(func() { n.mover.Run(ctx) })
	for range pollers {
		n.duty(func() { n.reporter.poll(ctx) })
	}
	for range cancellers {
		n.duty(func() { n.cancel.run(ctx, n.cancel.orders) })
	}
	for range repeaters {
		n.duty(func() { n.cancel.run(ctx, n.cancel.repeats) })
	}
	n.serve("callers", n.front.HTTP())
	n.serve("operators", n.operators().HTTP())
	n.serve("peers", &http.Server{
		Handler:           n.peerServer().Handler(),
		ReadHeaderTimeout: peerHeaderTimeout,
	})
	n.log.Info().Str("callers", n.Addr()).Str("operators", n.AdminAddr()).Str("peers", n.PeerAddr()).Msg("node: The VM is up.")
	return nil
}

// listen opens all listeners, or none of them.
func (n *Node) listen() error {
	for name, address := range map[string]string{
		"callers":   n.settings.Listen,
		"operators": n.settings.Admin,
		"peers":     n.settings.Peer,
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range n.listeners {
				_ = open.Close()
			}
			return errors.Wrapf(err, "node: listener for %s", name)
		}
		n.listeners[name] = l
	}
	return nil
}

// operators returns the operators' HTTP interface.
func (n *Node) operators() *admin.Server {
	// A submission writes up to 35 parts at once and is rare, so it has a budget
	// of its own.
	submissions := store.New(n.settings.Store, n.incarnation).WithBudget(submitReads, submitWrites)
	h := submit.NewHandler(submit.NewSubmitter(submit.Over(submissions)), submit.Sources{
		Now:   time.Now,
		Head:  n.head,
		Parts: func() map[string][]byte { return n.follow.Snapshot().Named() },
		Await: n.await,
		Moves: n.Moves,
	})
	return admin.New(n.ready, func() any { return n.watcher.latest.Load() }, n.watcher.metrics, n.burnReport).
		WithRoute(http.MethodPost, "/apply", h.Apply).
		WithRoute(http.MethodGet, "/status", h.Status).
		WithRoute(http.MethodGet, "/history", h.History)
}

// peerServer returns the service for other entry VMs.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(n.exchange, n.parts, n.claimPeer, func() *wire.BurnReply {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		return n.ledger.reply(ctx)
	})
}

// Addr returns the address of the callers' listener.
func (n *Node) Addr() string { return n.listeners["callers"].Addr().String() }

// AdminAddr returns the address of the operators' listener.
func (n *Node) AdminAddr() string { return n.listeners["operators"].Addr().String() }

// PeerAddr returns the address of the listener for other entry VMs, which the
// platform's list names.
func (n *Node) PeerAddr() string { return n.listeners["peers"].Addr().String() }

// Revision returns the configuration revision in force, 0 for none.
func (n *Node) Revision() uint64 {
	if m := n.config.Load(); m != nil {
		return m.Revision()
	}
	return 0
}

// Configure puts a configuration in force. A revision that is not higher than
// the present one changes nothing.
func (n *Node) Configure(ctx context.Context, m *world.Map) {
	for {
		old := n.config.Load()
		if old != nil && old.Revision() >= m.Revision() {
			return
		}
		if n.config.CompareAndSwap(old, m) {
			break
		}
	}
	n.events.Put(ctx, message{event: router.NewConfig(m)})
	n.mover.SetConfig(m)
	n.log.Info().Uint64("revision", m.Revision()).Msg("config: A revision is in force.")
}

// Shutdown stops taking requests, waits for the load balancer to notice, lets
// every request finish until ctx ends, and then stops the duties.
func (n *Node) Shutdown(ctx context.Context) error {
	n.leaving.Store(true)
	n.log.Info().Msg("node: The VM is leaving.")
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	var failed error
	for _, s := range n.servers {
		failed = errors.CombineErrors(failed, s.Shutdown(ctx))
	}
	failed = errors.CombineErrors(failed, n.calls.drain(ctx))
	n.Close()
	return errors.Wrap(failed, "node: shutdown")
}

// Close stops at once, as a crash would.
func (n *Node) Close() {
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.halt()
	n.duties.Wait()
	n.engine.Close()
	n.calls.close()
}

func (n *Node) duty(run func()) {
	n.duties.Go(run)
}

// serve starts the duty of a listener.
func (n *Node) serve(name string, s *http.Server) {
	n.servers = append(n.servers, s)
	n.duty(func() {
		if err := s.Serve(n.listeners[name]); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("listener", name).Msg("node: A listener failed.")
		}
	})
}

// ready reports whether the load balancer may send requests here: a
// configuration and the VM list are known, and no shutdown has begun.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.config.Load() != nil && n.vms.Load() != nil
}

// list returns the latest VM list.
func (n *Node) list() []*world.VM {
	if vms := n.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}

// publish hands a VM list to the duties that follow it.
func (n *Node) publish(ctx context.Context, vms []*world.VM) {
	n.vms.Store(&vms)
	n.events.Put(ctx, message{event: router.NewMembers(vms)})
	n.reporter.lists.Put(ctx, vms)
	n.calls.follow(ctx, vms)
	n.follow.SetMembers(vms)
	entries := 0
	for _, vm := range vms {
		if vm.Kind() == world.Entry {
			entries++
		}
	}
	n.store.SetBudget(storeReads/float64(max(entries, 1)), storeWrites/float64(max(entries, 1)))
	n.mover.SetMembers(vms)
}

// generate hands a request to the dispatcher.
func (n *Node) generate(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem {
	m := message{
		event:   router.NewArrive(rq),
		outputs: out,
	}
	if !n.events.Put(ctx, m) {
		return errs.New(errs.Overload, errs.NotRun, "the VM is overloaded").WithRetry(time.Second)
	}
	return nil
}

// leave reports a caller that disconnected.
func (n *Node) leave(id string) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	n.events.Put(ctx, message{event: router.NewGone(id)})
}
