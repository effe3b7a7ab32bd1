package mover

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/lease"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// stepMost and stepLeast bound the time between two steps of the moves, and
	// stepShare is that time as a part of the shortest move: a move of a few
	// seconds, as in tests, passes through its stages in time.
	stepMost  = time.Second
	stepLeast = 100 * time.Millisecond
	stepShare = 1.0 / 60
	// outcomeRing holds about 4 s of responses at 2,000 a second.
	outcomeRing = 8192
	loadRing    = 1024
	newsRing    = 64
	answerRing  = 256
	// orderTimeout bounds one order to an engine.
	orderTimeout = 2 * time.Second
	// defaultPulls is the time between two load orders of one move.
	defaultPulls = time.Second
	// firstLoad is the expected time of a load until one was measured.
	firstLoad = 30 * time.Second
)

// Duty runs the moves. Run owns all state; the other methods may be called from
// any goroutine and never wait.
type Duty struct {
	name        string
	incarnation uint64
	log         zerolog.Logger
	// pulls is the shortest time between two load orders of one move.
	pulls time.Duration

	now func() time.Time
	// read returns the stored record of a key; an absent one is a zero Entry.
	read func(ctx context.Context, key string) (store.Entry, error)
	// write stores a record by compare-and-swap and is sent once.
	write func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// hold carries out an operation of a lease.
	hold func(ctx context.Context, s lease.Settings, key, value string, a lease.Action) (lease.Event, bool)
	// order sends an order to an engine.
	order func(ctx context.Context, vm *world.VM, a order.Action) (order.Reply, error)
	// limit gives the limits of a service's version under test to the router.
	limit func(ctx context.Context, service, version string, l move.Limits, banned bool)
	// count counts a decision by its name.
	count func(decision string)
	// begin runs an operation that may wait, beside the duty.
	begin func(run func())

	configs  *ring.Ring[*world.Map]
	lists    *ring.Ring[[]*world.VM]
	loads    *ring.Ring[report]
	outcomes *ring.Ring[outcome]
	news     *ring.Ring[news]
	// answers carries what operations found out, to be applied by the duty.
	answers *ring.Ring[func(ctx context.Context, now time.Time)]
	workers sync.WaitGroup

	set *move.Set
	// tracks holds the declared move of each service.
	tracks  map[string]*track
	engines map[string]*host
	// revision is that of the configuration in force.
	revision uint64
	// entries holds the names of the listed entry VMs, this one included; it
	// is empty until a list is known.
	entries []string
	leaving bool
	gossip  gossip
	// every is the time between two steps of all moves, stepped that of the last.
	every   time.Duration
	stepped time.Time

	evidence atomic.Pointer[[]*wire.Evidence]
	// turn is the position in the evidence from which the next peer gets rows.
	turn     atomic.Uint64
	verdicts atomic.Pointer[[]*wire.Verdict]
	statuses atomic.Pointer[[]move.Status]
}

// news is what one peer told.
type news struct {
	evidence []*wire.Evidence
	verdicts []*wire.Verdict
}

// report is one load report, or a failure to get it.
type report struct {
	vm   *world.VM
	load fleet.Load
	err  error
	at   time.Time
}

// New returns the duty of the named VM; incarnation is unique to this start of
// the process. Without further settings it reads no store and sends no orders.
func New(name string, incarnation uint64, log zerolog.Logger) *Duty {
	d := &Duty{
		name:        name,
		incarnation: incarnation,
		log:         log,
		pulls:       defaultPulls,
		now:         time.Now,
		read: func(context.Context, string) (store.Entry, error) {
			return store.Entry{}, store.ErrUnavailable
		},
		write: func(context.Context, string, []byte, uint64) (uint64, error) {
			return 0, store.ErrUnavailable
		},
		hold: func(_ context.Context, _ lease.Settings, _, _ string, a lease.Action) (lease.Event, bool) {
			return lease.Failed(a.Op(), lease.Unavailable), true
		},
		order: func(context.Context, *world.VM, order.Action) (order.Reply, error) {
			return order.Refused, nil
		},
		limit:    func(context.Context, string, string, move.Limits, bool) {},
		count:    func(string) {},
		configs:  ring.New[*world.Map](1, ring.DropOldest),
		lists:    ring.New[[]*world.VM](1, ring.DropOldest),
		loads:    ring.New[report](loadRing, ring.DropOldest),
		outcomes: ring.New[outcome](outcomeRing, ring.DropOldest),
		news:     ring.New[news](newsRing, ring.DropOldest),
		answers:  ring.New[func(context.Context, time.Time)](answerRing, ring.Wait),
		set:      move.NewSet(),
		tracks:   make(map[string]*track),
		engines:  make(map[string]*host),
		gossip:   newGossip(),
		every:    stepMost,
	}
	d.begin = func(run func()) { d.workers.Go(run) }
	return d
}

// WithStore keeps records and leases in the platform's store. Call it before
// Run.
func (d *Duty) WithStore(c *store.Client) *Duty {
	d.read = c.Get
	d.write = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		return c.Put(ctx, key, value, expect, "")
	}
	d.hold = func(ctx context.Context, s lease.Settings, key, value string, a lease.Action) (lease.Event, bool) {
		return lease.Perform(ctx, c, s, key, value, a)
	}
	return d
}

// WithOrders sets the function that sends orders, and the shortest time
// between two load orders of one move, which the weight store's rate allows; 0
// means 1 s. Call it before Run.
func (d *Duty) WithOrders(send func(ctx context.Context, vm *world.VM, a order.Action) (order.Reply, error), pulls time.Duration) *Duty {
	d.order = send
	if pulls > 0 {
		d.pulls = pulls
	}
	return d
}

// WithLimit sets the function that gives limits to the router; banned means
// that the version gets no new work. It is called once a second for each move, and when the record changes.
// Call it before Run.
func (d *Duty) WithLimit(limit func(ctx context.Context, service, version string, l move.Limits, banned bool)) *Duty {
	d.limit = limit
	return d
}

// WithCount sets the function that counts decisions. Call it before Run.
func (d *Duty) WithCount(count func(decision string)) *Duty {
	d.count = count
	return d
}

// SetConfig passes on a new configuration.
func (d *Duty) SetConfig(m *world.Map) { d.configs.Put(context.Background(), m) }

// SetMembers passes on the VM list.
func (d *Duty) SetMembers(vms []*world.VM) { d.lists.Put(context.Background(), vms) }

// SetLoad passes on an engine's load report, or the error instead of one.
func (d *Duty) SetLoad(vm *world.VM, l fleet.Load, err error) {
	d.loads.Put(context.Background(), report{
		vm:   vm,
		load: l,
		err:  err,
		at:   d.now(),
	})
}

// Dropped returns the number of outcomes that were dropped because this duty
// was too slow.
func (d *Duty) Dropped() uint64 { return d.outcomes.Dropped() }

// Status returns the state of each move, sorted by service.
func (d *Duty) Status() []move.Status {
	if s := d.statuses.Load(); s != nil {
		return *s
	}
	return nil
}

// Run performs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	defer d.workers.Wait()
	timer := time.NewTimer(d.every)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.configs.Out():
			d.configure(ctx, m)
			d.step(ctx, d.now())
		case vms := <-d.lists.Out():
			d.list(vms)
		case r := <-d.loads.Out():
			d.load(r)
		case o := <-d.outcomes.Out():
			d.judge(o)
		case n := <-d.news.Out():
			d.hear(n)
		case apply := <-d.answers.Out():
			apply(ctx, d.now())
		case <-timer.C:
			d.wake(ctx, d.now())
		}
		timer.Reset(max(d.due().Sub(d.now()), 0))
	}
}

// due returns the time of the next wake.
func (d *Duty) due() time.Time {
	at := d.stepped.Add(d.every)
	for _, t := range d.tracks {
		if !t.wake.IsZero() && t.wake.Before(at) {
			at = t.wake
		}
	}
	return at
}

// wake handles the passing of time.
func (d *Duty) wake(ctx context.Context, now time.Time) {
	for _, t := range d.tracks {
		if !t.wake.IsZero() && !now.Before(t.wake) {
			t.wake = time.Time{}
			t.contend(ctx, now, lease.Tick())
		}
	}
	if !now.Before(d.stepped.Add(d.every)) {
		d.step(ctx, now)
	}
}

// step steps every move and publishes what peers and operators get.
func (d *Duty) step(ctx context.Context, now time.Time) {
	d.stepped = now
	for _, service := range d.services() {
		d.tracks[service].step(ctx, now)
	}
	d.publish(now)
}

// configure follows the declared moves.
func (d *Duty) configure(ctx context.Context, m *world.Map) {
	if m.Revision() <= d.revision {
		return
	}
	d.revision = m.Revision()
	for service, t := range d.tracks {
		s := m.Service(service)
		if s == nil || s.Move() == nil || move.RecordKey(service, s.Move()) != t.key {
			t.close(ctx, d.now())
			delete(d.tracks, service)
		}
	}
	for name, s := range m.Services() {
		if s.Kind() != world.Engine || s.Move() == nil {
			continue
		}
		if t := d.tracks[name]; t != nil {
			t.service = s
			continue
		}
		d.tracks[name] = newTrack(d, s)
		d.decide("start", d.tracks[name]).Time("deadline", s.Move().Deadline()).Msg("move: A move is declared.")
	}
	d.every = stepMost
	for _, t := range d.tracks {
		span := float64(t.plan.Deadline().Sub(t.plan.Start()))
		d.every = min(d.every, max(time.Duration(stepShare*span), stepLeast))
	}
}

// decide counts a decision and returns its log entry.
func (d *Duty) decide(decision string, t *track) *zerolog.Event {
	d.count(decision)
	return d.log.Info().Str("decision", decision).Str("service", t.service.Name()).
		Str("move", t.plan.Name()).Str("version", t.plan.To())
}
