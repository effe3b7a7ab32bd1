package edge

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/pause"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/stand"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// eventCap is the capacity of the event queue: several seconds of events
	// at the peak load of one VM. Producers block when it is full.
	eventCap = 4096
	// statsInterval is the time between two updates of the core's statistics,
	// and therefore the longest sleep of the dispatcher. See
	// pool.BenchmarkCountByState for the cost of an update.
	statsInterval = time.Second
)

// arrival is a caller's request that is queued for the dispatcher.
type arrival struct {
	id      string
	message *Message
	outputs *Output
}

// queuedEvent is an event that is queued for the dispatcher. arrival is set
// only for a caller's request, and applied only for a change of the store.
type queuedEvent struct {
	event   proxy.Event
	arrival *arrival
	// applied is called once the event has taken effect.
	applied func(now time.Time)
	// inspect, if set, replaces the event. It must not change the core.
	inspect func(now time.Time, c *proxy.Core)
}

// request is the dispatcher's state of a caller's request in flight.
type request struct {
	arrival
	arrived time.Time
	cancels map[int]context.CancelFunc
	// sends counts all attempts, copies only those that continue from a copy
	// of the run.
	sends  int
	copies int
	// pieces counts the pieces of a stream that were passed to the caller;
	// firstPiece is the time from arrival to the first one, and lastPiece is
	// when the latest one was passed.
	pieces     int
	firstPiece time.Duration
	lastPiece  time.Time
	// maxGap is the longest time between two pieces.
	maxGap time.Duration
	// resumed is true after a stream was sent to another attempt, until the
	// next piece arrives.
	resumed bool
	// startPosition is the last piece that a reconnecting caller already has.
	// promptCached is true if the caller's prompt was found in an engine's
	// cache.
	startPosition int
	promptCached  bool
	// deferredSend is the first attempt if it has not been logged yet.
	deferredSend *sendRecord
}

// Dispatcher owns the decision core: it applies queued events to the core and
// executes the resulting actions. Only its run goroutine uses the core.
type Dispatcher struct {
	events    *ring.Ring[queuedEvent]
	core      *proxy.Core
	upstreams Upstreams
	requests  map[uint64]*request
	now       func() time.Time
	log       *eventLog
	// reports carries version outcomes and in-flight counts to the mover. It drops
	// the oldest entry when it is full.
	reports *ring.Ring[dispatcherReport]
	// runLost and runSurvived receive the runs of prompts that ended with their
	// engine, and those that their engine survived. They must not block.
	runLost     func(ctx context.Context, r blame.Run)
	runSurvived func(ctx context.Context, r blame.Run)
	// oldInFlight counts the requests in flight at old versions, by the service
	// that is being moved.
	oldInFlight map[string]int
	// statsAt is when stats was last updated.
	statsAt time.Time
	stats   atomic.Pointer[coreStats]
	// tableSince is when the current table arrived, in Unix nanoseconds.
	tableSince atomic.Int64
	// ready, inFlight and table are copies of the core's state for other
	// goroutines. inFlight is the number of requests in flight.
	ready    atomic.Bool
	inFlight atomic.Int64
	table    atomic.Pointer[table.Table]
}

func newDispatcher(core *proxy.Core, u Upstreams, j *eventLog) *Dispatcher {
	d := &Dispatcher{
		events:      ring.New[queuedEvent](eventCap, ring.Wait),
		core:        core,
		upstreams:   u,
		requests:    make(map[uint64]*request),
		oldInFlight: make(map[string]int),
		now:         time.Now,
		log:         j,
	}
	core.WithStopObserver(func(e reap.Ended) { j.logStopEnd(d.now(), e) })
	j.table = func() (int64, time.Time) { return core.Table().Version(), time.Unix(0, d.tableSince.Load()) }
	return d
}

// notify queues an event. It blocks while the queue is full, until ctx ends.
func (d *Dispatcher) notify(ctx context.Context, e proxy.Event) {
	d.events.Put(ctx, queuedEvent{
		event: e,
	})
}

// inspect queues a function that reads the core. It blocks like notify.
func (d *Dispatcher) inspect(ctx context.Context, f func(time.Time, *proxy.Core)) {
	d.events.Put(ctx, queuedEvent{
		inspect: f,
	})
}

// run processes events and timers until ctx ends.
func (d *Dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(statsInterval)
	defer timer.Stop()
	due := d.now().Add(statsInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-d.events.Out():
			d.wake(ctx, due)
			if s.inspect != nil {
				s.inspect(d.now(), d.core)
				break
			}
			if s.arrival != nil {
				d.requests[s.event.Number()] = &request{
					arrival: *s.arrival,
					arrived: d.now(),
					cancels: make(map[int]context.CancelFunc),
				}
			}
			d.step(ctx, s.event)
			if s.applied != nil {
				s.applied(d.now())
			}
		case <-timer.C:
			if !d.wake(ctx, due) {
				d.step(ctx, proxy.Event{})
			}
		}
		wait := d.sleep()
		due = d.now().Add(wait)
		timer.Reset(wait)
	}
}

// wake tells the core of a pause of the VM if its timer that was due at a time is late,
// and reports whether it did.
func (d *Dispatcher) wake(ctx context.Context, due time.Time) bool {
	late, paused := pause.Late(d.now(), due)
	d.log.logLateness(late, paused)
	if paused {
		d.step(ctx, proxy.Event{}.Late(late))
	}
	return paused
}

// sleep returns the time to the core's next timer or to the next update of the
// statistics, whichever comes first.
func (d *Dispatcher) sleep() time.Duration {
	next := d.statsAt.Add(statsInterval)
	if at, ok := d.core.Next(); ok && at.Before(next) {
		next = at
	}
	return max(next.Sub(d.now()), 0)
}

// step applies an event to the core and executes the resulting actions. A
// caller whose output queue is full is treated as disconnected.
func (d *Dispatcher) step(ctx context.Context, e proxy.Event) {
	now := d.now()
	r := d.requests[e.Number()]
	d.log.logEvent(e, r, d.core)
	var stalled []uint64
	passed := false
	for _, a := range d.core.Step(now, e) {
		passed = passed || a.Kind() == proxy.SendPiece && a.Number() == e.Number()
		if !d.execute(ctx, now, a) {
			stalled = append(stalled, a.Number())
		}
	}
	if e.Kind() == proxy.Piece && !passed && r != nil {
		r.outputs.held.Give(pieceSize(e.Bytes()))
	}
	for _, n := range stalled {
		for _, a := range d.core.Step(now, proxy.NewCallerLeft(n)) {
			d.execute(ctx, now, a)
		}
	}
	d.reportOldInFlight(ctx, e)
	d.ready.Store(d.core.Ready())
	d.inFlight.Store(int64(len(d.requests)))
	if t := d.core.Table(); d.table.Swap(t) != t {
		d.tableSince.Store(now.UnixNano())
	}
	d.updateStats(now)
}

// coreStats holds statistics of the core for other goroutines.
type coreStats struct {
	waiting   int
	upstreams map[string]int
	limited   int
	slow      int
}

// updateStats updates the statistics at most once per statsInterval, because it
// visits every upstream.
func (d *Dispatcher) updateStats(now time.Time) {
	if now.Sub(d.statsAt) < statsInterval {
		return
	}
	d.statsAt = now
	d.stats.Store(&coreStats{
		waiting:   d.core.Waiting(),
		upstreams: d.core.Pool().CountByState(now),
		limited:   d.core.Pool().Count(func(u *pool.Upstream) bool { return u.Limit() > 0 }),
		slow:      d.core.Pool().Count(func(u *pool.Upstream) bool { return u.Load().Slow(now) }),
	})
}

// reportOldInFlight reports to the mover how many requests are still in flight
// at the old version of a service, each time the mover has sent limits.
func (d *Dispatcher) reportOldInFlight(ctx context.Context, e proxy.Event) {
	if e.Kind() != proxy.MoveLimits {
		return
	}
	d.oldInFlight[e.Service()] = d.core.OldInFlight(e.Service())
	d.reports.Put(ctx, dispatcherReport{
		oldInFlight: maps.Clone(d.oldInFlight),
	})
}

// execute carries out an action without blocking. It returns false if the
// caller's output queue is full.
func (d *Dispatcher) execute(ctx context.Context, now time.Time, a proxy.Action) bool {
	r := d.requests[a.Number()]
	d.log.logAction(now, a, r)
	switch a.Kind() {
	case proxy.ReportOutcome:
		v := a.Judged()
		d.reports.Put(ctx, dispatcherReport{
			judged: &v,
		})
		return true
	case proxy.ReportCrash:
		d.runLost(ctx, a.Run())
		return true
	case proxy.ReportSurvival:
		d.runSurvived(ctx, a.Run())
		return true
	}
	if a.Kind().ExpectsResult() {
		d.startQuery(ctx, a, r)
		return true
	}
	if r == nil {
		return true
	}
	switch a.Kind() {
	case proxy.Send:
		r.sends++
		attempt, stop := context.WithDeadline(ctx, a.Deadline())
		r.cancels[a.Attempt()] = stop
		go d.upstreams.Send(attempt, d.attemptSpec(ctx, a, r), d.flow(attempt, a.Number(), a.Attempt(), r.outputs.held))
		return true
	case proxy.Cancel:
		d.cancelAttempt(r, a.Attempt())
		return true
	case proxy.Denied:
		return true
	case proxy.SendPiece:
		d.log.observePiece(now, r)
		r.recordPiece(now)
	}
	ok := r.outputs.Put(ctx, newStep(a))
	if a.Kind().Final() {
		for n := range r.cancels {
			d.cancelAttempt(r, n)
		}
		delete(d.requests, a.Number())
	}
	return ok
}

// attemptSpec returns the description of an attempt and counts the copies used.
func (d *Dispatcher) attemptSpec(ctx context.Context, a proxy.Action, r *request) AttemptSpec {
	o := AttemptSpec{
		Number:    a.Number(),
		Attempt:   a.Attempt(),
		ID:        r.id,
		Message:   r.message,
		Address:   a.Upstream().Address(),
		Instance:  a.Instance(),
		Copied:    a.Copied(),
		Stream:    a.Stream(),
		Position:  a.Position(),
		Deadline:  a.Deadline(),
		Rank:      a.Rank(),
		Workspace: a.Workspace(),
		Contact:   d.contact(ctx, a, a.Instance()),
		Unsent: func() {
			d.notify(ctx, proxy.NewLost(a.Number(), a.Attempt(), proxy.Unsent, "given up before it was sent"))
		},
	}
	o.Contact.Gate = a.Gate()
	if a.Copied() {
		r.copies++
		o.Source, o.Handle = a.Source()
	}
	if a.Holder() != nil {
		o.Holder = a.Holder().Address()
	}
	return o
}

// contact returns the contact for the message of an action that the given
// incarnation is expected to answer. What it states counts also after the message
// was cancelled.
func (d *Dispatcher) contact(ctx context.Context, a proxy.Action, instance string) Contact {
	u, cause := a.Upstream(), "answer to "+a.Kind().String()
	if a.Kind() == proxy.QueryID {
		// The query is for the incarnation that has replaced the upstream.
		u = nil
	}
	return Contact{
		Heard: func(s stand.Statement) { d.notify(ctx, proxy.NewHeard(u, instance, s, cause)) },
	}
}

func (d *Dispatcher) cancelAttempt(r *request, attempt int) {
	if stop := r.cancels[attempt]; stop != nil {
		stop()
		delete(r.cancels, attempt)
	}
}

// recordPiece updates the timing of a stream when a piece is passed to the
// caller.
func (r *request) recordPiece(now time.Time) {
	if r.pieces == 0 {
		r.firstPiece = now.Sub(r.arrived)
	} else {
		r.maxGap = max(r.maxGap, now.Sub(r.lastPiece))
	}
	r.pieces++
	r.lastPiece = now
}
