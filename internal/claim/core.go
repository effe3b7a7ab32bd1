package claim

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
)

// The timeouts, intervals and limits of the core.
const (
	// peerReplyTimeout is the time for a soft owner's reply, about ten round trips
	// between regions, after which the VM uses the store itself.
	peerReplyTimeout = 300 * time.Millisecond
	// A store that is down is probed with single reads. The interval starts at
	// minProbeInterval and doubles up to maxProbeInterval, at which 360 VMs take
	// 720 of the store's 2,000 reads a second. Claims fail at once meanwhile.
	minProbeInterval = 20 * time.Millisecond
	maxProbeInterval = 500 * time.Millisecond
	// maxFailedReads is the number of reads that are repeated when they get no
	// reply; the store counts as down when the next one fails too.
	maxFailedReads = 2
	// outcomeLinger is the time for which outcomes wait for a claim to share their
	// write when few write tokens are left.
	outcomeLinger = 100 * time.Millisecond
	// throttleDelay is the time before an operation that the store's rate limit
	// refused is repeated. It is also the first backoff of a failing slot, which
	// doubles up to maxBackoff.
	throttleDelay = 50 * time.Millisecond
	maxBackoff    = 5 * time.Second
	// A call whose key another claim holds looks again after minPollInterval,
	// doubled up to maxPollInterval.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
	// outcomeSlack is added to the deadline of a sent call before the core finishes
	// it as unknown, so that the sender can report the outcome first.
	outcomeSlack = 200 * time.Millisecond
	// maxCalls limits the calls that wait for a claim or run.
	maxCalls = 8192
)

// forwardedOp is an operation that waits for a soft owner's reply.
type forwardedOp struct {
	op       *pendingOp
	deadline time.Time
}

// Core makes the claims of one VM as a deterministic state machine: Step takes
// an event and returns the actions that the adapter carries out. It is not safe
// for concurrent use.
type Core struct {
	vm          string
	incarnation uint64
	slots       []*slot
	calls       map[uint64]*call
	forwarded   map[uint64]forwardedOp
	lastTicket  uint64
	// ready holds the slots with queued operations and no store operation in
	// flight.
	ready []*slot
	// nextTimer is the earliest time at which a call or a forwarded operation
	// needs a tick, or zero.
	nextTimer time.Time
	limiter   writeLimiter
	// storeDown is true from a failed store operation until one succeeds.
	storeDown bool
	// rewritten counts the records that slots had lost.
	rewritten int
	// probe is the slot that is read at probeAt while the store is down.
	probe         *slot
	probeAt       time.Time
	probeInterval time.Duration
	actions       []Action
	// wholeLimit is the total size in bytes of a slot's whole records above which
	// final ones are packed.
	wholeLimit int
	// owner returns the name of a slot's soft owner, the VM through which all VMs
	// send their operations on the slot so that they share writes. A nil owner or
	// the name "" stands for this VM.
	owner func(slot int) string
	// sendBeforeClaim makes the core send a call before its claim is stored. It is
	// nil except in tests, which use it to show that their checks detect a key
	// that runs twice.
	sendBeforeClaim func() bool
}

// New returns the core of a process on the VM with the given name. The
// incarnation must not be 0 and must be unique to the process. All VMs must use
// the same number of slots; changing it loses the claims of the keys that are
// stored. Rate is the number of slot writes a second for this VM.
func New(vm string, incarnation uint64, slots int, rate float64) *Core {
	c := &Core{
		vm:          vm,
		incarnation: incarnation,
		slots:       make([]*slot, slots),
		calls:       map[uint64]*call{},
		forwarded:   map[uint64]forwardedOp{},
		limiter:     newWriteLimiter(rate),
		wholeLimit:  maxWholeBytes,
	}
	for i := range c.slots {
		c.slots[i] = &slot{number: i}
	}
	return c
}

// WithOwner sets the function that returns the VM name of a slot's soft owner.
func (c *Core) WithOwner(owner func(slot int) string) *Core {
	c.owner = owner
	return c
}

// Step handles an event and returns the actions that follow from it, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = nil
	switch e.kind {
	case begin:
		c.beginCall(now, e)
	case callerLeft:
		c.callerLeft(now, e.number)
	case ended:
		c.sendEnded(now, e)
	case read:
		c.readDone(now, e)
	case written:
		c.writeDone(now, e)
	case peerRequested:
		c.submit(now, &pendingOp{
			operation: e.operation,
			remote:    true,
			ticket:    e.number,
			arrivedAt: now,
		})
	case peerReplied:
		c.peerReplied(now, e)
	case rateChanged:
		c.limiter.setRate(now, e.rate)
	}
	c.runTimers(now)
	c.startReadySlots(now)
	return c.actions
}

// Next returns the time at which the core needs the next Tick, or zero.
func (c *Core) Next() time.Time {
	next := c.nextTimer
	for _, s := range c.ready {
		at := s.retryAt
		if s.table != nil {
			at = alarm.Later(at, c.limiter.nextWrite(s))
		}
		next = alarm.First(next, at)
	}
	if c.storeDown && !c.probe.inFlight {
		next = alarm.First(next, c.probeAt)
	}
	return next
}

// Calls returns the number of calls that wait for a claim or run.
func (c *Core) Calls() int { return len(c.calls) }

// UnstoredOutcomes returns the number of outcomes of local calls that are not
// in the store yet.
func (c *Core) UnstoredOutcomes() int {
	n := 0
	for _, s := range c.slots {
		for _, list := range [][]*pendingOp{s.queue, s.writing} {
			for _, o := range list {
				if o.operation.isOutcome && !o.remote {
					n++
				}
			}
		}
	}
	for _, a := range c.forwarded {
		if a.op.operation.isOutcome {
			n++
		}
	}
	return n
}

// Rewritten returns the number of records that slots had lost since the start, because the
// store was restored from a copy, and that were written again.
func (c *Core) Rewritten() int { return c.rewritten }

// StoreDown reports whether the last store operation failed.
func (c *Core) StoreDown() bool { return c.storeDown }

// submit forwards an operation to the slot's soft owner, or queues it here when
// this VM is the owner or the owner can't be used.
func (c *Core) submit(now time.Time, o *pendingOp) {
	s := c.slot(o.operation.key)
	peer := ""
	if c.owner != nil && !o.remote && !o.bypassOwner {
		peer = c.owner(s.number)
	}
	if !o.operation.isOutcome && c.storeDown {
		c.complete(now, o, Failed, nil)
		return
	}
	if peer != "" && peer != c.vm {
		c.lastTicket++
		c.forwarded[c.lastTicket] = forwardedOp{
			op:       o,
			deadline: now.Add(peerReplyTimeout),
		}
		c.scheduleTick(now.Add(peerReplyTimeout))
		c.emit(Action{
			kind:      Forward,
			number:    c.lastTicket,
			peer:      peer,
			operation: o.operation,
		})
		return
	}
	s.queue = append(s.queue, o)
	if !o.operation.isOutcome && s.backoff > 0 {
		s.retryAt = now
	}
	c.markReady(s)
}

// complete reports the verdict to the peer or the local call that waits for the
// operation.
func (c *Core) complete(now time.Time, o *pendingOp, v Verdict, r *Record) {
	if o.operation.isOutcome && v != Failed {
		c.pollNow(now, o.operation.key)
	}
	if o.remote {
		c.emit(Action{
			kind:    Reply,
			number:  o.ticket,
			verdict: v,
			record:  r,
		})
		return
	}
	if o.operation.isOutcome {
		return
	}
	cl := c.calls[o.operation.id.number]
	if cl == nil || cl.claimOp != o {
		return
	}
	cl.maybeWritten = cl.maybeWritten || o.maybeWritten
	cl.claimOp = nil
	c.handleVerdict(now, cl, v, r)
}

// queued reports whether the operation is in its slot's queue, and so in no write
// in flight.
func (c *Core) queued(o *pendingOp) bool {
	for _, q := range c.slot(o.operation.key).queue {
		if q == o {
			return true
		}
	}
	return false
}

func (c *Core) recordOutcome(now time.Time, op Operation) {
	c.submit(now, &pendingOp{
		operation: op,
		arrivedAt: now,
	})
}

func (c *Core) peerReplied(now time.Time, e Event) {
	p, ok := c.forwarded[e.number]
	if !ok {
		return
	}
	delete(c.forwarded, e.number)
	c.completeForwarded(now, p.op, e.verdict, e.record)
}

// completeForwarded handles a peer's verdict. Without a valid one the VM uses the
// store itself. The peer may still write the operation, which does no harm since
// operations are idempotent.
func (c *Core) completeForwarded(now time.Time, o *pendingOp, v Verdict, r *Record) {
	needed := v == Held || v == Found || v == Mismatch
	if v != Failed && (r.valid() || r == nil && !needed) {
		c.complete(now, o, v, r)
		return
	}
	o.bypassOwner = true
	o.maybeWritten = true
	o.arrivedAt = now
	if !o.abandoned {
		c.submit(now, o)
	}
}

// runTimers handles the calls and forwarded operations whose time has come.
func (c *Core) runTimers(now time.Time) {
	if c.nextTimer.IsZero() || now.Before(c.nextTimer) {
		return
	}
	c.nextTimer = time.Time{}
	// Sorted keys make the order of the actions reproducible.
	for _, t := range slices.Sorted(maps.Keys(c.forwarded)) {
		p := c.forwarded[t]
		if now.Before(p.deadline) {
			c.scheduleTick(p.deadline)
			continue
		}
		delete(c.forwarded, t)
		c.completeForwarded(now, p.op, Failed, nil)
	}
	for _, n := range slices.Sorted(maps.Keys(c.calls)) {
		if cl := c.calls[n]; cl != nil {
			c.runCallTimers(now, cl)
		}
	}
}

func (c *Core) slot(k Digest) *slot {
	return c.slots[binary.BigEndian.Uint32(k[:4])%uint32(len(c.slots))]
}

// scheduleTick asks for a tick at the given time at the latest.
func (c *Core) scheduleTick(at time.Time) { c.nextTimer = alarm.First(c.nextTimer, at) }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// markReady appends the slot to ready unless it is there or has a store
// operation in flight.
func (c *Core) markReady(s *slot) {
	if !s.inReady && !s.inFlight {
		s.inReady = true
		c.ready = append(c.ready, s)
	}
}
