package claim

import (
	"time"
)

// pace limits the slot writes of a VM, so that all VMs together stay within
// the store's rate limit. While writes are scarce operations gather in their
// slots and share writes.
type pace struct {
	// rate is in writes a second, burst in writes.
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

func newPace(rate float64) pace {
	var p pace
	p.set(time.Time{}, rate)
	p.tokens = p.burst
	return p
}

// set changes the rate; what was saved up so far stays within the new burst.
func (p *pace) set(now time.Time, rate float64) {
	p.fill(now)
	p.rate = rate
	p.burst = max(rate/4, 4)
	p.tokens = min(p.tokens, p.burst)
}

func (p *pace) fill(now time.Time) {
	if !p.at.IsZero() && now.After(p.at) {
		p.tokens = min(p.tokens+p.rate*now.Sub(p.at).Seconds(), p.burst)
	}
	p.at = now
}

// scarce reports whether outcomes should wait for claims to share a write.
func (p *pace) scarce() bool { return p.tokens < p.burst/2 }

// next returns the earliest time at which the slot may be written.
func (p *pace) next(s *slot) time.Time {
	at := p.at
	if p.tokens < 1 {
		at = at.Add(time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + time.Microsecond)
	}
	if p.scarce() && len(s.queue) > 0 && !s.urgent() {
		at = later(at, s.queue[0].since.Add(linger))
	}
	return at
}

// pump starts the store operations that may start now, for the slots that
// have waited longest first.
func (c *Core) pump(now time.Time) {
	c.pace.fill(now)
	var waiting []*slot
	// Completing an operation can list further slots, which are then handled
	// in the same pass.
	for len(c.ready) > 0 {
		s := c.ready[0]
		c.ready = c.ready[1:]
		s.listed = false
		s.prune()
		if len(s.queue) > 0 && !c.advance(now, s) {
			s.listed = true
			waiting = append(waiting, s)
		}
	}
	c.ready = waiting
	if c.down && !c.probe.busy && !now.Before(c.probeAt) {
		c.startRead(now, c.probe)
	}
}

// advance starts the slot's next operation; it returns false when the slot
// has to wait.
func (c *Core) advance(now time.Time, s *slot) bool {
	if now.Before(s.retryAt) {
		return false
	}
	if s.table == nil {
		c.startRead(now, s)
		return true
	}
	if now.Before(c.pace.next(s)) {
		return false
	}
	done, need, d, stale := s.evaluate(now, c.whole)
	if stale {
		c.startRead(now, s)
		return true
	}
	s.queue = nil
	if len(need) > 0 {
		c.startWrite(now, s, need, d)
	}
	for _, o := range done {
		c.complete(now, o, o.verdict, o.record)
	}
	return true
}

func (c *Core) startRead(now time.Time, s *slot) {
	s.busy = true
	s.started = now
	c.emit(Action{
		kind: Read,
		slot: s.number,
	})
}

func (c *Core) startWrite(now time.Time, s *slot, need []*op, d *draft) {
	next, value, err := d.build(now)
	if err != nil {
		// The records are built here, so only a fault of this package ends here.
		c.fail(now, s, need)
		return
	}
	s.busy = true
	s.started = now
	s.batch = need
	s.next = next
	c.pace.tokens--
	c.emit(Action{
		kind:     Write,
		slot:     s.number,
		revision: s.revision,
		value:    value,
	})
}

func (c *Core) read(now time.Time, e Event) {
	s := c.slots[e.slot]
	s.busy = false
	defer c.list(s)
	if e.result == Throttled {
		s.retryAt = now.Add(throttleGap)
		return
	}
	if e.result == Unsure && s.tries < readTries {
		s.tries++
		return
	}
	if e.result != OK {
		c.outage(now, s)
		return
	}
	t, err := parse(e.value)
	if err != nil {
		// A value that can't be read must not be overwritten.
		c.outage(now, s)
		return
	}
	c.up(s)
	s.table = t
	s.revision = e.revision
	s.fresh = s.started
}

func (c *Core) written(now time.Time, e Event) {
	s := c.slots[e.slot]
	s.busy = false
	defer c.list(s)
	batch := s.batch
	s.batch = nil
	switch e.result {
	case OK:
		c.up(s)
		s.table = s.next
		s.revision = e.revision
		s.fresh = s.started
		for _, o := range batch {
			c.complete(now, o, o.verdict, o.record)
		}
	case Conflict:
		c.up(s)
		s.table = nil
		s.queue = append(batch, s.queue...)
	case Throttled:
		s.retryAt = now.Add(throttleGap)
		s.queue = append(batch, s.queue...)
	case Unavailable:
		s.queue = append(batch, s.queue...)
		c.outage(now, s)
	default:
		// The write may still take effect, so the slot is read back.
		s.table = nil
		for _, o := range batch {
			o.tried = true
		}
		s.queue = append(batch, s.queue...)
	}
}

func (c *Core) up(s *slot) {
	c.down = false
	c.probeGap = 0
	s.backoff = 0
	s.retryAt = time.Time{}
	s.tries = 0
}

// outage refuses the claims that wait for the slot and keeps the outcomes.
func (c *Core) outage(now time.Time, s *slot) {
	c.down = true
	if c.probe == nil || !c.probe.busy {
		c.probe = s
		c.probeGap = min(max(2*c.probeGap, firstProbe), maxProbe)
		c.probeAt = now.Add(c.probeGap)
	}
	s.backoff = min(max(2*s.backoff, throttleGap), maxBackoff)
	s.retryAt = now.Add(s.backoff)
	queue := s.queue
	s.queue = nil
	c.fail(now, s, queue)
}

func (c *Core) fail(now time.Time, s *slot, ops []*op) {
	var failed []*op
	for _, o := range ops {
		if o.ask.settle && !o.remote {
			s.queue = append(s.queue, o)
		} else {
			failed = append(failed, o)
		}
	}
	for _, o := range failed {
		c.complete(now, o, Failed, nil)
	}
}
