package lease

import (
	"math/rand/v2"
	"time"
)

// phase is the state of a lease.
type phase uint8

const (
	// idle does not try to acquire the key.
	idle phase = iota
	// standby waits until the key is free.
	standby
	// granting waits for a store lease.
	granting
	// storing waits for the answer to the compare-and-swap.
	storing
	// confirming reads the key because the result of the compare-and-swap is
	// unknown.
	confirming
	// holding has acquired the key and may still have it; see MayAct.
	holding
)

// Lease is one contender for a key. It is owned by one goroutine. The fencing
// number is the key's revision at its creation. The store counts revisions for
// all keys together, so the number also increases when the key is deleted and
// created again.
type Lease struct {
	settings Settings
	random   *rand.Rand
	phase    phase
	// storeLease is the ID of the store lease, or "".
	storeLease string
	// sentAt is when the last Grant or Renew was issued.
	sentAt time.Time
	// fence is the fencing number of the last holding. It only increases.
	fence uint64
	// deadline is when the holder must stop acting, readyAt when it may begin.
	deadline time.Time
	readyAt  time.Time
	// op is the number of the last operation. pending is the number of the
	// unanswered operation, or 0.
	op      uint64
	pending uint64
	// nextAt is when the next operation is due, if none is pending.
	nextAt time.Time
	// failures is the number of consecutive failed operations.
	failures int
	// reportedHeld is true after Held and before Lost.
	reportedHeld bool
	// wakeAt is the time of the last Wake, or zero after a Tick.
	wakeAt  time.Time
	actions []Action
}

// New returns a lease that does not try to acquire its key before Start. Its
// random delays are derived from seed, which should differ between contenders.
func New(settings Settings, seed uint64) *Lease {
	return &Lease{
		settings: settings,
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// MayAct returns the fencing number and whether the holder may act at now. Call
// it immediately before each action, with a time read after anything that can
// block. The deadline applies to both the monotonic and the wall clock, because
// the monotonic clock of a VM can stop while the VM is suspended.
//
// ok is false until Step has returned Held, so that the holder can read the state
// before its first action.
func (l *Lease) MayAct(now time.Time) (fence uint64, ok bool) {
	if !l.reportedHeld || !l.withinHolding(now) {
		return 0, false
	}
	return l.fence, true
}

// Until returns the time from which the holder may no longer act unless a renewal
// succeeds.
func (l *Lease) Until() time.Time { return l.deadline }

// withinHolding reports whether the key is held and now is between readyAt and the
// deadline.
func (l *Lease) withinHolding(now time.Time) bool {
	return l.phase == holding && !now.Before(l.readyAt) &&
		now.Before(l.deadline) && now.Round(0).Before(l.deadline.Round(0))
}

// Step applies an event and returns the resulting actions. The returned slice is
// valid until the next Step.
func (l *Lease) Step(now time.Time, e Event) []Action {
	l.actions = l.actions[:0]
	switch e.kind {
	case tickEvent:
		l.wakeAt = time.Time{}
	case startEvent:
		if l.phase == idle {
			l.startStandby(now)
		}
	case releaseEvent:
		l.release()
	case changedEvent:
		if l.phase == standby {
			l.nextAt = now
		}
	default:
		if e.op != 0 && e.op == l.pending {
			l.pending = 0
			l.handleAnswer(now, e)
		}
	}
	l.proceed(now)
	l.reportHeld(now)
	l.scheduleWake(now)
	return l.actions
}

// proceed issues the next operation if it is due.
func (l *Lease) proceed(now time.Time) {
	if l.pending != 0 || now.Before(l.nextAt) {
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
		l.sentAt = now
		l.issue(Renew)
	}
}

// handleAnswer applies the answer to the pending operation.
func (l *Lease) handleAnswer(now time.Time, e Event) {
	if e.kind == failedEvent {
		l.failures++
		l.handleFailure(now, e.failure)
		return
	}
	l.failures = 0
	switch {
	case e.kind == grantedEvent && l.phase == granting:
		l.storeLease = e.lease
		l.phase = storing
		l.issue(Store)
	case e.kind == storedEvent && l.phase == storing:
		l.startHolding(now, e.revision)
	case e.kind == doneEvent && l.phase == holding:
		l.issue(Read)
	case e.kind == foundEvent:
		l.handleFound(now, e)
	}
}

// handleFound applies the state of the key that was read.
func (l *Lease) handleFound(now time.Time, e Event) {
	mine := l.storeLease != "" && e.lease == l.storeLease && e.revision != 0
	switch l.phase {
	case standby:
		if e.revision != 0 {
			l.nextAt = now.Add(l.jitter(l.settings.ttl / 3))
			return
		}
		l.phase = granting
		l.sentAt = now
		l.issue(Grant)
	case confirming:
		if mine {
			l.startHolding(now, e.revision)
			return
		}
		l.abandon(now)
	case holding:
		// A renewal counts only if the key still exists afterwards: if an
		// operator deletes it, the store lease outlives the key.
		if !mine || e.revision != l.fence {
			l.abandon(now)
			return
		}
		l.deadline = l.settings.deadline(l.sentAt)
		l.nextAt = l.sentAt.Add(l.settings.ttl / 3)
	}
}

// handleFailure applies the failure of the pending operation.
func (l *Lease) handleFailure(now time.Time, f Failure) {
	l.nextAt = now.Add(l.backoff())
	switch l.phase {
	case granting:
		l.phase = standby
	case storing:
		if f != Unknown {
			l.abandon(now)
			return
		}
		l.phase = confirming
		l.deadline = l.settings.deadline(l.sentAt)
		l.issue(Read)
	case holding:
		// The deadline stays the same. After it the holder may not act, but it
		// keeps trying to renew as long as the store lease may exist.
		if f == Expired {
			l.abandon(now)
		}
	}
}

// startHolding enters the phase holding after the key was created at a revision.
func (l *Lease) startHolding(now time.Time, revision uint64) {
	if revision <= l.fence {
		// The store has lost revisions. An upstream would reject the number.
		l.abandon(now)
		return
	}
	l.phase = holding
	l.fence = revision
	l.deadline = l.settings.deadline(l.sentAt)
	l.readyAt = l.settings.earliestAct(now)
	l.nextAt = l.sentAt.Add(l.settings.ttl / 3)
}

// abandon revokes the store lease and returns to standby with a delay. Revoking
// also prevents a Store that is still in flight from taking effect.
func (l *Lease) abandon(now time.Time) {
	l.revoke()
	l.startStandby(now.Add(l.backoff()))
}

func (l *Lease) startStandby(next time.Time) {
	l.phase = standby
	l.nextAt = next
}

func (l *Lease) release() {
	l.revoke()
	l.phase = idle
	l.pending = 0
	l.failures = 0
}

func (l *Lease) revoke() {
	if l.storeLease == "" {
		return
	}
	l.op++
	l.actions = append(l.actions, Action{
		kind:  Revoke,
		op:    l.op,
		lease: l.storeLease,
	})
	l.storeLease = ""
}

// issue emits an operation and marks it as pending.
func (l *Lease) issue(k ActionKind) {
	l.op++
	l.pending = l.op
	l.actions = append(l.actions, Action{
		kind:  k,
		op:    l.op,
		lease: l.storeLease,
	})
}

// reportHeld emits Held when the holder may begin to act, and Lost when it may no
// longer act.
func (l *Lease) reportHeld(now time.Time) {
	ok := l.withinHolding(now)
	if ok == l.reportedHeld {
		return
	}
	l.reportedHeld = ok
	kind := Lost
	if ok {
		kind = Held
	}
	l.actions = append(l.actions, Action{
		kind:  kind,
		fence: l.fence,
	})
}

// scheduleWake emits a Wake for the next time at which something is due.
func (l *Lease) scheduleWake(now time.Time) {
	var at time.Time
	consider := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l.pending == 0 && l.phase != idle {
		consider(l.nextAt)
	}
	if l.phase == holding {
		consider(l.readyAt)
		consider(l.deadline)
	}
	if at.IsZero() || at.Equal(l.wakeAt) {
		return
	}
	l.wakeAt = at
	l.actions = append(l.actions, Action{
		kind: Wake,
		at:   at,
	})
}

// backoff returns a random delay whose mean doubles with each failure, from a
// twelfth of the time to live to a third.
func (l *Lease) backoff() time.Duration {
	d := l.settings.ttl / 12
	for range min(l.failures, 3) - 1 {
		d *= 2
	}
	return l.jitter(d)
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.random.Float64()*float64(d))
}
