package claim

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Times and bounds of the core.
const (
	// askWait is the time for a soft owner's reply, about ten round trips
	// between regions. After it the VM uses the store itself.
	askWait = 300 * time.Millisecond
	// A store that is down is probed with one read after firstProbe, doubled up
	// to maxProbe; claims are refused at once meanwhile. 360 VMs at maxProbe
	// take 720 of the store's 2,000 reads a second.
	firstProbe = 20 * time.Millisecond
	maxProbe   = 500 * time.Millisecond
	// readTries is the number of reads without any reply after which the store
	// counts as down.
	readTries = 2
	// linger is the time that outcomes wait for a claim to share their write
	// when writes are scarce.
	linger = 100 * time.Millisecond
	// throttleGap is the pause of a slot after the store's rate limit.
	throttleGap = 50 * time.Millisecond
	maxBackoff  = 5 * time.Second
	firstPoll   = 50 * time.Millisecond
	maxPoll     = time.Second
	// settleSlack is added to a sent call's deadline, so that the sender's own
	// statement of the outcome comes before the core's.
	settleSlack = 200 * time.Millisecond
	// maxCalls bounds the calls that wait for a claim or run.
	maxCalls = 8192
)

// pendingAsk is an operation that a peer was asked for.
type pendingAsk struct {
	op    *op
	until time.Time
}

// Core holds the claims of one VM. It is owned by one goroutine.
type Core struct {
	vm          string
	incarnation uint64
	slots       []*slot
	calls       map[uint64]*call
	asks        map[uint64]pendingAsk
	tickets     uint64
	// ready lists the slots with queued operations and none in flight.
	ready []*slot
	// due is the earliest deadline of a call, poll or ask, or zero.
	due  time.Time
	pace pace
	// down is true from a failed store operation to the next that succeeds.
	down bool
	// probe is the slot that is read at probeAt while the store is down.
	probe    *slot
	probeAt  time.Time
	probeGap time.Duration
	out      []Action
	// whole is the size in bytes above which a slot packs final records.
	whole int
	// owner returns the soft owner of a slot; nil or "" stands for this VM.
	owner func(slot int) string
	// early reports whether a call is sent before its claim is held. It is nil
	// except in tests that show that the checks find double runs.
	early func() bool
}

// New returns the core of one process. The incarnation is not 0 and unique to the
// process. All VMs must use the same number of slots; changing it while keys
// are kept loses claims. Rate is the number of slot writes a second for this
// VM.
func New(vm string, incarnation uint64, slots int, rate float64) *Core {
	c := &Core{
		vm:          vm,
		incarnation: incarnation,
		slots:       make([]*slot, slots),
		calls:       map[uint64]*call{},
		asks:        map[uint64]pendingAsk{},
		pace:        newPace(rate),
		whole:       wholeRoom,
	}
	for i := range c.slots {
		c.slots[i] = &slot{number: i}
	}
	return c
}

// WithOwner sets the choice of a slot's soft owner by VM name.
func (c *Core) WithOwner(owner func(slot int) string) *Core {
	c.owner = owner
	return c
}

// Step tells the core of an event and returns its orders.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.out = nil
	switch e.kind {
	case begin:
		c.begin(now, e)
	case gone:
		c.gone(now, e.number)
	case ended:
		c.ended(now, e)
	case read:
		c.read(now, e)
	case written:
		c.written(now, e)
	case asked:
		c.submit(now, &op{
			ask:    e.ask,
			remote: true,
			ticket: e.number,
			since:  now,
		})
	case replied:
		c.replied(now, e)
	case paced:
		c.pace.set(now, e.rate)
	}
	c.expire(now)
	c.pump(now)
	return c.out
}

// Next returns the time of the next tick that the core needs, or zero.
func (c *Core) Next() time.Time {
	next := c.due
	for _, s := range c.ready {
		at := s.retryAt
		if s.table != nil {
			at = later(at, c.pace.next(s))
		}
		next = sooner(next, at)
	}
	if c.down && !c.probe.busy {
		next = sooner(next, c.probeAt)
	}
	return next
}

// Calls returns the number of calls that wait or run.
func (c *Core) Calls() int { return len(c.calls) }

// Unsettled returns the number of outcomes that are not in the store yet.
func (c *Core) Unsettled() int {
	n := 0
	for _, s := range c.slots {
		for _, list := range [][]*op{s.queue, s.batch} {
			for _, o := range list {
				if o.ask.settle && !o.remote {
					n++
				}
			}
		}
	}
	for _, a := range c.asks {
		if a.op.ask.settle {
			n++
		}
	}
	return n
}

// Down reports whether the last store operation failed.
func (c *Core) Down() bool { return c.down }

// submit hands an operation to the slot's soft owner or to the slot itself.
func (c *Core) submit(now time.Time, o *op) {
	s := c.slot(o.ask.key)
	peer := ""
	if c.owner != nil && !o.remote && !o.direct {
		peer = c.owner(s.number)
	}
	if !o.ask.settle && c.down {
		c.complete(now, o, Failed, nil)
		return
	}
	if peer != "" && peer != c.vm {
		c.tickets++
		c.asks[c.tickets] = pendingAsk{
			op:    o,
			until: now.Add(askWait),
		}
		c.wake(now.Add(askWait))
		c.emit(Action{
			kind:   Forward,
			number: c.tickets,
			peer:   peer,
			ask:    o.ask,
		})
		return
	}
	s.queue = append(s.queue, o)
	if !o.ask.settle && s.backoff > 0 {
		s.retryAt = now
	}
	c.list(s)
}

// complete tells whoever waits for the operation.
func (c *Core) complete(now time.Time, o *op, v Verdict, r *Record) {
	if o.ask.settle && v != Failed {
		c.rouse(now, o.ask.key)
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
	if o.ask.settle {
		return
	}
	l := c.calls[o.ask.id.number]
	if l == nil || l.op != o {
		return
	}
	l.tried = l.tried || o.tried
	l.op = nil
	c.judge(now, l, v, r)
}

// queued reports whether the operation waits in its slot and is in no write.
func (c *Core) queued(o *op) bool {
	for _, q := range c.slot(o.ask.key).queue {
		if q == o {
			return true
		}
	}
	return false
}

func (c *Core) settle(now time.Time, a Ask) {
	c.submit(now, &op{
		ask:   a,
		since: now,
	})
}

func (c *Core) replied(now time.Time, e Event) {
	p, ok := c.asks[e.number]
	if !ok {
		return
	}
	delete(c.asks, e.number)
	c.answer(now, p.op, e.verdict, e.record)
}

// answer takes a peer's verdict. Without one the VM uses the store itself; the
// peer may still write the operation, which is harmless because it is the same.
func (c *Core) answer(now time.Time, o *op, v Verdict, r *Record) {
	needed := v == Held || v == Found || v == Mismatch
	if v != Failed && (r.valid() || r == nil && !needed) {
		c.complete(now, o, v, r)
		return
	}
	o.direct = true
	o.tried = true
	o.since = now
	if !o.dropped {
		c.submit(now, o)
	}
}

// expire handles the deadlines that have passed.
func (c *Core) expire(now time.Time) {
	if c.due.IsZero() || now.Before(c.due) {
		return
	}
	c.due = time.Time{}
	// The order of the keys keeps traces reproducible.
	for _, t := range slices.Sorted(maps.Keys(c.asks)) {
		p := c.asks[t]
		if now.Before(p.until) {
			c.wake(p.until)
			continue
		}
		delete(c.asks, t)
		c.answer(now, p.op, Failed, nil)
	}
	for _, n := range slices.Sorted(maps.Keys(c.calls)) {
		if l := c.calls[n]; l != nil {
			c.expireCall(now, l)
		}
	}
}

func (c *Core) slot(k Digest) *slot {
	return c.slots[binary.BigEndian.Uint32(k[:4])%uint32(len(c.slots))]
}

func (c *Core) wake(at time.Time) { c.due = sooner(c.due, at) }

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) list(s *slot) {
	if !s.listed && !s.busy {
		s.listed = true
		c.ready = append(c.ready, s)
	}
}

// sooner returns the earlier time; zero stands for never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
