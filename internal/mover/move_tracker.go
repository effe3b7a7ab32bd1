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
	// leaseTTL is the time to live of a move's lease. A failed holder is
	// replaced within about 1.5 times of it, which delays a move only slightly.
	leaseTTL = 9 * time.Second
	// leaseSettle bounds the time from the last check of the lease until an
	// order takes effect.
	leaseSettle = orderTimeout + time.Second
	// maxReadRate bounds the reads per second of all VMs for one move. The
	// store handles about 2,000.
	maxReadRate = 100
)

// unloadGrace is the time in which every VM stops sending requests to a version
// that is rolled back. The deadline of its last streams counts from then on.
const unloadGrace = 5 * time.Second

// moveTracker connects the controller of one declared move with its lease, its
// record in the store and the planner of engine orders. The goroutine of Run
// owns it.
type moveTracker struct {
	duty    *Duty
	service *world.Service
	plan    *world.Move
	// key is the store key of the record. It also identifies the move in
	// verdicts.
	key        string
	controller *move.Controller
	settings   lease.Settings
	lease      *lease.Lease
	// contending is true while this VM tries to acquire or keep the lease.
	contending bool
	// leaseWake is when the lease needs its next Tick, or zero.
	leaseWake time.Time
	// heldAt is when this VM last acquired the lease, or zero if it never did.
	heldAt time.Time
	// planner is nil unless this VM holds the lease.
	planner *order.Planner
	record  move.Record
	// revision is the store revision of record, or 0.
	revision uint64
	// lost is true if the store has an earlier record, since it was restored from a
	// copy. changedAt is when revision was last set.
	lost      bool
	changedAt time.Time
	// recordKnown is true once the record was read or a peer reported the
	// result. Until then this VM sends no traffic to the new version, because
	// it may have been rolled back.
	recordKnown bool
	reading     bool
	// lastRead is when the last successful read began, nextRead when the next
	// one is due.
	lastRead time.Time
	nextRead time.Time
	// failure is why this VM or a peer called the new version bad, or "".
	failure string
	// unloadAt is when a version that is rolled back is unloaded even if it
	// still has streams. It is zero until loading ends.
	unloadAt time.Time
}

func newMoveTracker(d *Duty, s *world.Service) *moveTracker {
	t := &moveTracker{
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
	t.lease = lease.New(t.settings, hashRank(t.key, d.name)^d.incarnation)
	return t
}

// close releases the lease and stops the controller.
func (t *moveTracker) close(ctx context.Context, now time.Time) {
	t.stepLease(ctx, now, lease.Release())
	t.controller.Close()
}

// hashRank returns a number by which VMs are ordered for a key, as in rendezvous
// hashing.
func hashRank(key, vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "|" + vm))
	return h.Sum64()
}

// finished reports whether nothing is left to decide or to unload: the move has a
// result and is no longer evaluated.
func (t *moveTracker) finished(now time.Time) bool {
	return t.record.State() != move.Running && now.After(t.plan.Deadline().Add(move.WatchTime))
}

// step reads the record if it is due, steps the controller and the planner and
// carries out their actions.
func (t *moveTracker) step(ctx context.Context, now time.Time) {
	t.updateContention(ctx, now)
	if !t.reading && !now.Before(t.nextRead) && t.record.State() != move.RolledBack && !t.finished(now) {
		t.readRecord(ctx, now)
	}
	from, to, all := t.duty.countVersions(t.service.Name(), t.plan)
	in := move.NewInput(len(t.duty.entries)).
		WithRecord(t.record, t.revision).
		WithFailure(t.failure).
		WithEngines(from, to, all)
	fence, ok := t.mayAct(now)
	if ok {
		in = in.WithLease(fence)
	}
	for _, a := range t.controller.Step(now, in) {
		t.perform(ctx, now, a)
	}
	if ok {
		t.stepPlanner(ctx, now, fence)
	}
	if ok && t.lost {
		t.write(ctx, t.record, t.revision, time.Time{})
	}
}

// updateContention starts or ends the contention for the lease.
func (t *moveTracker) updateContention(ctx context.Context, now time.Time) {
	want := t.duty.contends(t.key) && !t.finished(now)
	switch {
	case want && !t.contending:
		t.stepLease(ctx, now, lease.Start())
	case !want && t.contending:
		t.stepLease(ctx, now, lease.Release())
	}
	t.contending = want
}

// mayAct returns the fencing number and whether this VM holds the lease and has
// read the record since it acquired it.
func (t *moveTracker) mayAct(now time.Time) (uint64, bool) {
	fence, ok := t.lease.MayAct(now)
	return fence, ok && t.recordKnown && !t.lastRead.Before(t.heldAt)
}

// stepLease passes an event to the lease and carries out the resulting actions.
func (t *moveTracker) stepLease(ctx context.Context, now time.Time, e lease.Event) {
	for _, a := range t.lease.Step(now, e) {
		switch a.Kind() {
		case lease.Wake:
			t.leaseWake = a.At()
		case lease.Held:
			t.heldAt = now
			t.nextRead = now
			t.planner = order.NewPlanner(t.key, t.duty.loadInterval, initialLoadTime)
			t.duty.logDecision("held", t).Uint64("fence", a.Fence()).Msg("move: This VM holds the lease.")
		case lease.Lost:
			t.planner = nil
			t.duty.logDecision("lost", t).Uint64("fence", a.Fence()).Msg("move: This VM no longer holds the lease.")
		default:
			t.runLeaseOp(ctx, a)
		}
	}
}

// runLeaseOp runs a store operation of the lease in another goroutine.
func (t *moveTracker) runLeaseOp(ctx context.Context, a lease.Action) {
	d := t.duty
	key := "move/" + t.service.Name() + "/lease"
	d.runAsync(func() {
		if e, ok := d.leaseOp(ctx, t.settings, key, d.name, a); ok {
			d.completions.Put(ctx, func(ctx context.Context, now time.Time) {
				if d.trackers[t.service.Name()] == t {
					t.stepLease(ctx, now, e)
				}
			})
		}
	})
}

// readInterval returns the time between two reads of the record. It is that
// between two steps, or longer if many VMs read the record.
func (t *moveTracker) readInterval() time.Duration {
	return max(t.duty.stepInterval, time.Duration(len(t.duty.entries))*time.Second/maxReadRate)
}

// readRecord reads the record in another goroutine.
func (t *moveTracker) readRecord(ctx context.Context, now time.Time) {
	d := t.duty
	t.reading = true
	t.nextRead = now.Add(t.readInterval())
	d.runAsync(func() {
		e, err := d.read(ctx, t.key)
		d.completions.Put(ctx, func(ctx context.Context, later time.Time) {
			t.reading = false
			if err != nil {
				d.log.Debug().Err(err).Msg("move: Reading the record failed.")
				return
			}
			r, err := move.DecodeRecord(e.Value())
			if err != nil {
				d.log.Error().Err(err).Str("key", t.key).Msg("move: The record can't be decoded.")
				return
			}
			t.lastRead = now
			if e.Revision() == 0 && t.revision > 0 && now.After(t.changedAt) {
				t.lose(later, r, 0)
				return
			}
			t.applyRecord(ctx, later, r, e.Revision())
		})
	})
}

// applyRecord applies a record from the store. It ignores an older revision,
// which comes from a read that completed after a later write.
func (t *moveTracker) applyRecord(ctx context.Context, now time.Time, r move.Record, revision uint64) {
	if t.duty.trackers[t.service.Name()] != t || revision < t.revision {
		return
	}
	if t.recordKnown && revision > t.revision && r.Before(t.record) {
		t.lose(now, r, revision)
		return
	}
	if !t.recordKnown || revision > t.revision {
		if revision > 0 {
			t.duty.logDecision("record", t).Str("state", r.State().String()).Int("stage", r.Stage()).
				Str("reason", r.Reason()).Uint64("fence", r.Fence()).Msg("move: The record changed.")
		}
		t.recordKnown = true
		t.record, t.revision, t.changedAt, t.lost = r, revision, now, false
		t.step(ctx, now)
		t.duty.publish(now)
	}
}

// lose notes that the store has an earlier record at a revision, or none, since it was
// restored from a copy. The record holds, and the holder of the lease writes it again.
func (t *moveTracker) lose(now time.Time, r move.Record, revision uint64) {
	t.duty.log.Warn().Str("service", t.service.Name()).Str("state", t.record.State().String()).Int("stage", t.record.Stage()).
		Str("stored", r.State().String()).Int("stored_stage", r.Stage()).Msg("move: The store lacks the record, which holds.")
	t.revision, t.changedAt, t.lost = revision, now, true
}

// perform carries out an action of the controller.
func (t *moveTracker) perform(ctx context.Context, now time.Time, a move.Action) {
	switch a.Kind() {
	case move.Limit:
		banned := t.banned()
		if banned || t.recordKnown && len(t.duty.entries) > 0 {
			t.duty.setLimits(ctx, t.service.Name(), t.plan.To(), a.Limits(), banned)
		}
	case move.Write:
		t.writeRecord(ctx, a)
	case move.AnnounceFailure:
		if t.failure != "" || t.record.State() == move.RolledBack {
			return
		}
		t.failure = a.Reason()
		t.duty.logDecision("bad", t).Str("reason", a.Reason()).Msg("move: The new version failed.")
	case move.Load:
		t.unloadAt = time.Time{}
		if t.planner != nil {
			t.planner.Want(a.Version(), a.Fraction(), a.Before())
		}
	case move.Stop:
		t.unloadAt = now.Add(unloadGrace + t.service.Contract().Deadline())
		t.duty.logDecision("stop", t).Str("reason", a.Reason()).Msg("move: Loading stopped.")
	}
}

func (t *moveTracker) banned() bool { return t.failure != "" || t.record.State() == move.RolledBack }

// writeRecord writes the record that the controller wants to store.
func (t *moveTracker) writeRecord(ctx context.Context, a move.Action) {
	t.write(ctx, a.Record(), a.Revision(), a.Before())
}

// write writes a record in another goroutine if the store has it at a revision, no later
// than before unless that is zero. If the result is unknown or another VM changed the
// record, it is read again; the controller repeats the write if it is still due.
func (t *moveTracker) write(ctx context.Context, r move.Record, expect uint64, before time.Time) {
	value, err := r.Encode()
	if err != nil {
		t.duty.log.Error().Err(err).Msg("move: The record can't be encoded.")
		return
	}
	d := t.duty
	if _, ok := t.mayAct(d.now()); !ok {
		return
	}
	d.logDecision("write", t).Str("state", r.State().String()).Int("stage", r.Stage()).
		Str("reason", r.Reason()).Uint64("revision", expect).Msg("move: Writing the record.")
	d.runAsync(func() {
		if !before.IsZero() && !d.now().Before(before) {
			return
		}
		revision, err := d.write(ctx, t.key, value, expect)
		d.completions.Put(ctx, func(ctx context.Context, now time.Time) {
			if err == nil {
				t.applyRecord(ctx, now, r, revision)
				return
			}
			d.log.Warn().Err(err).Str("move", t.plan.Name()).Msg("move: Writing the record failed.")
			if !errors.Is(err, store.ErrUnavailable) && !t.reading {
				t.readRecord(ctx, now)
			}
		})
	})
}

// stepPlanner steps the planner, which sends orders under the lease.
func (t *moveTracker) stepPlanner(ctx context.Context, now time.Time, fence uint64) {
	switch {
	case t.planner == nil:
		return
	case !t.unloadAt.IsZero() && t.record.State() != move.RolledBack:
		// Loading has ended, but the version is unloaded only once the record
		// says that it is rolled back.
		return
	case !t.unloadAt.IsZero():
		t.planner.Stop(t.plan.To(), t.unloadAt)
	}
	// In wait-out mode the lease reports Held only after the wait, so the planner
	// does not have to wait.
	in := order.NewInput(t.duty.plannerEngines(t.service)...).WithLease(fence, t.lease.Until(), time.Time{})
	for _, a := range t.planner.Step(now, in) {
		t.handlePlannerAction(ctx, a)
	}
}

func (t *moveTracker) handlePlannerAction(ctx context.Context, a order.Action) {
	d := t.duty
	switch a.Kind() {
	case order.Send:
		t.sendOrder(ctx, a)
	case order.Late:
		d.logDecision("late", t).Int("ready", a.Ready()).Int("wanted", a.Wanted()).Time("expected", a.Expected()).
			Msg("move: Loads will miss their deadline.")
	case order.OnTime:
		d.logDecision("on-time", t).Int("ready", a.Ready()).Int("wanted", a.Wanted()).Msg("move: Loads will meet their deadline.")
	case order.Failed:
		d.logDecision("order-failed", t).Str("engine", a.Engine()).Str("op", string(a.Op())).Msg("move: An order had no effect.")
	}
}

// sendOrder sends an order in another goroutine. Its effect shows in later load
// reports.
func (t *moveTracker) sendOrder(ctx context.Context, a order.Action) {
	d := t.duty
	h := d.engines[a.Engine()]
	if _, ok := t.mayAct(d.now()); !ok || h == nil {
		return
	}
	vm := h.vm
	d.logDecision("order", t).Str("engine", a.Engine()).Str("op", string(a.Op())).Uint64("fence", a.Fence()).
		Msg("move: Sending an order.")
	d.runAsync(func() {
		limited, stop := context.WithTimeout(ctx, orderTimeout)
		defer stop()
		if !d.now().Before(a.Before()) {
			return
		}
		reply, err := d.sendOrder(limited, vm, a)
		if err != nil {
			d.log.Warn().Err(err).Str("engine", vm.Name()).Msg("move: Sending an order failed.")
		}
		d.completions.Put(ctx, func(context.Context, time.Time) {
			if t.planner != nil {
				t.planner.Answer(a.ID(), a.Fence(), reply)
			}
		})
	})
}
