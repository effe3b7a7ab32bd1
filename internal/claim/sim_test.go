package claim

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/store"
)

// faults are the probabilities and delays of a simulated schedule.
type faults struct {
	// lost is the share of store operations whose reply is lost, and late the share
	// of writes that may take effect after their writer gave up.
	lost, late float64
	// peerLost is the share of messages between VMs that are lost.
	peerLost   float64
	crash      float64
	pause      float64
	storeDelay time.Duration
	// refused and unanswered are the shares of sends that the upstream refuses as
	// not run and that end without an answer.
	refused, unanswered float64
	// rate is the store's limit in writes a second; 0 means that there is no limit.
	rate float64
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type simVM struct {
	name        string
	incarnation uint64
	core        *Core
	up          bool
	pausedUntil time.Time
	skew        time.Duration
	timer       time.Time
	replies     map[uint64]func(Action)
}

type simCall struct {
	number      uint64
	vm          *simVM
	incarnation uint64
	key         string
	body        string
	deadline    time.Time
	begun       time.Time
	finishes    int
	callerLeft  bool
	runs        int
	last        Action
	sentAt      time.Time
}

type storedSlot struct {
	revision uint64
	value    []byte
}

// storedState is the state of the store at a time.
type storedState struct {
	at    time.Time
	slots map[int]storedSlot
}

// sim is a deterministic simulation of VMs, their network, the store and an
// upstream that counts its runs.
type sim struct {
	rng             *rand.Rand
	start           time.Time
	now             time.Time
	queue           simQueue
	seq             int
	f               faults
	vms             []*simVM
	slots           int
	rate            float64
	sendBeforeClaim func() bool
	// wholeLimit replaces the cores' limit for whole records when it is positive.
	wholeLimit  int
	storedSlots map[int]storedSlot
	// history holds the slots after each write.
	history  []storedState
	revision uint64
	// The store fails until storeDownUntil. Until then it refuses requests, or
	// doesn't reply when storeSilent is true.
	storeDownUntil time.Time
	storeSilent    bool
	// loseReply is set by a script at the point "stored" to lose the store's reply.
	loseReply     bool
	tokens        float64
	refilledAt    time.Time
	calls         []*simCall
	runs          map[string]int
	interruptions map[string]func(*simVM)
	reached       map[string]int
	trace         *strings.Builder
	writes        int
	reads         int
	peerRequests  int
	onSend        func(*simCall)
	onStore       func(value []byte)
}

func newSim(seed uint64, names []string, slots int, rate float64, sendBeforeClaim func() bool) *sim {
	m := &sim{
		rng:             rand.New(rand.NewPCG(seed, 1)),
		start:           time.Unix(1_700_000_000, 0),
		slots:           slots,
		rate:            rate,
		sendBeforeClaim: sendBeforeClaim,
		storedSlots:     map[int]storedSlot{},
		runs:            map[string]int{},
		interruptions:   map[string]func(*simVM){},
		reached:         map[string]int{},
		f: faults{
			storeDelay: 3 * time.Millisecond,
		},
	}
	m.now = m.start
	for _, n := range names {
		v := &simVM{
			name: n,
		}
		m.vms = append(m.vms, v)
		m.boot(v)
	}
	return m
}

func (m *sim) boot(v *simVM) {
	m.seq++
	v.incarnation = uint64(m.seq)
	v.up = true
	v.replies = map[uint64]func(Action){}
	v.core = New(v.name, v.incarnation, m.slots, m.rate).WithOwner(m.owner)
	v.core.sendBeforeClaim = m.sendBeforeClaim
	if m.wholeLimit > 0 {
		v.core.wholeLimit = m.wholeLimit
	}
}

// owner returns the same VM on all VMs; it may be one that is down.
func (m *sim) owner(slot int) string { return m.vms[slot%len(m.vms)].name }

func (m *sim) vm(name string) *simVM {
	for _, v := range m.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (m *sim) chance(p float64) bool { return p > 0 && m.rng.Float64() < p }

func (m *sim) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, &simEvent{
		at:  m.now.Add(d),
		seq: m.seq,
		run: run,
	})
}

func (m *sim) run(until time.Duration) {
	limit := m.start.Add(until)
	for len(m.queue) > 0 && !m.queue[0].at.After(limit) {
		e := heap.Pop(&m.queue).(*simEvent)
		m.now = e.at
		e.run()
	}
	m.now = limit
}

func (m *sim) log(v *simVM, format string, args ...any) {
	if m.trace != nil {
		fmt.Fprintf(m.trace, "%v %s %s\n", m.now.Sub(m.start).Round(time.Millisecond), v.name, fmt.Sprintf(format, args...))
	}
}

// interrupt marks a point of a call's progress and runs the interruption that the
// script sets for it.
func (m *sim) interrupt(v *simVM, name string) {
	k := v.name + " " + name
	m.reached[k]++
	if f := m.interruptions[fmt.Sprintf("%s %d", k, m.reached[k])]; f != nil {
		f(v)
	}
}

// whenRunning runs f on the VM, after its pause if it is paused, and not at all if
// the incarnation has ended.
func (m *sim) whenRunning(v *simVM, incarnation uint64, f func()) {
	switch {
	case !v.up || v.incarnation != incarnation:
	case m.now.Before(v.pausedUntil):
		m.after(v.pausedUntil.Sub(m.now), func() { m.whenRunning(v, incarnation, f) })
	default:
		f()
	}
}

func (m *sim) step(v *simVM, incarnation uint64, e Event) {
	m.whenRunning(v, incarnation, func() {
		if m.chance(m.f.crash) {
			m.crash(v)
			return
		}
		if m.chance(m.f.pause) {
			m.pause(v, time.Duration(m.rng.IntN(4000))*time.Millisecond)
			m.step(v, incarnation, e)
			return
		}
		for _, a := range v.core.Step(m.now.Add(v.skew), e) {
			m.execute(v, a)
		}
		m.scheduleTick(v)
	})
}

func (m *sim) scheduleTick(v *simVM) {
	next := v.core.Next()
	if next.IsZero() || !v.up || next.Equal(v.timer) {
		return
	}
	v.timer = next
	incarnation := v.incarnation
	m.after(max(next.Add(-v.skew).Sub(m.now), time.Microsecond), func() {
		if v.incarnation == incarnation {
			if v.timer.Equal(next) {
				v.timer = time.Time{}
			}
			m.step(v, incarnation, Tick())
		}
	})
}

func (m *sim) crash(v *simVM) {
	if !v.up {
		return
	}
	m.log(v, "crash")
	v.up = false
	v.timer = time.Time{}
	m.after(time.Second, func() {
		m.boot(v)
		m.log(v, "boot")
	})
}

func (m *sim) pause(v *simVM, d time.Duration) {
	m.log(v, "pause %v", d)
	v.pausedUntil = m.now.Add(d)
}

func (m *sim) call(v *simVM, key, body string, deadline time.Duration) *simCall {
	l := &simCall{
		number:      uint64(len(m.calls) + 1),
		vm:          v,
		incarnation: v.incarnation,
		key:         key,
		body:        body,
		deadline:    m.now.Add(deadline),
		begun:       m.now,
	}
	m.calls = append(m.calls, l)
	m.log(v, "call %d key=%s body=%s", l.number, key, body)
	m.step(v, v.incarnation, Begin(l.number, Key("w", key), Body("POST", "/b", []byte(body)), l.deadline.Add(v.skew)))
	return l
}

func (m *sim) execute(v *simVM, a Action) {
	if !v.up {
		return
	}
	incarnation := v.incarnation
	switch a.Kind() {
	case Read:
		m.reads++
		m.read(v, incarnation, a)
	case Write:
		m.write(v, incarnation, a)
	case Send:
		m.send(v, incarnation, a)
	case Finish:
		l := m.calls[a.Number()-1]
		l.finishes++
		l.last = a
		m.log(v, "finish %d %s", l.number, describe(a))
	case Forward:
		m.forward(v, incarnation, a)
	case Reply:
		if f := v.replies[a.Number()]; f != nil {
			delete(v.replies, a.Number())
			f(a)
		}
	}
}

func describe(a Action) string {
	switch p := a.Problem(); {
	case p != nil:
		return fmt.Sprintf("%s outcome=%s", p.Kind().Slug(), p.Outcome())
	case a.Replayed():
		return fmt.Sprintf("answer=%s replayed", a.Answer().Body())
	default:
		return fmt.Sprintf("answer=%s", a.Answer().Body())
	}
}

func (m *sim) delay() time.Duration {
	return m.f.storeDelay/2 + time.Duration(m.rng.Int64N(int64(m.f.storeDelay)))
}

func (m *sim) read(v *simVM, incarnation uint64, a Action) {
	m.after(m.delay()/2, func() {
		result, c := OK, m.storedSlots[a.Slot()]
		if m.now.Before(m.storeDownUntil) {
			result = Unavailable
			if m.storeSilent {
				m.after(500*time.Millisecond, func() { m.step(v, incarnation, ReadDone(a.Slot(), Indeterminate, 0, nil)) })
				return
			}
		} else if m.chance(m.f.lost) {
			result = Indeterminate
		}
		m.after(m.delay()/2, func() { m.step(v, incarnation, ReadDone(a.Slot(), result, c.revision, c.value)) })
	})
}

func (m *sim) throttled() bool {
	if m.f.rate == 0 {
		return false
	}
	m.tokens = min(m.tokens+m.f.rate*m.now.Sub(m.refilledAt).Seconds(), max(m.f.rate/10, 1))
	m.refilledAt = m.now
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// restore returns the store to its state of some time ago, in a new era.
func (m *sim) restore(back time.Duration) {
	slots := make(map[int]storedSlot)
	for _, s := range m.history {
		if !s.at.After(m.now.Add(-back)) {
			slots = s.slots
		}
	}
	m.storedSlots = make(map[int]storedSlot)
	m.revision = store.Position(store.Era(m.revision)+1, store.Number(m.revision))
	for n, s := range slots {
		m.revision++
		m.storedSlots[n] = storedSlot{
			revision: m.revision,
			value:    s.value,
		}
	}
}

// apply makes the write take effect if the revision matches.
func (m *sim) apply(a Action) (Result, uint64) {
	if m.storedSlots[a.Slot()].revision != a.Revision() {
		return Conflict, 0
	}
	m.revision++
	if m.onStore != nil {
		m.onStore(a.Value())
	}
	m.storedSlots[a.Slot()] = storedSlot{
		revision: m.revision,
		value:    a.Value(),
	}
	m.history = append(m.history, storedState{
		at:    m.now,
		slots: maps.Clone(m.storedSlots),
	})
	return OK, m.revision
}

func (m *sim) write(v *simVM, incarnation uint64, a Action) {
	m.interrupt(v, "write")
	m.whenRunning(v, incarnation, func() { m.store(v, incarnation, a) })
}

func (m *sim) store(v *simVM, incarnation uint64, a Action) {
	m.writes++
	m.after(m.delay()/2, func() {
		result, revision := Unavailable, uint64(0)
		wait := m.delay() / 2
		switch {
		case m.now.Before(m.storeDownUntil):
			if m.storeSilent {
				result, wait = Indeterminate, 500*time.Millisecond
			}
		case m.throttled():
			result = Throttled
		case m.chance(m.f.late):
			m.after(time.Duration(m.rng.IntN(3000))*time.Millisecond, func() { m.apply(a) })
			result, wait = Indeterminate, 500*time.Millisecond
		case m.chance(m.f.lost):
			if m.chance(0.7) {
				m.apply(a)
			}
			result, wait = Indeterminate, 500*time.Millisecond
		default:
			result, revision = m.apply(a)
			m.loseReply = false
			m.interrupt(v, "stored")
			if m.loseReply {
				result, wait = Indeterminate, 500*time.Millisecond
			}
		}
		m.after(wait, func() {
			m.step(v, incarnation, WriteDone(a.Slot(), result, revision))
			m.interrupt(v, "written")
		})
	})
}

func (m *sim) send(v *simVM, incarnation uint64, a Action) {
	l := m.calls[a.Number()-1]
	m.log(v, "send %d", l.number)
	m.interrupt(v, "send")
	m.whenRunning(v, incarnation, func() {
		if !m.now.Add(v.skew).Before(a.Deadline()) {
			m.log(v, "too late to send %d", l.number)
			m.step(v, incarnation, Ended(l.number, errs.NotRun, nil, errs.New(errs.Expired, errs.NotRun, "not sent").WithRetry(time.Second)))
			return
		}
		l.sentAt = m.now
		if m.onSend != nil {
			m.onSend(l)
		}
		wait := time.Duration(5+m.rng.IntN(20)) * time.Millisecond
		if m.chance(m.f.refused) {
			m.after(wait, func() {
				m.step(v, incarnation, Ended(l.number, errs.NotRun, nil, errs.New(errs.Unavailable, errs.NotRun, "refused").WithRetry(time.Second)))
			})
			return
		}
		if m.chance(m.f.unanswered) {
			if m.chance(0.5) {
				m.recordRun(l)
			}
			m.after(wait*10, func() {
				m.step(v, incarnation, Ended(l.number, errs.Unknown, nil, errs.New(errs.Lost, errs.Unknown, "no answer")))
			})
			return
		}
		m.recordRun(l)
		m.interrupt(v, "sent")
		m.after(wait, func() {
			m.interrupt(v, "answer")
			m.step(v, incarnation, Ended(l.number, errs.Ran, NewAnswer(201, "text/plain", []byte(fmt.Sprintf("%s/%d", l.key, l.number))), nil))
			m.interrupt(v, "answered")
		})
	})
}

func (m *sim) recordRun(l *simCall) {
	l.runs++
	m.runs[l.key]++
	m.log(l.vm, "upstream runs %d key=%s", l.number, l.key)
}

// forward carries an operation to the peer and the reply back; both can be lost.
func (m *sim) forward(v *simVM, incarnation uint64, a Action) {
	m.peerRequests++
	p := m.vm(a.Peer())
	target := p.incarnation
	if m.chance(m.f.peerLost) {
		return
	}
	m.seq++
	ticket := uint64(m.seq)
	m.after(time.Millisecond, func() {
		p.replies[ticket] = func(x Action) {
			if m.chance(m.f.peerLost) {
				return
			}
			m.after(time.Millisecond, func() { m.step(v, incarnation, PeerReplied(a.Number(), x.Verdict(), x.Record())) })
		}
		m.step(p, target, PeerRequested(ticket, a.Operation()))
	})
}
