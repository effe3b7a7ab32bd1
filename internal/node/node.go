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
	"clementinelink.example/clementinelink/internal/cancel"
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

// hooks holds callbacks for events in a node.
type hooks struct {
	// responseEnded holds the functions that the dispatcher calls with each
	// response that ended.
	responseEnded []func(now time.Time, r *relay.Response)
}

// Node is one entry VM. Use New to create it, Start to run it, and Shutdown or
// Close to stop it.
type Node struct {
	settings     *Settings
	log          zerolog.Logger
	events       *ring.Ring[message]
	engine       *engine.Client
	hooks        *hooks
	dispatcher   *dispatcher
	canceller    *cancel.Sender
	members      *members
	loadPoller   *loadPoller
	mover        *mover.Duty
	front        *front.Server
	calls        *calls
	store        *store.Client
	peers        *peer.Client
	configDuty   *config.Duty
	gossip       *gossip
	burnRecorder *burnRecorder
	monitor      *monitor
	// incarnation identifies this run of the process.
	incarnation uint64
	// memberList is the latest VM list.
	memberList atomic.Pointer[[]*world.VM]
	// changed is signalled when another configuration is in force.
	changed broadcast
	// config is the configuration in force, published by the config duty.
	config atomic.Pointer[world.Config]
	// leaving is true from the beginning of a shutdown.
	leaving   atomic.Bool
	duties    sync.WaitGroup
	listeners map[string]net.Listener
	servers   []*http.Server
	// cancelDuties cancels the context of all duties.
	cancelDuties context.CancelFunc
}

// New returns a node for settings that have passed Settings.Check. If the seed
// is 0, New sets a random one in s.
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
		newMembersClient,
		newStore,
		newConfig,
		func() *meter.Registry { return meter.New("clementine") },
		func(r *meter.Registry) *peer.Client {
			sent := r.Counter("peer_bytes_total", "Bytes sent to other entry VMs.")
			return peer.NewClient(sent.Add)
		},
		newMonitor,
		func(e *engine.Client) *cancel.Sender { return cancel.NewSender(e.Cancel) },
		func(events *ring.Ring[message], e *engine.Client) *loadPoller { return newLoadPoller(events, e.Load) },
		newMover,
		newNode,
	} {
		if err := c.Provide(f); err != nil {
			return nil, errors.Wrap(err, "node: resolve dependencies")
		}
	}
	var n *Node
	if err := c.Invoke(func(built *Node) { n = built }); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "node: resolve dependencies")
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
		for _, f := range h.responseEnded {
			f(now, r)
		}
	})
}

func newMembersClient(s *Settings) *vmlist.Client { return vmlist.New(s.VMs) }

// dependencies holds the components of a node. It is filled by dig.
type dependencies struct {
	dig.In

	Settings   *Settings
	Log        zerolog.Logger
	Events     *ring.Ring[message]
	Router     *router.Router
	Engine     *engine.Client
	Hooks      *hooks
	Canceller  *cancel.Sender
	LoadPoller *loadPoller
	Members    *vmlist.Client
	Codec      *cursor.Codec
	Store      *store.Client
	Peers      *peer.Client
	Config     *config.Duty
	Monitor    *monitor
	Mover      *mover.Duty
}

func newNode(deps dependencies) *Node {
	if dial := deps.Settings.dial; dial != nil {
		deps.Engine.WithDial(dial)
		deps.Members.WithDial(dial)
		deps.Store.WithDial(dial)
		deps.Peers.WithDial(dial)
	}
	n := &Node{
		settings:    deps.Settings,
		log:         deps.Log,
		events:      deps.Events,
		engine:      deps.Engine,
		hooks:       deps.Hooks,
		canceller:   deps.Canceller,
		loadPoller:  deps.LoadPoller,
		store:       deps.Store,
		peers:       deps.Peers,
		configDuty:  deps.Config,
		monitor:     deps.Monitor,
		mover:       deps.Mover,
		incarnation: uint64(time.Now().UnixNano()),
		listeners:   make(map[string]net.Listener),
	}
	n.dispatcher = newDispatcher(deps.Router, deps.Events, deps.Engine, deps.Canceller, deps.Log, deps.Monitor.observe)
	n.members = &members{
		fetch:       deps.Members.List,
		publish:     n.publishMembers,
		fetchFailed: func(err error) { deps.Log.Warn().Err(err).Msg("members: The VM list is unavailable.") },
	}
	n.calls = newCalls(deps.Settings, deps.Peers, deps.Log)
	n.burnRecorder = newBurnRecorder(deps.Settings.Name, n.incarnation)
	n.gossip = &gossip{
		self:    deps.Settings.Name,
		peers:   deps.Peers,
		rng:     rand.New(rand.NewPCG(n.incarnation, 2)),
		members: n.currentMembers,
		state:   n.localState,
		apply:   n.applyReply,
	}
	n.configDuty.WithPublish(n.applySnapshot)
	n.front = front.New(deps.Codec, n.current, n.generate, n.disconnected).
		WithReady(n.ready).
		WithObserve(func(s *burn.Sample) {
			n.monitor.countRequest(s)
			n.burnRecorder.record(s)
		}).
		WithCall(n.calls.server.Serve)
	n.OnResponseEnd(deps.Monitor.countResponse)
	n.OnResponseEnd(func(_ time.Time, r *relay.Response) {
		if s := newResumeSample(n.dispatcher.router.Config(), r); s != nil {
			n.burnRecorder.record(s)
		}
	})
	return n
}

// OnResponseEnd adds a function that the dispatcher calls with each response
// that ended. It must be called before Start.
func (n *Node) OnResponseEnd(f func(now time.Time, r *relay.Response)) {
	n.hooks.responseEnded = append(n.hooks.responseEnded, f)
}

// UseBaselinePolicy makes the node use the baseline policy of
// router.UseBaseline. It must be called before Start.
func (n *Node) UseBaselinePolicy(timeout time.Duration) { n.dispatcher.router.UseBaseline(timeout) }

// UseBaselineAdmission makes the node use the baseline admission of
// router.SetFIFO. It must be called before Start.
func (n *Node) UseBaselineAdmission() { n.dispatcher.router.SetFIFO() }

// Start opens the listeners and starts the duties. Call Shutdown or Close to
// stop the node.
func (n *Node) Start(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	ctx, n.cancelDuties = context.WithCancel(ctx)
	n.startDuty(func() { n.dispatcher.run(ctx) })
	n.startDuty(func() { n.members.run(ctx) })
	n.startDuty(func() { n.loadPoller.schedule(ctx) })
	n.startDuty(func() { n.burnRecorder.run(ctx) })
	n.startDuty(func() { n.gossip.run(ctx) })
	n.startDuty(func() { _ = n.configDuty.Run(ctx) })
	n.calls.start(ctx, n.startDuty)
	n.startDuty(func() { n.mover.Run(ctx) })
	for range pollWorkers {
		n.startDuty(func() { n.loadPoller.poll(ctx) })
	}
	n.canceller.Start(ctx, n.startDuty)
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
	listen := n.settings.listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for name, address := range map[string]string{
		"callers":   n.settings.Listen,
		"operators": n.settings.Admin,
		"peers":     n.settings.Peer,
	} {
		l, err := listen(address)
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
	// A submission writes up to 35 parts at once and is rare, so submissions have
	// a separate budget.
	submissions := store.New(n.settings.Store, n.incarnation).WithBudget(submitReads, submitWrites)
	if n.settings.dial != nil {
		submissions.WithDial(n.settings.dial)
	}
	h := submit.NewHandler(submit.NewSubmitter(submit.NewClientStore(submissions)).WithKnown(n.Revision), submit.Sources{
		Now:   time.Now,
		Head:  n.head,
		Parts: func() map[string][]byte { return n.configDuty.Snapshot().PartsByName() },
		Await: n.awaitRevision,
		Moves: n.Moves,
	})
	return admin.New(n.ready, func() any { return n.monitor.latest.Load() }, n.monitor.metrics, n.burnReport).
		WithRoute(http.MethodPost, "/apply", h.Apply).
		WithRoute(http.MethodGet, "/status", h.Status).
		WithRoute(http.MethodGet, "/history", h.History)
}

// peerServer returns the server for requests of other entry VMs.
func (n *Node) peerServer() *peer.Server {
	return peer.NewServer(n.exchange, n.parts, n.claimPeer, func() *wire.BurnReply {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return n.burnRecorder.reply(ctx)
	})
}

// Addr returns the address of the callers' listener.
func (n *Node) Addr() string { return n.listeners["callers"].Addr().String() }

// AdminAddr returns the address of the operators' listener.
func (n *Node) AdminAddr() string { return n.listeners["operators"].Addr().String() }

// PeerAddr returns the address of the listener for other entry VMs. It is the
// address in the platform's VM list.
func (n *Node) PeerAddr() string { return n.listeners["peers"].Addr().String() }

// Revision returns the configuration revision in force, or 0 if there is none.
func (n *Node) Revision() uint64 {
	if m := n.config.Load(); m != nil {
		return m.Revision()
	}
	return 0
}

// Configure puts a configuration in force. It does nothing if the revision is
// not higher than the present one.
func (n *Node) Configure(ctx context.Context, m *world.Config) {
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

// Shutdown makes the VM report that it is not ready, waits for the load balancer
// to notice, stops accepting requests, lets the running ones finish until ctx
// ends, and then stops the duties.
func (n *Node) Shutdown(ctx context.Context) error {
	n.leaving.Store(true)
	n.log.Info().Msg("node: The VM is leaving.")
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	var err error
	for _, s := range n.servers {
		err = errors.CombineErrors(err, s.Shutdown(ctx))
	}
	err = errors.CombineErrors(err, n.calls.drain(ctx))
	n.Close()
	return errors.Wrap(err, "node: shutdown")
}

// Close stops the node at once, without waiting for requests, like a crash.
func (n *Node) Close() {
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.cancelDuties()
	n.duties.Wait()
	n.engine.Close()
	n.calls.close()
}

// startDuty runs a duty in its own goroutine, which Close waits for.
func (n *Node) startDuty(run func()) {
	n.duties.Go(run)
}

// serve starts the duty that serves HTTP on a listener.
func (n *Node) serve(name string, s *http.Server) {
	n.servers = append(n.servers, s)
	n.startDuty(func() {
		if err := s.Serve(n.listeners[name]); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error().Err(err).Str("listener", name).Msg("node: A listener failed.")
		}
	})
}

// ready reports whether the load balancer may send requests to this VM: it has a
// configuration and a VM list, and no shutdown has begun.
func (n *Node) ready() bool {
	return !n.leaving.Load() && n.config.Load() != nil && n.memberList.Load() != nil
}

// currentMembers returns the latest VM list, or nil before the first one.
func (n *Node) currentMembers() []*world.VM {
	if vms := n.memberList.Load(); vms != nil {
		return *vms
	}
	return nil
}

// publishMembers passes a VM list to the duties that use it.
func (n *Node) publishMembers(ctx context.Context, vms []*world.VM) {
	n.memberList.Store(&vms)
	n.events.Put(ctx, message{event: router.NewMembers(vms)})
	n.loadPoller.lists.Put(ctx, vms)
	n.calls.setMembers(ctx, vms)
	n.configDuty.SetMembers(vms)
	entries := 0
	for _, vm := range vms {
		if vm.Kind() == world.Entry {
			entries++
		}
	}
	n.store.SetBudget(storeReads/float64(max(entries, 1)), storeWrites/float64(max(entries, 1)))
	n.mover.SetVMs(vms)
}

// generate passes a request to the dispatcher.
func (n *Node) generate(ctx context.Context, rq *relay.Request, out *ring.Ring[relay.Output]) *errs.Problem {
	arrival := message{
		event:   router.NewArrive(rq),
		outputs: out,
	}
	if !n.events.Put(ctx, arrival) {
		return errs.New(errs.Overload, errs.NotRun, "the VM is overloaded").WithRetry(time.Second)
	}
	return nil
}

// disconnected tells the dispatcher that a caller has disconnected.
func (n *Node) disconnected(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.events.Put(ctx, message{event: router.NewCallerLeft(id)})
}
