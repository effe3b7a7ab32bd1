package edge

import (
	"context"
	"math"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/judge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/origin"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// movesPrefix is the prefix of the keys that hold the record of each move,
	// by service. evidencePrefix is that of the evidence of each VM about a
	// move, by service and VM.
	movesPrefix    = "moves/"
	evidencePrefix = "evidence/"
	// stepInterval is the interval at which a running move is advanced.
	stepInterval = 200 * time.Millisecond
	// writeInterval is the shortest interval between two writes of the same
	// key by a VM.
	writeInterval = time.Second
	// turnDelay is how much later a VM writes than its predecessor in the
	// order of names, so that usually only one VM writes. Concurrent writes
	// are harmless because they are conditional on the key's revision.
	turnDelay = 300 * time.Millisecond
	// statusMargin is the time before a move's deadline at which a finished move
	// is reported as completed even if streams still run on the old version.
	// Those streams are continued elsewhere from their copies.
	statusMargin = 700 * time.Millisecond
	// initialShare is the share of traffic that an unproven version gets while
	// the exposure bound permits. The first requests of a move exhaust that
	// bound.
	initialShare = 0.25
	// oldReporters is the number of VMs that report each outcome of the old
	// version.
	oldReporters = 50
	// reportCap is the capacity of the report queue: several seconds of
	// version outcomes. When it is full, the oldest are dropped, which only delays
	// the decision about a version.
	reportCap = 2048
	// updateCap is the number of updates that may be queued for the mover.
	// Senders block when the queue is full.
	updateCap = 64
	// oldVersion stands for every version other than the target.
	oldVersion = "old"
)

// storeUpdate is an update about the store for the mover. Exactly one field is
// set.
type storeUpdate struct {
	change *follow.Change
	peers  []string
	result *writeResult
}

// dispatcherReport is a report of the dispatcher to the mover: either a
// version outcome, or the number of requests in flight at old versions by
// service, see proxy.Core.OldInFlight.
type dispatcherReport struct {
	judged      *judge.Attempt
	oldInFlight map[string]int
}

// writeResult is the result of writing a key about the move of a service.
type writeResult struct {
	service string
	key     string
	// revision is the key's revision if the value was written, or 0.
	revision uint64
	err      error
}

// mover drives the moves of services between versions on one VM. Its methods
// are for its run goroutine only; other goroutines use the queues.
type mover struct {
	name string
	// seed is unique to this incarnation of the VM.
	seed     int
	exposure move.Exposure
	updates  *ring.Ring[storeUpdate]
	reports  *ring.Ring[dispatcherReport]
	sources  Sources
	notify   func(ctx context.Context, e proxy.Event)
	// put starts a conditional write without blocking. It calls done with the
	// key's new revision or an error, possibly from another goroutine.
	put   func(ctx context.Context, key string, value []byte, expect uint64, done func(revision uint64, err error))
	now   func() time.Time
	log   zerolog.Logger
	moves map[string]*trackedMove
	// listed is true once the first change was applied, which has all keys of the
	// store.
	listed bool
	// peers holds the names of the enrolled VMs, sorted.
	peers []string
	// oldInFlight counts the requests in flight at old versions on this VM, by
	// service; -1 means that the VM still sends requests there.
	oldInFlight map[string]int
	// upstreams holds the registered upstreams by id.
	upstreams map[string]pool.Entry
	// revisions holds the latest revision of each key of the store, which
	// conditional writes expect.
	revisions map[string]uint64
	// era is the latest era of the store, and pace the pace of writes in it.
	era  uint64
	pace *origin.Pace
	// rewritten is called with the kind of a key that is written again after a
	// restoration.
	rewritten func(kind string)
}

// trackedMove is the state of one move on this VM.
type trackedMove struct {
	order  *origin.Order
	origin *origin.Origin
	plan   *world.Move
	// late is true if the VM started during the move.
	late bool
	// takenBefore is the number of requests that the VM's incarnation before sent
	// to the new version, or move.Unknown.
	takenBefore int
	set         *move.EvidenceSet
	controller  *move.Controller
	record      move.Record
	limits      move.Limits
	// pending is an encoded record that waits for this VM's turn to write it,
	// or nil.
	pending []byte
	// recordLost is true if the store lacks the record or has an earlier one, and
	// rewrittenAt is when the record was last written again.
	recordLost  bool
	rewrittenAt time.Time
	// ownKeys holds the keys of set that this VM has counted itself.
	ownKeys map[move.Key]bool
	// others holds the latest evidence of each other VM by name.
	others map[string]evidence
	// reportedStatus is the status that the store holds for operators since the
	// order, or "" if there is none.
	reportedStatus string
	// drained is true once no VM has requests in flight at the old version.
	drained bool
	// ended is true once the final status was reported to operators. The move
	// changes nothing afterwards, because operators may then stop the version
	// that is no longer used. final is that status, which is written again if a
	// restored store lacks it.
	ended bool
	final origin.State
	// statusLost is true if the store has lost the reported status, and evidenceLost
	// if it has lost this VM's evidence.
	statusLost   bool
	evidenceLost bool
	// wantedSince holds, by key, since when this VM has had a value to write.
	wantedSince map[string]time.Time
	// sentAt holds, by key, when the write in progress was started.
	sentAt map[string]time.Time
	// dirty is true if this VM's evidence has changed since publishedAt, when
	// it was last written.
	dirty       bool
	publishedAt time.Time
	// published is the evidence that was last written.
	published string
}

func newMover(name string, seed int, e move.Exposure, s Sources, c *store.Client, notify func(context.Context, proxy.Event), rewritten func(kind string), log zerolog.Logger) *mover {
	return &mover{
		name:     name,
		seed:     seed,
		exposure: e,
		updates:  ring.New[storeUpdate](updateCap, ring.Wait),
		reports:  ring.New[dispatcherReport](reportCap, ring.DropOldest),
		sources:  s,
		notify:   notify,
		put: func(ctx context.Context, key string, value []byte, expect uint64, done func(revision uint64, err error)) {
			go func() { done(c.Put(ctx, key, value, expect, "")) }()
		},
		now:         time.Now,
		log:         log,
		moves:       make(map[string]*trackedMove),
		oldInFlight: make(map[string]int),
		upstreams:   make(map[string]pool.Entry),
		revisions:   make(map[string]uint64),
		pace:        origin.NewPace(),
		rewritten:   rewritten,
	}
}

// run drives the moves until ctx ends. While no move is active it only waits for
// updates.
func (m *mover) run(ctx context.Context) {
	var ticker *time.Ticker
	var tick <-chan time.Time
	for {
		switch active := m.active(); {
		case active && ticker == nil:
			ticker = time.NewTicker(stepInterval)
			tick = ticker.C
		case !active && ticker != nil:
			ticker.Stop()
			ticker, tick = nil, nil
		}
		select {
		case <-ctx.Done():
			return
		case n := <-m.updates.Out():
			m.apply(ctx, n)
		case t := <-m.reports.Out():
			if t.judged != nil {
				m.countAttempt(t.judged)
			} else {
				m.oldInFlight = t.oldInFlight
			}
		case <-tick:
			for _, t := range m.moves {
				m.step(ctx, t)
			}
		}
	}
}

// active reports whether there is a move whose final status the store does not have.
func (m *mover) active() bool {
	for _, t := range m.moves {
		if !t.ended || t.statusLost {
			return true
		}
	}
	return false
}

// apply applies an update about the store.
func (m *mover) apply(ctx context.Context, n storeUpdate) {
	switch {
	case n.change != nil:
		m.applyChange(ctx, n.change)
	case n.peers != nil:
		m.peers = n.peers
	case n.result != nil:
		m.finishWrite(n.result)
	}
}

// applyChange applies a change of the store. Orders are applied first, because
// records and evidence refer to them.
func (m *mover) applyChange(ctx context.Context, c *follow.Change) {
	for _, key := range c.Deleted() {
		delete(m.upstreams, m.sources.ID(key))
		delete(m.revisions, key)
	}
	if c.Restored() {
		m.restore(c)
	}
	var began []*trackedMove
	for _, e := range c.Put() {
		m.revisions[e.Key()] = max(m.revisions[e.Key()], e.Revision())
		o, err := m.sources.MoveOrder(e.Key(), e.Value())
		switch {
		case err != nil:
			m.log.Error().Err(err).Str("key", e.Key()).Msg("move: Invalid order.")
		case o != nil:
			elapsed := time.Duration(0)
			if !m.listed {
				elapsed = m.elapsed(c, o.Service(), e.Revision())
			}
			if t := m.startMove(o, e.Revision(), elapsed); t != nil {
				began = append(began, t)
			}
		}
	}
	// A final status ends the move, whatever its record and evidence say.
	for _, e := range c.Put() {
		for _, t := range m.moves {
			if t.origin.Follows(e.Revision()) {
				m.applyStatus(ctx, t, e)
			}
		}
	}
	for _, e := range c.Put() {
		id := m.sources.ID(e.Key())
		rest, isEvidence := strings.CutPrefix(e.Key(), evidencePrefix)
		switch {
		case isEvidence:
			m.applyEvidence(rest, e)
		case id != "":
			// Invalid entries are logged by VM.changed.
			if entry, err := m.sources.Entry(e.Key(), e.Value()); err == nil {
				m.upstreams[id] = entry
			}
		}
	}
	// Records come last, since the step that they cause needs the evidence.
	for _, e := range c.Put() {
		if service, ok := strings.CutPrefix(e.Key(), movesPrefix); ok {
			m.applyRecord(ctx, service, e)
		}
	}
	// New moves take their first step only after the whole change was applied,
	// because a VM that starts during a move receives its order and its record
	// in one change.
	for _, t := range began {
		m.step(ctx, t)
	}
	m.listed = true
}

// startMove starts a move that was ordered some time ago, or returns nil if the
// order is already known. The store keeps no time of an order, so it counts from
// the time at which the VMs received it.
func (m *mover) startMove(o *origin.Order, revision uint64, elapsed time.Duration) *trackedMove {
	if t := m.moves[o.Service()]; t != nil && (t.origin.Latest() >= revision || m.adopt(t, o, revision)) {
		return nil
	}
	status, _, err := m.sources.MoveStatus(o.Service(), o.Target(), origin.Active)
	if err != nil {
		m.log.Error().Err(err).Msg("move: A state can't be encoded.")
	}
	now := m.now().Add(-elapsed)
	plan := world.NewMove(o.Service(), oldVersion, o.Target(), now, now.Add(o.Duration()), initialShare)
	t := &trackedMove{
		order:       o,
		origin:      origin.New(m.now(), revision, !m.listed).After(m.revisions[status]),
		plan:        plan,
		late:        !m.listed,
		takenBefore: move.Unknown,
		set:         move.NewEvidenceSet(),
		ownKeys:     make(map[move.Key]bool),
		others:      make(map[string]evidence),
		wantedSince: make(map[string]time.Time),
		sentAt:      make(map[string]time.Time),
	}
	t.controller = move.NewController(o.Service(), plan, t.set).WithExposure(m.exposure)
	m.moves[o.Service()] = t
	m.log.Info().Str("service", o.Service()).Str("target", o.Target()).Dur("duration", o.Duration()).Str("revision", store.Text(revision)).Msg("move: A move is ordered.")
	return t
}

// applyRecord applies the record of a move, unless it belongs to an earlier order.
func (m *mover) applyRecord(ctx context.Context, service string, e store.Entry) {
	t := m.moves[service]
	if t == nil {
		return
	}
	r, err := move.DecodeRecord(e.Value())
	if err != nil {
		m.log.Error().Err(err).Str("key", e.Key()).Msg("move: Invalid record.")
		return
	}
	if first, latest := r.Order(); first != 0 && !t.origin.Matches(first, latest) || first == 0 && e.Revision() < t.origin.Latest() {
		return
	}
	if r.Before(t.record) {
		t.recordLost = true
		return
	}
	t.record, t.pending, t.recordLost = r, nil, false
	m.log.Info().Str("service", service).Stringer("state", r.State()).Int("stage", r.Stage()).Str("reason", r.Reason()).Msg("move: A record arrived.")
	m.step(ctx, t)
}

// countAttempt adds the outcome of a request that this VM served.
func (m *mover) countAttempt(v *judge.Attempt) {
	t := m.moves[v.Service()]
	if t == nil {
		return
	}
	m.log.Info().Str("service", v.Service()).Str("route", v.Route()).Bool("new", v.NewVersion()).Str("upstream", v.Upstream()).
		Strs("bad", v.Outcome().BadMetrics()).Int64("ms", v.Latency().Milliseconds()).Int64("typical", v.Typical().Milliseconds()).
		Msg("move: An attempt was judged.")
	k := t.statsKey(m.name, v.NewVersion(), v.Route(), m.now())
	if v.Outcome().Slow() && t.controller.CountsByEngine() {
		k = k.WithEngine(v.Upstream())
	}
	t.set.Count(k, v.Outcome())
	t.ownKeys[k] = true
	t.dirty = t.dirty || v.NewVersion() || m.reportsOld()
}

// reportsOld reports whether this VM writes its evidence for each outcome of the
// old version. About oldReporters of the VMs do, which is enough to compare the
// versions; the others write it with their next outcome of the new version.
func (m *mover) reportsOld() bool {
	return xxhash.Sum64String(m.name)%uint64(max(len(m.peers), 1)) < oldReporters
}

// finishWrite logs a failed write and permits the next write of the key.
func (m *mover) finishWrite(w *writeResult) {
	t := m.moves[w.service]
	if t == nil {
		return
	}
	delete(t.sentAt, w.key)
	if w.revision > 0 {
		m.pace.Wrote(w.key, w.revision)
	}
	if !strings.HasPrefix(w.key, evidencePrefix) {
		return
	}
	if store.Era(w.revision) >= m.era {
		// The follower delivers the value later than the next one may be due.
		m.revisions[w.key] = max(m.revisions[w.key], w.revision)
	}
	if w.revision == 0 {
		t.dirty, t.published = true, ""
	}
	if w.err != nil {
		m.log.Warn().Err(w.err).Str("key", w.key).Msg("move: A write failed.")
	}
}

// step advances one move: it runs the controller, executes the resulting
// actions, and writes the record, the status and this VM's evidence as needed.
func (m *mover) step(ctx context.Context, t *trackedMove) {
	now := m.now()
	if t.ended {
		m.reportStatus(ctx, now, t)
		return
	}
	from, to := m.countUpstreams(t)
	// The new version's upstreams run in addition to the old ones, so the
	// larger of both numbers is enough.
	in := move.NewInput(len(m.peers)).WithEngines(from, to, max(from, to)).WithRecord(t.record, m.revisions[movesPrefix+t.order.Service()]).WithLease(1)
	for _, a := range t.controller.Step(now, in) {
		switch a.Kind() {
		case move.Limit:
			t.limits = a.Limits()
			m.sendLimits(ctx, t, t.banned())
		case move.Write:
			m.queueRecord(t, a)
		}
	}
	m.writeRecord(ctx, now, t)
	m.reportStatus(ctx, now, t)
	m.publish(ctx, now, t)
}

// countUpstreams counts the upstreams of the old and the new version that are not
// leaving.
func (m *mover) countUpstreams(t *trackedMove) (from, to int) {
	for _, e := range m.upstreams {
		switch {
		case e.Service() != t.order.Service() || e.Leaving():
		case e.Version() == t.order.Target():
			to++
		default:
			from++
		}
	}
	return from, to
}

// queueRecord encodes the record that the controller wants to store and keeps
// it as pending.
func (m *mover) queueRecord(t *trackedMove, a move.Action) {
	value, err := a.Record().WithOrder(t.origin.First(), t.origin.Latest()).Encode()
	if err != nil {
		m.log.Error().Err(err).Msg("move: Encoding a record failed.")
		return
	}
	t.pending = value
	r := a.Record()
	m.log.Info().Str("service", t.order.Service()).Stringer("state", r.State()).Int("stage", r.Stage()).Str("reason", r.Reason()).
		Strs("evidence", t.controller.Status().Lines()).Msg("move: A record is due.")
}

// applyStatus applies a change of the key that holds the move's status for
// operators, and ignores other keys. The first final status that is written
// holds, whatever the record says later.
func (m *mover) applyStatus(ctx context.Context, t *trackedMove, e store.Entry) {
	for _, state := range []origin.State{origin.Active, origin.Completed, origin.Reverted} {
		key, value, err := m.sources.MoveStatus(t.order.Service(), t.order.Target(), state)
		if err != nil {
			m.log.Error().Err(err).Msg("move: A state can't be encoded.")
			return
		}
		if key != e.Key() {
			return
		}
		if string(value) != string(e.Value()) {
			continue
		}
		t.reportedStatus, t.statusLost = string(value), t.ended && state == origin.Active
		if t.ended || state == origin.Active {
			return
		}
		t.ended, t.final = true, state
		l := move.NewLimits(0, math.Inf(1), t.plan.Start(), t.plan.Deadline())
		if state == origin.Completed {
			l = l.WithDone()
		}
		t.limits = l
		m.sendLimits(ctx, t, state == origin.Reverted)
	}
}

// banned reports whether the new version must get no requests because it was
// found faulty.
func (t *trackedMove) banned() bool {
	return t.record.State() == move.RolledBack || t.limits.Share() == 0
}

// sendLimits sends the limits of the new version to the dispatcher.
func (m *mover) sendLimits(ctx context.Context, t *trackedMove, banned bool) {
	e := proxy.NewMoveLimits(t.order.Service(), t.order.Target(), t.limits, banned, m.seed)
	if t.late {
		e = e.Resuming(t.takenBefore)
	}
	m.notify(ctx, e)
}

// reportStatus writes the status of the move for operators if it has changed.
func (m *mover) reportStatus(ctx context.Context, now time.Time, t *trackedMove) {
	state := origin.Active
	switch {
	case t.ended && !t.statusLost:
		return
	case t.ended:
		state = t.final
	case t.record.State() == move.RolledBack:
		state = origin.Reverted
	case t.record.State() == move.Done:
		t.drained = t.drained || m.oldVersionIdle(t)
		if t.drained || now.After(t.plan.Deadline().Add(-statusMargin)) {
			state = origin.Completed
		}
	}
	key, value, err := m.sources.MoveStatus(t.order.Service(), t.order.Target(), state)
	if err != nil {
		m.log.Error().Err(err).Msg("move: A state can't be encoded.")
		return
	}
	if t.reportedStatus == string(value) || state != origin.Active && !t.ended && !m.pace.Calm(now) {
		return
	}
	if m.write(ctx, now, t, key, value, turnDelay) {
		m.log.Info().Str("service", t.order.Service()).Str("target", t.order.Target()).Uint8("state", uint8(state)).Bool("again", t.statusLost).Msg("move: The state is reported.")
		if t.statusLost {
			m.rewritten("status")
		}
	}
}

// oldVersionIdle reports whether no VM has requests in flight at the old version.
func (m *mover) oldVersionIdle(t *trackedMove) bool {
	if left, ok := m.oldInFlight[t.order.Service()]; !ok || left != 0 {
		return false
	}
	for _, p := range m.peers {
		if ev, ok := t.others[p]; p != m.name && (!ok || ev.OldInFlight != 0) {
			return false
		}
	}
	return true
}
