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

	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/front"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/vmlist"
	"clementinelink.example/clementinelink/internal/world"
)

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
	front    *front.Server
	// config is the configuration in force, published by the config duty.
	config atomic.Pointer[world.Map]
	// ready is false before the first configuration and during shutdown.
	ready   atomic.Bool
	duties  sync.WaitGroup
	callers net.Listener
	server  *http.Server
	// halt ends every duty.
	halt context.CancelFunc
}

// New wires a node from checked settings.
func New(s *Settings, log zerolog.Logger) (*Node, error) {
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
		func(e *engine.Client) *canceller { return newCanceller(e.Cancel) },
		func(events *ring.Ring[message], e *engine.Client) *reporter { return newReporter(events, e.Load) },
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
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return router.New(s.Region, seed, nil, func(now time.Time, r *relay.Response) {
		for _, f := range h.report {
			f(now, r)
		}
	})
}

func newList(s *Settings) *vmlist.Client { return vmlist.New(s.VMs) }

func newNode(s *Settings, log zerolog.Logger, events *ring.Ring[message], rt *router.Router, e *engine.Client,
	h *hooks, cancel *canceller, rep *reporter, list *vmlist.Client, codec *cursor.Codec) *Node {
	n := &Node{
		settings: s,
		log:      log,
		events:   events,
		engine:   e,
		hooks:    h,
		cancel:   cancel,
		reporter: rep,
	}
	n.dispatch = newDispatcher(rt, events, e, cancel, func(time.Time, *router.Router) {})
	listLog := log.With().Str("part", "members").Logger()
	n.members = &members{
		fetch:   list.List,
		publish: n.publish,
		failed:  func(err error) { listLog.Warn().Err(err).Msg("members: The VM list is unavailable.") },
	}
	n.front = front.New(codec, n.config.Load, n.generate, n.leave).
		WithReady(n.ready.Load)
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
	l, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "node: callers' listener")
	}
	n.callers = l
	ctx, n.halt = context.WithCancel(ctx)
	n.duty(func() { n.dispatch.run(ctx) })
	n.duty(func() { n.members.run(ctx) })
	n.duty(func() { n.reporter.run(ctx) })
	for range pollers {
		n.duty(func() { n.reporter.poll(ctx) })
	}
	for range cancellers {
		n.duty(func() { n.cancel.run(ctx, n.cancel.orders) })
	}
	for range repeaters {
		n.duty(func() { n.cancel.run(ctx, n.cancel.repeats) })
	}
	n.server = n.front.HTTP()
	n.duty(func() { n.serve(n.server, l) })
	n.log.Info().Str("listen", l.Addr().String()).Msg("node: The VM is up.")
	return nil
}

// Addr returns the address of the callers' listener.
func (n *Node) Addr() string { return n.callers.Addr().String() }

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
	n.ready.Store(true)
	n.log.Info().Uint64("revision", m.Revision()).Msg("config: A revision is in force.")
}

// Shutdown stops taking requests, waits for the load balancer to notice, lets
// every request finish until ctx ends, and then stops the duties.
func (n *Node) Shutdown(ctx context.Context) error {
	n.ready.Store(false)
	n.log.Info().Msg("node: The VM is leaving.")
	select {
	case <-time.After(n.settings.Drain):
	case <-ctx.Done():
	}
	err := n.server.Shutdown(ctx)
	n.Close()
	return errors.Wrap(err, "node: shutdown")
}

// Close stops at once, as a crash would.
func (n *Node) Close() {
	_ = n.server.Close()
	n.halt()
	n.duties.Wait()
	n.engine.Close()
}

func (n *Node) duty(run func()) {
	n.duties.Go(run)
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Msg("node: A listener failed.")
	}
}

func (n *Node) publish(ctx context.Context, vms []*world.VM) {
	n.events.Put(ctx, message{event: router.NewMembers(vms)})
	n.reporter.lists.Put(ctx, vms)
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
