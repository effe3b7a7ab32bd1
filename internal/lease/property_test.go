package lease_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinelink.example/clementinelink/internal/lease"
)

const (
	ttl       = time.Second
	settle    = 500 * time.Millisecond
	drift     = 0.1
	tick      = 5 * time.Millisecond
	modelTime = 12 * time.Second
)

// holder is one contender. While paused it neither acts nor handles answers.
type holder struct {
	lease *lease.Lease
	other *holder
	// rate is the rate of the local clock relative to the store's.
	rate        float64
	pausedUntil time.Duration
	wakeAt      time.Time
	inbox       []lease.Event
	actedAt     time.Duration
	fence       uint64
}

// model simulates a store with two contenders in steps of tick.
type model struct {
	t        *rapid.T
	now      time.Duration
	revision uint64
	// key is the store lease that the key is bound to, "" when it is absent.
	key         string
	keyRevision uint64
	expires     map[string]time.Duration
	granted     int
	// queue holds the functions to run at later ticks.
	queue   map[time.Duration][]func()
	holders [2]*holder
	// outageEnd is when the store becomes available again.
	outageEnd time.Duration
}

func (h *holder) local(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * h.rate))
}

// apply carries out an operation on the store.
func (m *model) apply(a lease.Action) lease.Event {
	_, alive := m.expires[a.Lease()]
	switch a.Kind() {
	case lease.Grant:
		m.granted++
		id := strconv.Itoa(m.granted)
		m.expires[id] = m.now + ttl
		return lease.Granted(a.Op(), id)
	case lease.Read:
		if m.key == "" {
			return lease.Found(a.Op(), "", 0)
		}
		return lease.Found(a.Op(), m.key, m.keyRevision)
	case lease.Store:
		if m.key != "" {
			return lease.Failed(a.Op(), lease.Conflict)
		}
		if alive {
			m.revision++
			m.key, m.keyRevision = a.Lease(), m.revision
			return lease.Stored(a.Op(), m.revision)
		}
	case lease.Renew:
		if alive {
			m.expires[a.Lease()] = m.now + ttl
			return lease.Done(a.Op())
		}
	case lease.Revoke:
		m.expire(a.Lease())
		return lease.Done(a.Op())
	}
	return lease.Failed(a.Op(), lease.Expired)
}

func (m *model) expire(id string) {
	delete(m.expires, id)
	if m.key == id {
		m.key = ""
	}
}

// stepHolder passes an event to a holder and handles the resulting actions.
func (m *model) stepHolder(h *holder, e lease.Event) {
	for _, a := range h.lease.Step(h.local(m.now), e) {
		switch a.Kind() {
		case lease.Wake:
			h.wakeAt = a.At()
		case lease.Held:
			if a.Fence() < h.fence || a.Fence() == h.other.fence {
				m.t.Fatalf("fencing number %d after %d", a.Fence(), h.fence)
			}
			h.fence = a.Fence()
		case lease.Lost:
		default:
			m.sendOperation(h, a)
		}
	}
}

// sendOperation delivers an operation to the store in time, late, with a lost
// answer, not at all, or after its failure was reported.
func (m *model) sendOperation(h *holder, a lease.Action) {
	arrival := m.now + tick*time.Duration(rapid.IntRange(0, 20).Draw(m.t, "arrival"))
	answered := arrival + tick*time.Duration(rapid.IntRange(0, 20).Draw(m.t, "answered"))
	delivery := rapid.IntRange(0, 9).Draw(m.t, "delivery")
	if arrival < m.outageEnd {
		delivery = 9
	}
	answer := lease.Failed(a.Op(), lease.Unknown)
	switch delivery {
	case 9:
		answer = lease.Failed(a.Op(), lease.Unavailable)
	case 8:
		arrival += tick * time.Duration(rapid.IntRange(0, 300).Draw(m.t, "delay"))
		fallthrough
	default:
		m.after(arrival, func() {
			if e := m.apply(a); delivery < 7 {
				answer = e
			}
		})
	}
	m.after(answered, func() { h.inbox = append(h.inbox, answer) })
}

// after runs a function at a time of the model, but not before the next tick.
func (m *model) after(at time.Duration, run func()) {
	at = max(at, m.now+tick)
	m.queue[at] = append(m.queue[at], run)
}

// advance runs one tick of the model.
func (m *model) advance() {
	m.now += tick
	for id, at := range m.expires {
		if at <= m.now {
			m.expire(id)
		}
	}
	for _, run := range m.queue[m.now] {
		run()
	}
	delete(m.queue, m.now)
	for _, h := range m.holders {
		if m.now >= h.pausedUntil {
			m.runHolder(h)
		}
	}
	if m.now%(20*tick) != 0 {
		return
	}
	switch rapid.IntRange(0, 19).Draw(m.t, "fault") {
	case 1, 2, 3:
		h := m.holders[rapid.IntRange(0, 1).Draw(m.t, "holder")]
		h.pausedUntil = m.now + tick*time.Duration(rapid.IntRange(0, 500).Draw(m.t, "pause"))
	case 4:
		m.key = "" // An operator deletes the key, and watches report it.
		for _, h := range m.holders {
			h.inbox = append(h.inbox, lease.Changed())
		}
	case 5:
		m.outageEnd = m.now + tick*time.Duration(rapid.IntRange(0, 400).Draw(m.t, "outage"))
	}
}

// runHolder lets a holder act if it may, and handles its events.
func (m *model) runHolder(h *holder) {
	if fence, ok := h.lease.MayAct(h.local(m.now)); ok {
		if fence != h.fence {
			m.t.Fatalf("acts with %d, holds %d", fence, h.fence)
		}
		h.actedAt = m.now
	}
	inbox := h.inbox
	h.inbox = nil
	for _, e := range inbox {
		m.stepHolder(h, e)
	}
	if !h.wakeAt.IsZero() && !h.local(m.now).Before(h.wakeAt) {
		h.wakeAt = time.Time{}
		m.stepHolder(h, lease.Tick())
	}
}

// TestNoTwoHolders guards against two holders whose actions can take effect at the
// same time, and against a fencing number that decreases or is used twice. It
// injects pauses, outages, lost answers, delayed operations, deleted keys and
// clocks of different rates.
func TestNoTwoHolders(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		waitOut := rapid.Bool().Draw(t, "waitOut")
		settings := lease.NewSettings(ttl).WithMargin(0, drift)
		if waitOut {
			settings = settings.WithWaitOut(settle)
		}
		m := &model{
			t:       t,
			expires: map[string]time.Duration{},
			queue:   map[time.Duration][]func(){},
		}
		for i := range m.holders {
			m.holders[i] = &holder{
				lease:   lease.New(settings, uint64(i)),
				rate:    1 + drift/2*float64(rapid.IntRange(-1, 1).Draw(t, "rate")),
				actedAt: -time.Hour,
			}
		}
		m.holders[0].other, m.holders[1].other = m.holders[1], m.holders[0]
		m.stepHolder(m.holders[0], lease.Start())
		m.stepHolder(m.holders[1], lease.Start())
		last := -1
		for m.now < modelTime {
			m.advance()
			for i, h := range m.holders {
				if h.actedAt != m.now {
					continue
				}
				if waitOut && m.now-h.other.actedAt <= settle {
					t.Fatalf("holder %d acts at %v, the other at %v", i, m.now, h.other.actedAt)
				}
				if last >= 0 && last != i {
					takeovers++
				}
				last = i
			}
		}
	})
	if takeovers == 0 {
		t.Fatal("no takeover in any run")
	}
	t.Logf("%d takeovers", takeovers)
}
