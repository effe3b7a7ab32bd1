package edge

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// eventCap holds some seconds of events at the peak of one VM; producers
	// wait when it is full.
	eventCap = 4096
	// outputCap holds a whole stream of 190 pieces, so that only a caller that
	// does not read at all fills it.
	outputCap = 512
	// censusStep is the time between two counts for metrics, and so the longest
	// sleep of the dispatcher; see pool.BenchmarkCensus.
	censusStep = time.Second
)

// arrival is a caller's request on its way to the dispatcher.
type arrival struct {
	id      string
	message *Message
	outputs *ring.Ring[proxy.Action]
}

// signal is an event on its way to the dispatcher; arrival is set for a
// caller's request.
type signal struct {
	event   proxy.Event
	arrival *arrival
}

// request is what the dispatcher keeps of a caller's request.
type request struct {
	arrival
	arrived time.Time
	stops   map[int]context.CancelFunc
	// sends counts the attempts, and copies those from a standby copy.
	sends  int
	copies int
	pieces int
	first  time.Duration
	last   time.Time
	// pause is the longest time between two pieces.
	pause time.Duration
	// resumed is true from a sending that continues a stream to its next piece.
	resumed bool
	// back is the position of a caller that came back for the rest of a stream,
	// and kept is true if its prompt was found at an engine.
	back int
	kept bool
	// unwritten is the first sending, until it is logged.
	unwritten *sendLine
}

// Dispatcher is the duty that owns the decision core.
type Dispatcher struct {
	events    *ring.Ring[signal]
	core      *proxy.Core
	upstreams Upstreams
	requests  map[uint64]*request
	now       func() time.Time
	journal   *journal
	// moves takes verdicts and counts for the duty that moves services; it
	// drops the oldest when it is full.
	moves *ring.Ring[traffic]
	// left holds the requests of old versions by service that is moved.
	left map[string]int
	// counted is when the core was counted last, and census what was found.
	counted time.Time
	census  atomic.Pointer[census]
	// adopted is when the table in force arrived, in Unix nanoseconds.
	adopted atomic.Int64
	// ready and table mirror the core for other duties.
	ready atomic.Bool
	live  atomic.Int64
	table atomic.Pointer[table.Table]
}

func newDispatcher(core *proxy.Core, u Upstreams, j *journal) *Dispatcher {
	d := &Dispatcher{
		events:    ring.New[signal](eventCap, ring.Wait),
		core:      core,
		upstreams: u,
		requests:  make(map[uint64]*request),
		left:      make(map[string]int),
		now:       time.Now,
		journal:   j,
	}
	j.table = func() (int64, time.Time) { return version(core), time.Unix(0, d.adopted.Load()) }
	return d
}

// tell gives the dispatcher an event.
func (d *Dispatcher) tell(ctx context.Context, e proxy.Event) {
	d.events.Put(ctx, signal{
		event: e,
	})
}

// run handles events until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(censusStep)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-d.events.Out():
			if s.arrival != nil {
				d.requests[s.event.Number()] = &request{
					arrival: *s.arrival,
					arrived: d.now(),
					stops:   make(map[int]context.CancelFunc),
				}
			}
			d.step(ctx, s.event)
		case <-timer.C:
			d.step(ctx, proxy.Event{})
		}
		timer.Reset(d.sleep())
	}
}

// sleep returns the time to the core's next timer, or to the next count.
func (d *Dispatcher) sleep() time.Duration {
	next := d.counted.Add(censusStep)
	if at, ok := d.core.Next(); ok && at.Before(next) {
		next = at
	}
	return max(next.Sub(d.now()), 0)
}

// step applies an event and carries out the actions. A caller whose ring is
// full is treated as gone.
func (d *Dispatcher) step(ctx context.Context, e proxy.Event) {
	now := d.now()
	d.journal.event(e, d.requests[e.Number()], d.core)
	var stalled []uint64
	for _, a := range d.core.Step(now, e) {
		if !d.perform(ctx, now, a) {
			stalled = append(stalled, a.Number())
		}
	}
	for _, n := range stalled {
		for _, a := range d.core.Step(now, proxy.NewGone(n)) {
			d.perform(ctx, now, a)
		}
	}
	d.countMoves(ctx, e)
	d.ready.Store(d.core.Ready())
	d.live.Store(int64(len(d.requests)))
	if t := d.core.Table(); d.table.Swap(t) != t {
		d.adopted.Store(now.UnixNano())
	}
	d.count(now)
}

// census is what other duties are told of the core.
type census struct {
	waiting   int
	upstreams map[string]int
}

// count counts what stands in the core, once a censusStep: it looks at every
// upstream.
func (d *Dispatcher) count(now time.Time) {
	if now.Sub(d.counted) < censusStep {
		return
	}
	d.counted = now
	d.census.Store(&census{
		waiting:   d.core.Waiting(),
		upstreams: d.core.Pool().Census(now),
	})
}

// countMoves tells the moving duty how many requests of old versions are left,
// whenever it sends limits.
func (d *Dispatcher) countMoves(ctx context.Context, e proxy.Event) {
	if e.Kind() != proxy.Shift {
		return
	}
	d.left[e.Service()] = d.core.Left(e.Service())
	d.moves.Put(ctx, traffic{
		left: maps.Clone(d.left),
	})
}

// perform carries out an action. It never waits, and returns false when the
// caller's ring is full.
func (d *Dispatcher) perform(ctx context.Context, now time.Time, a proxy.Action) bool {
	r := d.requests[a.Number()]
	d.journal.action(now, a, r)
	if a.Kind() == proxy.Judge {
		v := a.Verdict()
		d.moves.Put(ctx, traffic{
			verdict: &v,
		})
		return true
	}
	if a.Kind().Question() {
		d.question(ctx, a, r)
		return true
	}
	if r == nil {
		return true
	}
	switch a.Kind() {
	case proxy.Send:
		r.sends++
		attempt, stop := context.WithDeadline(ctx, a.Until())
		r.stops[a.Attempt()] = stop
		go d.upstreams.Send(attempt, d.order(a, r), func(e proxy.Event) { d.tell(attempt, e) })
		return true
	case proxy.Cancel:
		d.stop(r, a.Attempt())
		return true
	case proxy.Pass:
		d.journal.piece(now, r)
		r.passed(now)
	}
	ok := r.outputs.Put(ctx, a)
	if a.Kind().Last() {
		for n := range r.stops {
			d.stop(r, n)
		}
		delete(d.requests, a.Number())
	}
	return ok
}

func (d *Dispatcher) order(a proxy.Action, r *request) Order {
	o := Order{
		Number:    a.Number(),
		Attempt:   a.Attempt(),
		ID:        r.id,
		Message:   r.message,
		Address:   a.Upstream().Address(),
		Instance:  a.Instance(),
		Copied:    a.Copied(),
		Stream:    a.Stream(),
		Position:  a.Position(),
		Until:     a.Until(),
		Rank:      a.Rank(),
		Workspace: a.Workspace(),
	}
	if a.Copied() {
		r.copies++
		o.Source, o.Handle = a.Source()
	}
	if a.Holder() != nil {
		o.Holder = a.Holder().Address()
	}
	return o
}

func (d *Dispatcher) stop(r *request, attempt int) {
	if stop := r.stops[attempt]; stop != nil {
		stop()
		delete(r.stops, attempt)
	}
}

func (r *request) passed(now time.Time) {
	if r.pieces == 0 {
		r.first = now.Sub(r.arrived)
	} else {
		r.pause = max(r.pause, now.Sub(r.last))
	}
	r.pieces++
	r.last = now
}
