package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/cancel"
	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
)

const (
	// eventCap is the capacity of the dispatcher's event ring. It holds about 4 s
	// of tokens at the peak rate of one VM.
	eventCap = 8192
	// maxSleep is the longest time between two steps of the router.
	maxSleep = time.Second
)

// message is an event for the dispatcher.
type message struct {
	event router.Event
	// outputs is the ring for the response of a request that arrives, nil for
	// other events.
	outputs *ring.Ring[relay.Output]
}

// dispatcher is the duty that owns the router and all generations of this VM. It
// passes events to the router and performs the actions that the router returns.
type dispatcher struct {
	events    *ring.Ring[message]
	router    *router.Router
	engine    *engine.Client
	canceller *cancel.Sender
	// outputs holds the ring of each caller that waits for its response.
	outputs map[string]*ring.Ring[relay.Output]
	// attempts holds the cancel function of each running attempt, by request id
	// and attempt number.
	attempts map[string]map[uint32]context.CancelFunc
	now      func() time.Time
	log      zerolog.Logger
	// observe is called after each event, for metrics and status.
	observe func(now time.Time, rt *router.Router)
}

func newDispatcher(rt *router.Router, events *ring.Ring[message], c *engine.Client, canceller *cancel.Sender, log zerolog.Logger, observe func(now time.Time, rt *router.Router)) *dispatcher {
	return &dispatcher{
		events:    events,
		router:    rt,
		engine:    c,
		canceller: canceller,
		outputs:   make(map[string]*ring.Ring[relay.Output]),
		attempts:  make(map[string]map[uint32]context.CancelFunc),
		now:       time.Now,
		log:       log,
		observe:   observe,
	}
}

// run handles events until ctx ends, and then cancels all attempts.
func (d *dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stopAll()
			return
		case m := <-d.events.Out():
			if m.outputs != nil {
				d.outputs[m.event.ID()] = m.outputs
			}
			d.step(ctx, m.event)
		case <-timer.C:
			d.step(ctx, router.NewTick())
		}
		timer.Reset(d.untilNextTimer())
	}
}

// untilNextTimer returns the time until the router's next timer, at most
// maxSleep.
func (d *dispatcher) untilNextTimer() time.Duration {
	at, ok := d.router.Next()
	if !ok {
		return maxSleep
	}
	return min(max(at.Sub(d.now()), 0), maxSleep)
}

// step applies an event and the events that its actions cause.
func (d *dispatcher) step(ctx context.Context, ev router.Event) {
	now := d.now()
	if ev.Kind() == router.CallerLeft {
		delete(d.outputs, ev.ID())
	}
	pending := []router.Event{ev}
	for len(pending) > 0 {
		actions := d.router.Step(now, pending[0])
		pending = pending[1:]
		for _, a := range actions {
			if !d.perform(ctx, a) {
				pending = append(pending, router.NewSlowReader(a.Request().ID()))
			}
		}
	}
	d.observe(now, d.router)
}

// perform carries out an action without blocking. It returns false if the
// caller's output ring is full.
func (d *dispatcher) perform(ctx context.Context, a relay.Action) bool {
	id := a.Request().ID()
	if a.Engine() != nil {
		d.log.Debug().Str("request", id).Str("trace", a.Request().Trace()).Uint32("attempt", a.Attempt()).
			Str("engine", a.Engine().Name()).Int("offset", len(a.Prefix())+a.Offset()).Msg("router: Attempt " + a.Kind().String() + ".")
	}
	switch a.Kind() {
	case relay.Open:
		go d.engine.Open(d.startAttempt(ctx, id, a.Attempt()), a)
	case relay.Attach:
		go d.engine.Attach(d.startAttempt(ctx, id, a.Attempt()), a)
	case relay.Detach:
		d.stopAttempt(id, a.Attempt())
	case relay.Cancel:
		d.stopAttempt(id, a.Attempt())
		d.canceller.Enqueue(ctx, a.Address(), id, a.Attempt())
	case relay.Emit:
		return d.emit(ctx, id, a.Output())
	case relay.End:
		for n := range d.attempts[id] {
			d.stopAttempt(id, n)
		}
		delete(d.attempts, id)
		delete(d.outputs, id)
	}
	return true
}

// emit puts an output into the caller's ring and returns false if the ring is
// full. A caller that disconnected has no ring. If the ring refused an output,
// package front ends the response after it has read the rest of the ring.
func (d *dispatcher) emit(ctx context.Context, id string, o relay.Output) bool {
	out := d.outputs[id]
	return out == nil || out.Put(ctx, o)
}

// startAttempt returns the context of a new attempt.
func (d *dispatcher) startAttempt(ctx context.Context, id string, attempt uint32) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	if d.attempts[id] == nil {
		d.attempts[id] = make(map[uint32]context.CancelFunc)
	}
	d.attempts[id][attempt] = cancel
	return ctx
}

func (d *dispatcher) stopAttempt(id string, attempt uint32) {
	if cancel := d.attempts[id][attempt]; cancel != nil {
		cancel()
		delete(d.attempts[id], attempt)
	}
}

func (d *dispatcher) stopAll() {
	for _, attempts := range d.attempts {
		for _, cancel := range attempts {
			cancel()
		}
	}
}
