package lease_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinelink.example/clementinelink/internal/lease"
)

const (
	ttl    = time.Second
	settle = 500 * time.Millisecond
	drift  = 0.1
	tick   = 5 * time.Millisecond
	length = 12 * time.Second
)

// holder is one contender; paused holders neither act nor handle answers.
type holder struct {
	lease *lease.Lease
	other *holder
	// rate is that of the local clock relative to the store's.
	rate   float64
	paused time.Duration
	wake   time.Time
	inbox  []lease.Event
	acted  time.Duration
	fence  uint64
}

// model is a store with two contenders; its clock runs in steps of tick.
type model struct {
	t        *rapid.T
	now      time.Duration
	revision uint64
	// key is the store lease that the key is bound to, "" when it is absent.
	key     string
	keyRev  uint64
	expires map[string]time.Duration
	granted int
	// queue holds what happens at a later tick.
	queue   map[time.Duration][]func()
	holders [2]*holder
	// clear ends the outage.
	clear time.Duration
}

func (h *holder) local(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * h.rate))
}

// apply carries out an operation at the store.
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
		return lease.Found(a.Op(), m.key, m.keyRev)
	case lease.Store:
		if m.key != "" {
			return lease.Failed(a.Op(), lease.Conflict)
		}
		if alive {
			m.revision++
			m.key, m.keyRev = a.Lease(), m.revision
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

// step gives an event to a holder and sends its operations on their way: in
// time, late, with a lost answer, or with an effect after the failure is told.
func (m *model) step(h *holder, e lease.Event) {
	for _, a := range h.lease.Step(h.local(m.now), e) {
		switch a.Kind() {
		case lease.Wake:
			h.wake = a.At()
		case lease.Held:
			if a.Fence() < h.fence || a.Fence() == h.other.fence {
				m.t.Fatalf("fencing number %d after %d", a.Fence(), h.fence)
			}
			h.fence = a.Fence()
		case lease.Lost:
		default:
			m.send(h, a)
		}
	}
}

func (m *model) send(h *holder, a lease.Action) {
	there := m.now + tick*time.Duration(rapid.IntRange(0, 20).Draw(m.t, "there"))
	back := there + tick*time.Duration(rapid.IntRange(0, 20).Draw(m.t, "back"))
	fate := rapid.IntRange(0, 9).Draw(m.t, "fate")
	if there < m.clear {
		fate = 9
	}
	told := lease.Failed(a.Op(), lease.Unknown)
	switch fate {
	case 9:
		told = lease.Failed(a.Op(), lease.Unavailable)
	case 8:
		there += tick * time.Duration(rapid.IntRange(0, 300).Draw(m.t, "late"))
		fallthrough
	default:
		m.after(there, func() {
			if e := m.apply(a); fate < 7 {
				told = e
			}
		})
	}
	m.after(back, func() { h.inbox = append(h.inbox, told) })
}

// after runs a function at a time of the model, at the next tick at the earliest.
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
		if m.now >= h.paused {
			m.live(h)
		}
	}
	if m.now%(20*tick) != 0 {
		return
	}
	switch rapid.IntRange(0, 19).Draw(m.t, "chaos") {
	case 1, 2, 3:
		h := m.holders[rapid.IntRange(0, 1).Draw(m.t, "who")]
		h.paused = m.now + tick*time.Duration(rapid.IntRange(0, 500).Draw(m.t, "pause"))
	case 4:
		m.key = "" // An operator deletes the key, and the watches tell.
		for _, h := range m.holders {
			h.inbox = append(h.inbox, lease.Changed())
		}
	case 5:
		m.clear = m.now + tick*time.Duration(rapid.IntRange(0, 400).Draw(m.t, "outage"))
	}
}

// live lets a holder act if it may, and handle its events.
func (m *model) live(h *holder) {
	if fence, ok := h.lease.MayAct(h.local(m.now)); ok {
		if fence != h.fence {
			m.t.Fatalf("acts with %d, holds %d", fence, h.fence)
		}
		h.acted = m.now
	}
	inbox := h.inbox
	h.inbox = nil
	for _, e := range inbox {
		m.step(h, e)
	}
	if !h.wake.IsZero() && !h.local(m.now).Before(h.wake) {
		h.wake = time.Time{}
		m.step(h, lease.Tick())
	}
}

// TestNoTwoHolders guards against two holders whose actions can take effect at
// the same instant, and against a fencing number that is used twice or falls,
// over pauses, outages, lost answers, late effects, deleted keys and clocks of
// different rates.
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
				lease: lease.New(settings, uint64(i)),
				rate:  1 + drift/2*float64(rapid.IntRange(-1, 1).Draw(t, "rate")),
				acted: -time.Hour,
			}
		}
		m.holders[0].other, m.holders[1].other = m.holders[1], m.holders[0]
		m.step(m.holders[0], lease.Start())
		m.step(m.holders[1], lease.Start())
		last := -1
		for m.now < length {
			m.advance()
			for i, h := range m.holders {
				if h.acted != m.now {
					continue
				}
				if waitOut && m.now-h.other.acted <= settle {
					t.Fatalf("holder %d acts at %v, the other at %v", i, m.now, h.other.acted)
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
