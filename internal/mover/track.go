package mover

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/lease"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// leaseTTL is the time to live of a move's lease. A dead holder is replaced
	// within about one and a half of it, which costs a move little.
	leaseTTL = 9 * time.Second
	// leaseSettle bounds the time from the last check of the lease to the
	// effect of an order.
	leaseSettle = orderTimeout + time.Second
	// pollRate bounds the reads a second of all VMs for one move; the store
	// takes about 2,000.
	pollRate = 100
)

// unloadGrace is the time for every VM to stop using a version that is rolled
// back, before the last streams of it get their deadline to end.
const unloadGrace = 5 * time.Second

// track is one declared move on this VM.
type track struct {
	duty    *Duty
	service *world.Service
	plan    *world.Move
	// key is the record's key; it also names the move in verdicts.
	key        string
	controller *move.Controller
	settings   lease.Settings
	lease      *lease.Lease
	// contending is true while this VM wants the lease.
	contending bool
	// wake is when the lease wants a tick, or zero.
	wake time.Time
	// held is when this VM was last told that it holds the lease; zero while
	// it does not.
	held time.Time
	// planner is set while this VM holds the lease.
	planner *order.Planner
	record  move.Record
	// revision is the record's store revision as last seen.
	revision uint64
	// known is true once the record was read or a peer told the result. Until
	// then this VM can't know that the version was rolled back, so the new
	// version gets no traffic from it.
	known   bool
	reading bool
	// readAt is when the last successful read began, next when one is due.
	readAt time.Time
	next   time.Time
	// failed is the verdict of failure of this VM or a peer, or "".
	failed string
	// release is when a version that is rolled back is unloaded, after the last
	// streams of it; zero before the roll-back.
	release time.Time
}

func newTrack(d *Duty, s *world.Service) *track {
	t := &track{
		duty:       d,
		service:    s,
		plan:       s.Move(),
		key:        move.RecordKey(s.Name(), s.Move()),
		controller: move.NewController(s.Name(), s.Move(), d.set),
		settings:   lease.NewSettings(leaseTTL),
	}
	if !s.Fenced() {
		t.settings = t.settings.WithWaitOut(leaseSettle)
	}
	t.lease = lease.New(t.settings, rank(t.key, d.name)^d.incarnation)
	return t
}

// close ends the move on this VM.
func (t *track) close(ctx context.Context, now time.Time) {
	t.contend(ctx, now, lease.Release())
	t.controller.Close()
}

// rank orders VMs for a move, differently for each move.
func rank(key, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "|" + vm))
	return h.Sum64()
}

// over reports whether nothing is left to decide or to unload.
func (t *track) over(now time.Time) bool {
	return t.record.State() != move.Running && now.After(t.plan.Deadline().Add(move.WatchTime))
}

// step follows the lease and the record and carries out the controller's
// actions.
func (t *track) step(ctx context.Context, now time.Time) {
	t.seek(ctx, now)
	if !t.reading && !now.Before(t.next) && t.record.State() != move.RolledBack && !t.over(now) {
		t.fetch(ctx, now)
	}
	from, to, all := t.duty.holding(t.service.Name(), t.plan)
	in := move.NewInput(len(t.duty.entries)).
		WithRecord(t.record, t.revision).
		WithFailed(t.failed).
		WithEngines(from, to, all)
	fence, ok := t.mayAct(now)
	if ok {
		in = in.WithLease(fence)
	}
	for _, a := range t.controller.Step(now, in) {
		t.perform(ctx, now, a)
	}
	if ok {
		t.plans(ctx, now, fence)
	}
}

// seek starts or ends the contention for the lease.
func (t *track) seek(ctx context.Context, now time.Time) {
	want := t.duty.contends(t.key) && !t.over(now)
	switch {
	case want && !t.contending:
		t.contend(ctx, now, lease.Start())
	case !want && t.contending:
		t.contend(ctx, now, lease.Release())
	}
	t.contending = want
}

// mayAct returns the fencing number when this VM holds the lease and has read
// the record after it took it.
func (t *track) mayAct(now time.Time) (uint64, bool) {
	fence, ok := t.lease.MayAct(now)
	return fence, ok && t.known && !t.readAt.Before(t.held)
}

// contend steps the lease.
func (t *track) contend(ctx context.Context, now time.Time, e lease.Event) {
	for _, a := range t.lease.Step(now, e) {
		switch a.Kind() {
		case lease.Wake:
			t.wake = a.At()
		case lease.Held:
			t.held = now
			t.next = now
			t.planner = order.NewPlanner(t.key, t.duty.pulls, firstLoad)
			t.duty.decide("held", t).Uint64("fence", a.Fence()).Msg("move: This VM holds the lease.")
		case lease.Lost:
			t.planner = nil
			t.duty.decide("lost", t).Uint64("fence", a.Fence()).Msg("move: This VM no longer holds the lease.")
		default:
			t.operate(ctx, a)
		}
	}
}

// operate carries out an operation of the lease.
func (t *track) operate(ctx context.Context, a lease.Action) {
	d := t.duty
	key := "move/" + t.service.Name() + "/lease"
	d.begin(func() {
		if e, ok := d.hold(ctx, t.settings, key, d.name, a); ok {
			d.answers.Put(ctx, func(ctx context.Context, now time.Time) {
				if d.tracks[t.service.Name()] == t {
					t.contend(ctx, now, e)
				}
			})
		}
	})
}

// poll returns the time between two reads of the record: that between two
// steps, or more for a large fleet.
func (t *track) poll() time.Duration {
	return max(t.duty.every, time.Duration(len(t.duty.entries))*time.Second/pollRate)
}

// fetch reads the record.
func (t *track) fetch(ctx context.Context, now time.Time) {
	d := t.duty
	t.reading = true
	t.next = now.Add(t.poll())
	d.begin(func() {
		e, err := d.read(ctx, t.key)
		d.answers.Put(ctx, func(ctx context.Context, later time.Time) {
			t.reading = false
			if err != nil {
				d.log.Debug().Err(err).Msg("move: The record is not readable.")
				return
			}
			r, err := move.DecodeRecord(e.Value())
			if err != nil {
				d.log.Error().Err(err).Str("key", t.key).Msg("move: The record is damaged.")
				return
			}
			t.readAt = now
			t.learn(ctx, later, r, e.Revision())
		})
	})
}

// learn takes a record from the store. An older revision comes from a read
// that was overtaken by a write.
func (t *track) learn(ctx context.Context, now time.Time, r move.Record, revision uint64) {
	if t.duty.tracks[t.service.Name()] != t || revision < t.revision {
		return
	}
	if !t.known || revision > t.revision {
		if revision > 0 {
			t.duty.decide("record", t).Str("state", r.State().String()).Int("stage", r.Stage()).
				Str("reason", r.Reason()).Uint64("fence", r.Fence()).Msg("move: The record changed.")
		}
		t.known = true
		t.record, t.revision = r, revision
		t.step(ctx, now)
		t.duty.publish(now)
	}
}

// perform carries out an action of the controller.
func (t *track) perform(ctx context.Context, now time.Time, a move.Action) {
	switch a.Kind() {
	case move.Limit:
		banned := t.banned()
		if banned || t.known && len(t.duty.entries) > 0 {
			t.duty.limit(ctx, t.service.Name(), t.plan.To(), a.Limits(), banned)
		}
	case move.Write:
		t.store(ctx, a)
	case move.AnnounceFailure:
		if t.failed != "" || t.record.State() == move.RolledBack {
			return
		}
		t.failed = a.Reason()
		t.duty.decide("bad", t).Str("reason", a.Reason()).Msg("move: The version is bad.")
	case move.Load:
		t.release = time.Time{}
		if t.planner != nil {
			t.planner.Want(a.Version(), a.Fraction(), a.Before())
		}
	case move.Stop:
		t.release = now.Add(unloadGrace + t.service.Contract().Deadline())
		t.duty.decide("stop", t).Str("reason", a.Reason()).Msg("move: Loading ends.")
	}
}

func (t *track) banned() bool { return t.failed != "" || t.record.State() == move.RolledBack }

// store writes the record. When the outcome is not known, or another VM wrote
// it, the record is read; the controller repeats the write if it still applies.
func (t *track) store(ctx context.Context, a move.Action) {
	value, err := a.Record().Encode()
	if err != nil {
		t.duty.log.Error().Err(err).Msg("move: The record can't be encoded.")
		return
	}
	d := t.duty
	if _, ok := t.mayAct(d.now()); !ok {
		return
	}
	r := a.Record()
	d.decide("write", t).Str("state", r.State().String()).Int("stage", r.Stage()).
		Str("reason", r.Reason()).Uint64("revision", a.Revision()).Msg("move: The record is written.")
	d.begin(func() {
		if !a.Before().IsZero() && !d.now().Before(a.Before()) {
			return
		}
		revision, err := d.write(ctx, t.key, value, a.Revision())
		d.answers.Put(ctx, func(ctx context.Context, now time.Time) {
			if err == nil {
				t.learn(ctx, now, r, revision)
				return
			}
			d.log.Warn().Err(err).Str("move", t.plan.Name()).Msg("move: The write has no good answer.")
			if !errors.Is(err, store.ErrUnavailable) && !t.reading {
				t.fetch(ctx, now)
			}
		})
	})
}

// plans lets the planner send orders under the lease.
func (t *track) plans(ctx context.Context, now time.Time, fence uint64) {
	switch {
	case t.planner == nil:
		return
	case !t.release.IsZero() && t.record.State() != move.RolledBack:
		// Loading has ended; unloading waits for the final record.
		return
	case !t.release.IsZero():
		t.planner.Stop(t.plan.To(), t.release)
	}
	// In wait-out mode the lease is told as held only after the wait.
	in := order.NewInput(t.duty.orderable(t.service)...).WithLease(fence, t.lease.Until(), time.Time{})
	for _, a := range t.planner.Step(now, in) {
		t.report(ctx, a)
	}
}

func (t *track) report(ctx context.Context, a order.Action) {
	d := t.duty
	switch a.Kind() {
	case order.Send:
		t.send(ctx, a)
	case order.Late:
		d.decide("late", t).Int("ready", a.Ready()).Int("wanted", a.Wanted()).Time("expected", a.Expected()).
			Msg("move: Loads will miss their time.")
	case order.OnTime:
		d.decide("on-time", t).Int("ready", a.Ready()).Int("wanted", a.Wanted()).Msg("move: Loads will be in time.")
	case order.Failed:
		d.decide("order-failed", t).Str("engine", a.Engine()).Str("op", string(a.Op())).Msg("move: An order had no effect.")
	}
}

// send sends an order; its effect shows in load reports.
func (t *track) send(ctx context.Context, a order.Action) {
	d := t.duty
	h := d.engines[a.Engine()]
	if _, ok := t.mayAct(d.now()); !ok || h == nil {
		return
	}
	vm := h.vm
	d.decide("order", t).Str("engine", a.Engine()).Str("op", string(a.Op())).Uint64("fence", a.Fence()).
		Msg("move: An order is sent.")
	d.begin(func() {
		limited, stop := context.WithTimeout(ctx, orderTimeout)
		defer stop()
		if !d.now().Before(a.Before()) {
			return
		}
		reply, err := d.order(limited, vm, a)
		if err != nil {
			d.log.Warn().Err(err).Str("engine", vm.Name()).Msg("move: An order has no answer.")
		}
		d.answers.Put(ctx, func(context.Context, time.Time) {
			if t.planner != nil {
				t.planner.Answer(a.ID(), a.Fence(), reply)
			}
		})
	})
}
