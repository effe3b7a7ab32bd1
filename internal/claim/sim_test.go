package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// faults are the probabilities and delays of a simulated schedule.
type faults struct {
	// lost is the share of writes whose answer is lost, with or without effect,
	// and late the share that takes effect after the answer was given up.
	lost, late float64
	askLost    float64
	crash      float64
	pause      float64
	storeDelay time.Duration
	// refused and vanished are the shares of sends that the upstream proves as
	// not run and that end without an answer.
	refused, vanished float64
	// rate is the store's limit in writes a second; 0 means none.
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
	tickets     map[uint64]func(Action)
}

type simCall struct {
	number   uint64
	vm       *simVM
	life     uint64
	key      string
	body     string
	deadline time.Time
	begun    time.Time
	finishes int
	gone     bool
	runs     int
	last     Action
	sentAt   time.Time
}

type cell struct {
	revision uint64
	value    []byte
}

// sim is a deterministic simulation of VMs, their network, the store and a
// recording upstream.
type sim struct {
	rng   *rand.Rand
	start time.Time
	now   time.Time
	queue simQueue
	seq   int
	f     faults
	vms   []*simVM
	slots int
	rate  float64
	early func() bool
	// whole replaces the cores' room for whole records when it is positive.
	whole    int
	cells    map[int]cell
	revision uint64
	// The store fails until the time down; blind makes it swallow requests.
	down  time.Time
	blind bool
	// lose is set by a script at the point "stored" to lose that answer.
	lose   bool
	tokens float64
	filled time.Time
	calls  []*simCall
	runs   map[string]int
	acts   map[string]func(*simVM)
	counts map[string]int
	trace  *strings.Builder
	writes int
	reads  int
	asks   int
	sent   func(*simCall)
	stored func(value []byte)
}

func newSim(seed uint64, names []string, slots int, rate float64, early func() bool) *sim {
	m := &sim{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		start:  time.Unix(1_700_000_000, 0),
		slots:  slots,
		rate:   rate,
		early:  early,
		cells:  map[int]cell{},
		runs:   map[string]int{},
		acts:   map[string]func(*simVM){},
		counts: map[string]int{},
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
	v.tickets = map[uint64]func(Action){}
	v.core = New(v.name, v.incarnation, m.slots, m.rate).WithOwner(m.owner)
	v.core.early = m.early
	if m.whole > 0 {
		v.core.whole = m.whole
	}
}

// owner is the same for all VMs and may name one that is down.
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

// point is a place at which a script interrupts a VM.
func (m *sim) point(v *simVM, name string) {
	k := v.name + " " + name
	m.counts[k]++
	if f := m.acts[fmt.Sprintf("%s %d", k, m.counts[k])]; f != nil {
		f(v)
	}
}

// alive runs f on the VM, later if it is paused, not at all if it has crashed
// since life began.
func (m *sim) alive(v *simVM, life uint64, f func()) {
	switch {
	case !v.up || v.incarnation != life:
	case m.now.Before(v.pausedUntil):
		m.after(v.pausedUntil.Sub(m.now), func() { m.alive(v, life, f) })
	default:
		f()
	}
}

func (m *sim) step(v *simVM, life uint64, e Event) {
	m.alive(v, life, func() {
		if m.chance(m.f.crash) {
			m.crash(v)
			return
		}
		if m.chance(m.f.pause) {
			m.pause(v, time.Duration(m.rng.IntN(4000))*time.Millisecond)
			m.step(v, life, e)
			return
		}
		for _, a := range v.core.Step(m.now.Add(v.skew), e) {
			m.act(v, a)
		}
		m.arm(v)
	})
}

func (m *sim) arm(v *simVM) {
	next := v.core.Next()
	if next.IsZero() || !v.up || next.Equal(v.timer) {
		return
	}
	v.timer = next
	life := v.incarnation
	m.after(max(next.Add(-v.skew).Sub(m.now), time.Microsecond), func() {
		if v.incarnation == life {
			if v.timer.Equal(next) {
				v.timer = time.Time{}
			}
			m.step(v, life, Tick())
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
		number:   uint64(len(m.calls) + 1),
		vm:       v,
		life:     v.incarnation,
		key:      key,
		body:     body,
		deadline: m.now.Add(deadline),
		begun:    m.now,
	}
	m.calls = append(m.calls, l)
	m.log(v, "call %d key=%s body=%s", l.number, key, body)
	m.step(v, v.incarnation, Begin(l.number, Key("w", key), Body("POST", "/b", []byte(body)), l.deadline.Add(v.skew)))
	return l
}

func (m *sim) act(v *simVM, a Action) {
	if !v.up {
		return
	}
	life := v.incarnation
	switch a.Kind() {
	case Read:
		m.reads++
		m.read(v, life, a)
	case Write:
		m.write(v, life, a)
	case Send:
		m.send(v, life, a)
	case Finish:
		l := m.calls[a.Number()-1]
		l.finishes++
		l.last = a
		m.log(v, "finish %d %s", l.number, describe(a))
	case Forward:
		m.forward(v, life, a)
	case Reply:
		if f := v.tickets[a.Number()]; f != nil {
			delete(v.tickets, a.Number())
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

func (m *sim) read(v *simVM, life uint64, a Action) {
	m.after(m.delay()/2, func() {
		result, c := OK, m.cells[a.Slot()]
		if m.now.Before(m.down) {
			result = Unavailable
			if m.blind {
				m.after(500*time.Millisecond, func() { m.step(v, life, ReadDone(a.Slot(), Unsure, 0, nil)) })
				return
			}
		} else if m.chance(m.f.lost) {
			result = Unsure
		}
		m.after(m.delay()/2, func() { m.step(v, life, ReadDone(a.Slot(), result, c.revision, c.value)) })
	})
}

func (m *sim) throttled() bool {
	if m.f.rate == 0 {
		return false
	}
	m.tokens = min(m.tokens+m.f.rate*m.now.Sub(m.filled).Seconds(), max(m.f.rate/10, 1))
	m.filled = m.now
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// apply makes the write take effect if the revision matches.
func (m *sim) apply(a Action) (Result, uint64) {
	if m.cells[a.Slot()].revision != a.Revision() {
		return Conflict, 0
	}
	m.revision++
	if m.stored != nil {
		m.stored(a.Value())
	}
	m.cells[a.Slot()] = cell{
		revision: m.revision,
		value:    a.Value(),
	}
	return OK, m.revision
}

func (m *sim) write(v *simVM, life uint64, a Action) {
	m.point(v, "write")
	m.alive(v, life, func() { m.store(v, life, a) })
}

func (m *sim) store(v *simVM, life uint64, a Action) {
	m.writes++
	m.after(m.delay()/2, func() {
		result, revision := Unavailable, uint64(0)
		wait := m.delay() / 2
		switch {
		case m.now.Before(m.down):
			if m.blind {
				result, wait = Unsure, 500*time.Millisecond
			}
		case m.throttled():
			result = Throttled
		case m.chance(m.f.late):
			m.after(time.Duration(m.rng.IntN(3000))*time.Millisecond, func() { m.apply(a) })
			result, wait = Unsure, 500*time.Millisecond
		case m.chance(m.f.lost):
			if m.chance(0.7) {
				m.apply(a)
			}
			result, wait = Unsure, 500*time.Millisecond
		default:
			result, revision = m.apply(a)
			m.lose = false
			m.point(v, "stored")
			if m.lose {
				result, wait = Unsure, 500*time.Millisecond
			}
		}
		m.after(wait, func() {
			m.step(v, life, WriteDone(a.Slot(), result, revision))
			m.point(v, "written")
		})
	})
}

func (m *sim) send(v *simVM, life uint64, a Action) {
	l := m.calls[a.Number()-1]
	m.log(v, "send %d", l.number)
	m.point(v, "send")
	m.alive(v, life, func() {
		if !m.now.Add(v.skew).Before(a.Deadline()) {
			m.log(v, "too late to send %d", l.number)
			m.step(v, life, Ended(l.number, errs.NotRun, nil, errs.New(errs.Expired, errs.NotRun, "not sent").WithRetry(time.Second)))
			return
		}
		l.sentAt = m.now
		if m.sent != nil {
			m.sent(l)
		}
		wait := time.Duration(5+m.rng.IntN(20)) * time.Millisecond
		if m.chance(m.f.refused) {
			m.after(wait, func() {
				m.step(v, life, Ended(l.number, errs.NotRun, nil, errs.New(errs.Unavailable, errs.NotRun, "refused").WithRetry(time.Second)))
			})
			return
		}
		if m.chance(m.f.vanished) {
			if m.chance(0.5) {
				m.ran(l)
			}
			m.after(wait*10, func() {
				m.step(v, life, Ended(l.number, errs.Unknown, nil, errs.New(errs.Lost, errs.Unknown, "no answer")))
			})
			return
		}
		m.ran(l)
		m.point(v, "sent")
		m.after(wait, func() {
			m.point(v, "answer")
			m.step(v, life, Ended(l.number, errs.Ran, NewAnswer(201, "text/plain", []byte(fmt.Sprintf("%s/%d", l.key, l.number))), nil))
			m.point(v, "answered")
		})
	})
}

func (m *sim) ran(l *simCall) {
	l.runs++
	m.runs[l.key]++
	m.log(l.vm, "upstream runs %d key=%s", l.number, l.key)
}

// forward carries an ask to the peer and its reply back; both can be lost.
func (m *sim) forward(v *simVM, life uint64, a Action) {
	m.asks++
	p := m.vm(a.Peer())
	target := p.incarnation
	if m.chance(m.f.askLost) {
		return
	}
	m.seq++
	ticket := uint64(m.seq)
	m.after(time.Millisecond, func() {
		p.tickets[ticket] = func(x Action) {
			if m.chance(m.f.askLost) {
				return
			}
			m.after(time.Millisecond, func() { m.step(v, life, Replied(a.Number(), x.Verdict(), x.Record())) })
		}
		m.step(p, target, Asked(ticket, a.Ask()))
	})
}
