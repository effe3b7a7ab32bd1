package lease

import (
	"math/rand/v2"
	"time"
)

// phase is the step that a lease is in.
type phase uint8

const (
	// idle does not want the key.
	idle phase = iota
	// standby waits for the key to be free.
	standby
	// granting waits for a store lease.
	granting
	// storing waits for the answer to the compare-and-swap.
	storing
	// confirming reads the key after the answer was lost.
	confirming
	// holding has the key as far as is known; see MayAct.
	holding
)

// Lease is one contender for a key. It is owned by one goroutine. Its fencing
// number is the store's revision of the key at acquisition: the store counts
// revisions for all keys together, so it also increases when the key vanishes
// and is created again.
type Lease struct {
	settings Settings
	random   *rand.Rand
	phase    phase
	// id is the store lease, or "".
	id string
	// sent is when the last Grant or Renew was issued.
	sent time.Time
	// fence is the fencing number while holding. It only increases.
	fence uint64
	// deadline is when the holder must stop, ready when it may begin.
	deadline time.Time
	ready    time.Time
	// op is the number of the last operation, pending that of the one without
	// an answer, or 0.
	op      uint64
	pending uint64
	// next is when the phase goes on, if nothing is pending.
	next time.Time
	// failures counts the failed operations since the last success.
	failures int
	// told is true between Held and Lost.
	told bool
	// woke is the time of the last Wake, zero after a Tick.
	woke time.Time
	out  []Action
}

// New returns a lease that does not want its key yet. The random delays are
// derived from seed, which should differ between contenders.
func New(settings Settings, seed uint64) *Lease {
	return &Lease{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// MayAct returns the fencing number and whether the holder may act at now. It
// is to be called immediately before each action, with a time that was read
// after anything that can block. The deadline counts on the monotonic clock
// and on the wall clock, whichever passes first, because the monotonic clock
// of a VM can stand still while the VM is suspended.
//
// It is false until Step has returned Held, so that the holder reads back the
// state before its first action.
func (l *Lease) MayAct(now time.Time) (fence uint64, ok bool) {
	if !l.told || !l.within(now) {
		return 0, false
	}
	return l.fence, true
}

// Until returns the time from which the holder may not act, if no renewal
// moves it.
func (l *Lease) Until() time.Time { return l.deadline }

// within reports whether now is between ready and the deadline of a holding.
func (l *Lease) within(now time.Time) bool {
	return l.phase == holding && !now.Before(l.ready) &&
		now.Before(l.deadline) && now.Round(0).Before(l.deadline.Round(0))
}

// Step takes one event and returns what to do. The returned slice is valid
// until the next Step.
func (l *Lease) Step(now time.Time, e Event) []Action {
	l.out = l.out[:0]
	switch e.kind {
	case evTick:
		l.woke = time.Time{}
	case evStart:
		if l.phase == idle {
			l.standBy(now)
		}
	case evRelease:
		l.release()
	case evChanged:
		if l.phase == standby {
			l.next = now
		}
	default:
		if e.op != 0 && e.op == l.pending {
			l.pending = 0
			l.answer(now, e)
		}
	}
	l.proceed(now)
	l.tell(now)
	l.schedule(now)
	return l.out
}

// proceed issues the next operation if it is due.
func (l *Lease) proceed(now time.Time) {
	if l.pending != 0 || now.Before(l.next) {
		return
	}
	switch l.phase {
	case standby:
		l.issue(Read)
	case confirming:
		if now.Before(l.deadline) {
			l.issue(Read)
			return
		}
		l.abandon(now)
	case holding:
		l.sent = now
		l.issue(Renew)
	}
}

// answer handles the result of the pending operation.
func (l *Lease) answer(now time.Time, e Event) {
	if e.kind == evFailed {
		l.failures++
		l.fail(now, e.failure)
		return
	}
	l.failures = 0
	switch {
	case e.kind == evGranted && l.phase == granting:
		l.id = e.lease
		l.phase = storing
		l.issue(Store)
	case e.kind == evStored && l.phase == storing:
		l.hold(now, e.revision)
	case e.kind == evDone && l.phase == holding:
		l.issue(Read)
	case e.kind == evFound:
		l.found(now, e)
	}
}

// found handles the state of the key.
func (l *Lease) found(now time.Time, e Event) {
	mine := l.id != "" && e.lease == l.id && e.revision != 0
	switch l.phase {
	case standby:
		if e.revision != 0 {
			l.next = now.Add(l.jitter(l.settings.ttl / 3))
			return
		}
		l.phase = granting
		l.sent = now
		l.issue(Grant)
	case confirming:
		if mine {
			l.hold(now, e.revision)
			return
		}
		l.abandon(now)
	case holding:
		// The renewal counts only if the key was still the holder's after it:
		// the store lease can outlive the key when an operator deletes the key.
		if !mine || e.revision != l.fence {
			l.abandon(now)
			return
		}
		l.deadline = l.settings.deadline(l.sent)
		l.next = l.sent.Add(l.settings.ttl / 3)
	}
}

// fail handles an operation that did not succeed.
func (l *Lease) fail(now time.Time, f Failure) {
	l.next = now.Add(l.backoff())
	switch l.phase {
	case granting:
		l.phase = standby
	case storing:
		if f != Unknown {
			l.abandon(now)
			return
		}
		l.phase = confirming
		l.deadline = l.settings.deadline(l.sent)
		l.issue(Read)
	case holding:
		// Without a renewal the deadline stays. After it the holder does not
		// act, but it keeps the key if the store still has it.
		if f == Expired {
			l.abandon(now)
		}
	}
}

// hold begins the holding of the key at a revision.
func (l *Lease) hold(now time.Time, revision uint64) {
	if revision <= l.fence {
		// The store has lost revisions; an upstream would reject the number.
		l.abandon(now)
		return
	}
	l.phase = holding
	l.fence = revision
	l.deadline = l.settings.deadline(l.sent)
	l.ready = l.settings.ready(now)
	l.next = l.sent.Add(l.settings.ttl / 3)
}

// abandon gives up the store lease and contends anew after a delay. Revoking
// also keeps a Store that is still on its way from taking effect.
func (l *Lease) abandon(now time.Time) {
	l.revoke()
	l.standBy(now.Add(l.backoff()))
}

func (l *Lease) standBy(next time.Time) {
	l.phase = standby
	l.next = next
}

func (l *Lease) release() {
	l.revoke()
	l.phase = idle
	l.pending = 0
	l.failures = 0
}

func (l *Lease) revoke() {
	if l.id == "" {
		return
	}
	l.op++
	l.out = append(l.out, Action{
		kind:  Revoke,
		op:    l.op,
		lease: l.id,
	})
	l.id = ""
}

// issue emits an operation, whose answer is then pending.
func (l *Lease) issue(k ActionKind) {
	l.op++
	l.pending = l.op
	l.out = append(l.out, Action{
		kind:  k,
		op:    l.op,
		lease: l.id,
	})
}

// tell emits Held and Lost when the holder enters or leaves its time to act.
func (l *Lease) tell(now time.Time) {
	ok := l.within(now)
	if ok == l.told {
		return
	}
	l.told = ok
	kind := Lost
	if ok {
		kind = Held
	}
	l.out = append(l.out, Action{
		kind:  kind,
		fence: l.fence,
	})
}

// schedule emits Wake for the next time at which something is due.
func (l *Lease) schedule(now time.Time) {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l.pending == 0 && l.phase != idle {
		sooner(l.next)
	}
	if l.phase == holding {
		sooner(l.ready)
		sooner(l.deadline)
	}
	if at.IsZero() || at.Equal(l.woke) {
		return
	}
	l.woke = at
	l.out = append(l.out, Action{
		kind: Wake,
		at:   at,
	})
}

// backoff doubles with each failure, from a twelfth of the time to live to a
// third.
func (l *Lease) backoff() time.Duration {
	d := l.settings.ttl / 12
	for range min(l.failures, 3) - 1 {
		d *= 2
	}
	return l.jitter(d)
}

// jitter returns between a half and one and a half of d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.random.Float64()*float64(d))
}
