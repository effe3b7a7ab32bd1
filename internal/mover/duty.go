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
	// maxStepInterval and minStepInterval bound the time between two steps of
	// all moves. In between it is stepFraction of the shortest move, so that a
	// move of a few seconds, as in tests, still passes all its stages.
	maxStepInterval = time.Second
	minStepInterval = 100 * time.Millisecond
	stepFraction    = 1.0 / 60
	// outcomeRingSize is enough for 4 s of responses at 2,000 per second.
	outcomeRingSize    = 8192
	reportRingSize     = 1024
	updateRingSize     = 64
	completionRingSize = 256
	// orderTimeout bounds the request that sends an order to an engine.
	orderTimeout = 2 * time.Second
	// defaultLoadInterval is the minimum time between two load orders of one
	// move, unless WithOrders sets another.
	defaultLoadInterval = time.Second
	// initialLoadTime is the expected time of a load until one is measured.
	initialLoadTime = 30 * time.Second
)

// Duty runs the moves of one entry VM. Run owns all state; the other methods,
// except those that configure the Duty before Run, may be called from any
// goroutine and never block.
type Duty struct {
	name        string
	incarnation uint64
	log         zerolog.Logger
	// loadInterval is the minimum time between two load orders of one move.
	loadInterval time.Duration

	now func() time.Time
	// read returns the stored value of a key, or a zero Entry if there is none.
	read func(ctx context.Context, key string) (store.Entry, error)
	// write stores a value by compare-and-swap, without retries, and returns its
	// revision.
	write func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
	// leaseOp carries out an operation of a lease.
	leaseOp func(ctx context.Context, s lease.Settings, key, value string, a lease.Action) (lease.Event, bool)
	// sendOrder sends an order to an engine.
	sendOrder func(ctx context.Context, vm *world.VM, a order.Action) (order.Reply, error)
	// setLimits passes the limits of a service's new version to the router.
	setLimits func(ctx context.Context, service, version string, l move.Limits, banned bool)
	// countDecision increments the counter of a decision.
	countDecision func(decision string)
	// runAsync runs a blocking operation in another goroutine.
	runAsync func(run func())

	configs  *ring.Ring[*world.Config]
	vmLists  *ring.Ring[[]*world.VM]
	reports  *ring.Ring[loadReport]
	outcomes *ring.Ring[outcome]
	updates  *ring.Ring[peerUpdate]
	// completions carries functions that apply the results of asynchronous
	// operations. Run calls them.
	completions *ring.Ring[func(ctx context.Context, now time.Time)]
	workers     sync.WaitGroup

	set *move.EvidenceSet
	// trackers holds the tracker of each service with a declared move.
	trackers map[string]*moveTracker
	engines  map[string]*engineState
	// revision is the revision of the current configuration.
	revision uint64
	// entries holds the names of the listed entry VMs and of this one. It is
	// empty until the first list arrives.
	entries []string
	leaving bool
	gossip  gossip
	// stepInterval is the time between two steps of all moves, steppedAt the
	// time of the last one.
	stepInterval time.Duration
	steppedAt    time.Time

	evidence atomic.Pointer[[]*wire.Evidence]
	// evidenceOffset is the index of the first row for the next peer, modulo
	// the number of rows.
	evidenceOffset atomic.Uint64
	verdicts       atomic.Pointer[[]*wire.Verdict]
	statuses       atomic.Pointer[[]move.Status]
}

// peerUpdate holds evidence or verdicts that a peer sent.
type peerUpdate struct {
	evidence []*wire.Evidence
	verdicts []*wire.Verdict
}

// loadReport is a load report of an engine, or the error instead of one.
type loadReport struct {
	vm   *world.VM
	load fleet.Load
	err  error
	at   time.Time
}

// New returns the Duty of the named VM. The incarnation must be unique to this
// start of the process. Without WithStore and WithOrders it uses no store and
// sends no orders.
func New(name string, incarnation uint64, log zerolog.Logger) *Duty {
	d := &Duty{
		name:         name,
		incarnation:  incarnation,
		log:          log,
		loadInterval: defaultLoadInterval,
		now:          time.Now,
		read: func(context.Context, string) (store.Entry, error) {
			return store.Entry{}, store.ErrUnavailable
		},
		write: func(context.Context, string, []byte, uint64) (uint64, error) {
			return 0, store.ErrUnavailable
		},
		leaseOp: func(_ context.Context, _ lease.Settings, _, _ string, a lease.Action) (lease.Event, bool) {
			return lease.Failed(a.Op(), lease.Unavailable), true
		},
		sendOrder: func(context.Context, *world.VM, order.Action) (order.Reply, error) {
			return order.Refused, nil
		},
		setLimits:     func(context.Context, string, string, move.Limits, bool) {},
		countDecision: func(string) {},
		configs:       ring.New[*world.Config](1, ring.DropOldest),
		vmLists:       ring.New[[]*world.VM](1, ring.DropOldest),
		reports:       ring.New[loadReport](reportRingSize, ring.DropOldest),
		outcomes:      ring.New[outcome](outcomeRingSize, ring.DropOldest),
		updates:       ring.New[peerUpdate](updateRingSize, ring.DropOldest),
		completions:   ring.New[func(context.Context, time.Time)](completionRingSize, ring.Wait),
		set:           move.NewEvidenceSet(),
		trackers:      make(map[string]*moveTracker),
		engines:       make(map[string]*engineState),
		gossip:        newGossip(),
		stepInterval:  maxStepInterval,
	}
	d.runAsync = func(run func()) { d.workers.Go(run) }
	return d
}

// WithStore sets the store that holds records and leases. Call it before Run.
func (d *Duty) WithStore(c *store.Client) *Duty {
	d.read = c.Get
	d.write = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		return c.Put(ctx, key, value, expect, "")
	}
	d.leaseOp = func(ctx context.Context, s lease.Settings, key, value string, a lease.Action) (lease.Event, bool) {
		return lease.Perform(ctx, c, s, key, value, a)
	}
	return d
}

// WithOrders sets the function that sends orders, and the minimum time between
// two load orders of one move, which limits the load on the weight store. An
// interval of 0 means 1 s. Call it before Run.
func (d *Duty) WithOrders(send func(ctx context.Context, vm *world.VM, a order.Action) (order.Reply, error), interval time.Duration) *Duty {
	d.sendOrder = send
	if interval > 0 {
		d.loadInterval = interval
	}
	return d
}

// WithLimit sets the function that passes limits to the router. If banned is
// true, the version must get no new requests. Once the state of a move is known,
// the function is called at least once per second and when the record changes.
// Call it before Run.
func (d *Duty) WithLimit(limit func(ctx context.Context, service, version string, l move.Limits, banned bool)) *Duty {
	d.setLimits = limit
	return d
}

// WithCount sets the function that counts decisions. Call it before Run.
func (d *Duty) WithCount(count func(decision string)) *Duty {
	d.countDecision = count
	return d
}

// SetConfig replaces the configuration. Older revisions are ignored.
func (d *Duty) SetConfig(m *world.Config) { d.configs.Put(context.Background(), m) }

// SetVMs replaces the list of the platform's VMs.
func (d *Duty) SetVMs(vms []*world.VM) { d.vmLists.Put(context.Background(), vms) }

// SetLoad records an engine's load report, or the error instead of one.
func (d *Duty) SetLoad(vm *world.VM, l fleet.Load, err error) {
	d.reports.Put(context.Background(), loadReport{
		vm:   vm,
		load: l,
		err:  err,
		at:   d.now(),
	})
}

// Dropped returns the number of outcomes that were dropped because Run did not
// keep up.
func (d *Duty) Dropped() uint64 { return d.outcomes.Dropped() }

// Status returns the status of each move, sorted by service.
func (d *Duty) Status() []move.Status {
	if s := d.statuses.Load(); s != nil {
		return *s
	}
	return nil
}

// Run steps the moves and handles all inputs until ctx ends. Call it once.
func (d *Duty) Run(ctx context.Context) {
	defer d.workers.Wait()
	timer := time.NewTimer(d.stepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.configs.Out():
			d.configure(ctx, m)
			d.step(ctx, d.now())
		case vms := <-d.vmLists.Out():
			d.setVMs(vms)
		case r := <-d.reports.Out():
			d.handleReport(r)
		case o := <-d.outcomes.Out():
			d.recordOutcome(o)
		case n := <-d.updates.Out():
			d.mergeUpdate(n)
		case apply := <-d.completions.Out():
			apply(ctx, d.now())
		case <-timer.C:
			d.handleTimer(ctx, d.now())
		}
		timer.Reset(max(d.nextWake().Sub(d.now()), 0))
	}
}

// nextWake returns when handleTimer must be called next.
func (d *Duty) nextWake() time.Time {
	at := d.steppedAt.Add(d.stepInterval)
	for _, t := range d.trackers {
		if !t.leaseWake.IsZero() && t.leaseWake.Before(at) {
			at = t.leaseWake
		}
	}
	return at
}

// handleTimer steps the leases and the moves that are due.
func (d *Duty) handleTimer(ctx context.Context, now time.Time) {
	for _, t := range d.trackers {
		if !t.leaseWake.IsZero() && !now.Before(t.leaseWake) {
			t.leaseWake = time.Time{}
			t.stepLease(ctx, now, lease.Tick())
		}
	}
	if !now.Before(d.steppedAt.Add(d.stepInterval)) {
		d.step(ctx, now)
	}
}

// step steps every move and publishes the results to peers and operators.
func (d *Duty) step(ctx context.Context, now time.Time) {
	d.steppedAt = now
	for _, service := range d.services() {
		d.trackers[service].step(ctx, now)
	}
	d.publish(now)
}

// configure starts and stops trackers according to the declared moves.
func (d *Duty) configure(ctx context.Context, m *world.Config) {
	if m.Revision() <= d.revision {
		return
	}
	d.revision = m.Revision()
	for service, t := range d.trackers {
		s := m.Service(service)
		if s == nil || s.Move() == nil || move.RecordKey(service, s.Move()) != t.key {
			t.close(ctx, d.now())
			delete(d.trackers, service)
		}
	}
	for name, s := range m.Services() {
		if s.Kind() != world.Engine || s.Move() == nil {
			continue
		}
		if t := d.trackers[name]; t != nil {
			t.service = s
			continue
		}
		d.trackers[name] = newMoveTracker(d, s)
		d.logDecision("start", d.trackers[name]).Time("deadline", s.Move().Deadline()).Msg("move: A move is declared.")
	}
	d.stepInterval = maxStepInterval
	for _, t := range d.trackers {
		span := float64(t.plan.Deadline().Sub(t.plan.Start()))
		d.stepInterval = min(d.stepInterval, max(time.Duration(stepFraction*span), minStepInterval))
	}
}

// logDecision counts a decision and returns an unsent log entry for it.
func (d *Duty) logDecision(decision string, t *moveTracker) *zerolog.Event {
	d.countDecision(decision)
	return d.log.Info().Str("decision", decision).Str("service", t.service.Name()).
		Str("move", t.plan.Name()).Str("version", t.plan.To())
}
