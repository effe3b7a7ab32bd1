package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
)

const (
	// eventCap holds about 4 s of tokens at the peak of one VM.
	eventCap = 8192
	// idleTick is the longest sleep of the dispatcher.
	idleTick = time.Second
)

// message is an event on its way to the dispatcher.
type message struct {
	event router.Event
	// outputs is the caller's ring, set for an arrival.
	outputs *ring.Ring[relay.Output]
}

// dispatcher is the duty that owns all generations of this VM.
type dispatcher struct {
	events *ring.Ring[message]
	router *router.Router
	engine *engine.Client
	cancel *canceller
	// outputs holds the ring of each caller that waits for its response.
	outputs map[string]*ring.Ring[relay.Output]
	// attempts holds the stop function of each running attempt.
	attempts map[string]map[uint32]context.CancelFunc
	now      func() time.Time
	log      zerolog.Logger
	// observe is called after each event, for metrics and status.
	observe func(now time.Time, rt *router.Router)
}

func newDispatcher(rt *router.Router, events *ring.Ring[message], c *engine.Client, cancel *canceller, log zerolog.Logger, observe func(now time.Time, rt *router.Router)) *dispatcher {
	return &dispatcher{
		events:   events,
		router:   rt,
		engine:   c,
		cancel:   cancel,
		outputs:  make(map[string]*ring.Ring[relay.Output]),
		attempts: make(map[string]map[uint32]context.CancelFunc),
		now:      time.Now,
		log:      log,
		observe:  observe,
	}
}

// run handles events until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return
		case m := <-d.events.Out():
			if m.outputs != nil {
				d.outputs[m.event.ID()] = m.outputs
			}
			d.step(ctx, m.event)
		case <-timer.C:
			d.step(ctx, router.NewTick())
		}
		timer.Reset(d.sleep())
	}
}

// sleep returns the time to the router's next timer.
func (d *dispatcher) sleep() time.Duration {
	at, ok := d.router.Next()
	if !ok {
		return idleTick
	}
	return min(max(at.Sub(d.now()), 0), idleTick)
}

// step applies an event and the events that its actions cause.
func (d *dispatcher) step(ctx context.Context, ev router.Event) {
	now := d.now()
	if ev.Kind() == router.Gone {
		delete(d.outputs, ev.ID())
	}
	pending := []router.Event{ev}
	for len(pending) > 0 {
		actions := d.router.Step(now, pending[0])
		pending = pending[1:]
		for _, a := range actions {
			if !d.perform(ctx, a) {
				pending = append(pending, router.NewStall(a.Request().ID()))
			}
		}
	}
	d.observe(now, d.router)
}

// perform carries out an action. It never waits, and returns false when the
// caller's output ring is full.
func (d *dispatcher) perform(ctx context.Context, a relay.Action) bool {
	id := a.Request().ID()
	if a.Engine() != nil {
		d.log.Debug().Str("request", id).Str("trace", a.Request().Trace()).Uint32("attempt", a.Attempt()).
			Str("engine", a.Engine().Name()).Int("offset", len(a.Prefix())+a.Offset()).Msg("router: Attempt " + a.Kind().String() + ".")
	}
	switch a.Kind() {
	case relay.Open:
		go d.engine.Open(d.begin(ctx, id, a.Attempt()), a)
	case relay.Attach:
		go d.engine.Attach(d.begin(ctx, id, a.Attempt()), a)
	case relay.Detach:
		d.halt(id, a.Attempt())
	case relay.Cancel:
		d.halt(id, a.Attempt())
		d.cancel.put(ctx, a.Address(), id, a.Attempt())
	case relay.Emit:
		return d.emit(ctx, id, a.Output())
	case relay.End:
		for n := range d.attempts[id] {
			d.halt(id, n)
		}
		delete(d.attempts, id)
		delete(d.outputs, id)
	}
	return true
}

// emit hands an output to the caller and reports whether there was room. A
// caller that has left has no ring. A caller whose ring refused an output ends
// its response by itself once it has read what the ring holds.
func (d *dispatcher) emit(ctx context.Context, id string, o relay.Output) bool {
	out := d.outputs[id]
	return out == nil || out.Put(ctx, o)
}

func (d *dispatcher) begin(ctx context.Context, id string, attempt uint32) context.Context {
	ctx, stop := context.WithCancel(ctx)
	if d.attempts[id] == nil {
		d.attempts[id] = make(map[uint32]context.CancelFunc)
	}
	d.attempts[id][attempt] = stop
	return ctx
}

func (d *dispatcher) halt(id string, attempt uint32) {
	if stop := d.attempts[id][attempt]; stop != nil {
		stop()
		delete(d.attempts[id], attempt)
	}
}

func (d *dispatcher) stop() {
	for _, as := range d.attempts {
		for _, stop := range as {
			stop()
		}
	}
}
