package claim

import (
	"bytes"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/store"
)

// writeLimiter is a token bucket for the slot writes of a VM, which keeps all VMs
// together within the store's rate limit. While the bucket is low, operations
// queue in their slots and share writes.
type writeLimiter struct {
	// rate is in writes a second, burst in writes.
	rate     float64
	burst    float64
	tokens   float64
	filledAt time.Time
}

func newWriteLimiter(rate float64) writeLimiter {
	var l writeLimiter
	l.setRate(time.Time{}, rate)
	l.tokens = l.burst
	return l
}

// setRate changes the rate and caps the saved tokens at the new burst.
func (l *writeLimiter) setRate(now time.Time, rate float64) {
	l.refill(now)
	l.rate = rate
	l.burst = max(rate/4, 4)
	l.tokens = min(l.tokens, l.burst)
}

func (l *writeLimiter) refill(now time.Time) {
	if !l.filledAt.IsZero() && now.After(l.filledAt) {
		l.tokens = min(l.tokens+l.rate*now.Sub(l.filledAt).Seconds(), l.burst)
	}
	l.filledAt = now
}

// low reports whether less than half of the burst is left. Outcomes then wait
// for a claim to share a write with.
func (l *writeLimiter) low() bool { return l.tokens < l.burst/2 }

// nextWrite returns the earliest time at which the slot may be written. Slots
// with only outcomes wait longer while tokens are low.
func (l *writeLimiter) nextWrite(s *slot) time.Time {
	at := l.filledAt
	if l.tokens < 1 {
		at = at.Add(time.Duration((1-l.tokens)/l.rate*float64(time.Second)) + time.Microsecond)
	}
	if l.low() && len(s.queue) > 0 && !s.hasClaim() {
		at = alarm.Later(at, s.queue[0].arrivedAt.Add(outcomeLinger))
	}
	return at
}

// startReadySlots starts the store operations that may start now, beginning
// with the slot that has waited longest.
func (c *Core) startReadySlots(now time.Time) {
	c.limiter.refill(now)
	var waiting []*slot
	// Completing an operation can append slots to c.ready, which are then handled
	// in the same pass.
	for len(c.ready) > 0 {
		s := c.ready[0]
		c.ready = c.ready[1:]
		s.inReady = false
		s.dropAbandoned()
		if len(s.queue) > 0 && !c.startNext(now, s) {
			s.inReady = true
			waiting = append(waiting, s)
		}
	}
	c.ready = waiting
	if c.storeDown && !c.probe.inFlight && !now.Before(c.probeAt) {
		c.startRead(now, c.probe)
	}
}

// startNext starts the slot's next store operation, if it needs one. It returns
// false when the slot has to wait for its retry time or for a write token.
func (c *Core) startNext(now time.Time, s *slot) bool {
	if now.Before(s.retryAt) {
		return false
	}
	if s.table == nil {
		c.startRead(now, s)
		return true
	}
	if now.Before(c.limiter.nextWrite(s)) {
		return false
	}
	done, toWrite, d, stale := s.evaluate(now, c.wholeLimit)
	if stale {
		c.startRead(now, s)
		return true
	}
	s.queue = nil
	if len(toWrite) > 0 || s.repair {
		c.startWrite(now, s, toWrite, d)
	}
	for _, o := range done {
		c.complete(now, o, o.verdict, o.record)
	}
	return true
}

func (c *Core) startRead(now time.Time, s *slot) {
	s.inFlight = true
	s.startedAt = now
	c.emit(Action{
		kind: Read,
		slot: s.number,
	})
}

func (c *Core) startWrite(now time.Time, s *slot, toWrite []*pendingOp, d *draft) {
	next, value, err := d.build(now)
	if err != nil {
		// All records are built by this package, so an encoding error is a bug in
		// it.
		c.failOperations(now, s, toWrite)
		return
	}
	s.inFlight = true
	s.startedAt = now
	s.writing = toWrite
	s.nextTable = next
	c.limiter.tokens--
	c.emit(Action{
		kind:     Write,
		slot:     s.number,
		revision: s.revision,
		value:    value,
	})
}

func (c *Core) readDone(now time.Time, e Event) {
	s := c.slots[e.slot]
	s.inFlight = false
	defer c.markReady(s)
	if e.result == Throttled {
		s.retryAt = now.Add(throttleDelay)
		return
	}
	if e.result == Indeterminate && s.failedReads < maxFailedReads {
		s.failedReads++
		return
	}
	if e.result != OK {
		c.storeFailed(now, s)
		return
	}
	t, err := parse(e.value)
	if err != nil {
		// A value that can't be decoded must not be overwritten.
		c.storeFailed(now, s)
		return
	}
	c.storeSucceeded(s)
	c.takeTable(now, s, t, e.revision)
	s.revision = e.revision
	s.readAt = s.startedAt
}

// takeTable takes a table that was read at a revision. If the store was restored since the
// slot was last known, what the slot has lost is written again. Records may go otherwise.
func (c *Core) takeTable(now time.Time, s *slot, t *table, revision uint64) {
	var packed []byte
	s.lost = nil
	if restored := revision < s.knownAt || store.Era(revision) > store.Era(s.knownAt); restored {
		s.lost, packed = t.missing(s.known, now), t.missingPacked(s.known, now)
	}
	s.repair = len(s.lost) > 0 || len(packed) > 0
	if s.repair {
		t.packed = append(bytes.Clone(t.packed), packed...)
		t.size += len(packed)
		c.rewritten += len(s.lost) + len(packed)/packedSize
	} else {
		s.known, s.knownAt = t, revision
	}
	s.table = t
}

func (c *Core) writeDone(now time.Time, e Event) {
	s := c.slots[e.slot]
	s.inFlight = false
	defer c.markReady(s)
	batch := s.writing
	s.writing = nil
	switch e.result {
	case OK:
		c.storeSucceeded(s)
		s.table, s.known, s.knownAt = s.nextTable, s.nextTable, e.revision
		s.lost, s.repair = nil, false
		s.revision = e.revision
		s.readAt = s.startedAt
		for _, o := range batch {
			c.complete(now, o, o.verdict, o.record)
		}
	case Conflict:
		c.storeSucceeded(s)
		s.table = nil
		s.queue = append(batch, s.queue...)
	case Throttled:
		s.retryAt = now.Add(throttleDelay)
		s.queue = append(batch, s.queue...)
	case Unavailable:
		s.queue = append(batch, s.queue...)
		c.storeFailed(now, s)
	default:
		// The write may or may not have taken effect, so the slot is read again.
		s.table = nil
		for _, o := range batch {
			o.maybeWritten = true
		}
		s.queue = append(batch, s.queue...)
	}
}

// storeSucceeded marks the store as up and resets the slot's backoff after a
// reply from the store.
func (c *Core) storeSucceeded(s *slot) {
	c.storeDown = false
	c.probeInterval = 0
	s.backoff = 0
	s.retryAt = time.Time{}
	s.failedReads = 0
}

// storeFailed marks the store as down, fails the claims that wait for the slot
// and keeps the local outcomes for a retry after the backoff.
func (c *Core) storeFailed(now time.Time, s *slot) {
	c.storeDown = true
	if c.probe == nil || !c.probe.inFlight {
		c.probe = s
		c.probeInterval = min(max(2*c.probeInterval, minProbeInterval), maxProbeInterval)
		c.probeAt = now.Add(c.probeInterval)
	}
	s.backoff = min(max(2*s.backoff, throttleDelay), maxBackoff)
	s.retryAt = now.Add(s.backoff)
	queue := s.queue
	s.queue = nil
	c.failOperations(now, s, queue)
}

// failOperations fails the claims and the peers' operations, and queues the
// local outcomes again.
func (c *Core) failOperations(now time.Time, s *slot, ops []*pendingOp) {
	var failed []*pendingOp
	for _, o := range ops {
		if o.operation.isOutcome && !o.remote {
			s.queue = append(s.queue, o)
		} else {
			failed = append(failed, o)
		}
	}
	for _, o := range failed {
		c.complete(now, o, Failed, nil)
	}
}
