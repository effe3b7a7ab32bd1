package claim

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"pgregory.net/rapid"
)

// subtests is the number of parallel subtests among which the schedules are
// divided.
const subtests = 20

// schedules returns the number of random schedules, CLEMENTINE_SCHEDULES if it is
// set.
func schedules() int {
	if n, err := strconv.Atoi(os.Getenv("CLEMENTINE_SCHEDULES")); err == nil {
		return n
	}
	return 100_000
}

// TestSchedules guards against a key that runs twice, a call that ran but is
// reported as not run, and a call with no outcome or more than one, under lost
// replies, outages, pauses, crashes and repeated calls.
func TestSchedules(t *testing.T) {
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.checks", strconv.Itoa((schedules()+subtests-1)/subtests))
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		setFlag(t, "rapid.seed", strconv.FormatInt(time.Now().UnixNano()%1e9+1, 10))
	}
	t.Logf("-rapid.seed=%s", flag.Lookup("rapid.seed").Value)
	t.Run("all", func(t *testing.T) {
		for i := range subtests {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				ran := 0
				rapid.Check(t, func(r *rapid.T) {
					ran++
					if err := runSchedule(r, uint64(i)); err != nil {
						r.Fatal(err)
					}
				})
				t.Logf("%d schedules", ran)
			})
		}
	})
}

func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	before := f.Value.String()
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Value.Set(before); err != nil {
			t.Error(err)
		}
	})
}

// TestClaimAfterSend guards against checks that can't fail: they must detect that
// a core that sends before its claim is stored runs keys twice.
func TestClaimAfterSend(t *testing.T) {
	caught := 0
	for seed := range uint64(200) {
		m := newSim(seed, []string{"a", "b"}, 2, 100, func() bool { return true })
		m.call(m.vms[0], "k", "x", 2*time.Second)
		m.after(time.Duration(m.rng.IntN(30))*time.Millisecond, func() { m.call(m.vms[1], "k", "x", 2*time.Second) })
		m.run(time.Minute)
		if m.check() != nil {
			caught++
		}
	}
	if caught < 100 {
		t.Fatalf("the checks caught %d of 200 schedules with claims after sends", caught)
	}
	t.Logf("caught %d of 200", caught)
}

// runSchedule draws and runs one schedule and returns the first broken invariant.
// All subtests draw the same faults from one seed, so the number of the subtest
// is part of the schedule's seed.
func runSchedule(r *rapid.T, subtest uint64) error {
	seed := subtest
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 40, 40).Draw(r, "seed") {
		seed <<= 1
		if bit {
			seed |= 1
		}
	}
	names := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(r, "vms")]
	m := newSim(seed, names, rapid.IntRange(1, 3).Draw(r, "slots"), float64(rapid.SampledFrom([]int{3, 30, 1000}).Draw(r, "rate")), nil)
	if os.Getenv("CLEMENTINE_TRACE") != "" {
		m.trace = &strings.Builder{}
		defer func() { r.Log(m.trace.String()) }()
	}
	share := func(name string, values ...float64) float64 { return rapid.SampledFrom(values).Draw(r, name) }
	m.f.lost = share("lost", 0, 0.05, 0.3)
	m.f.late = share("late", 0, 0.05, 0.2)
	m.f.peerLost = share("peerLost", 0, 0.1, 0.5)
	m.f.crash = share("crash", 0, 0.01, 0.05)
	m.f.pause = share("pause", 0, 0.01, 0.05)
	m.f.refused = share("refused", 0, 0.2)
	m.f.unanswered = share("unanswered", 0, 0.2)
	m.f.rate = share("storeRate", 0, 20)
	outage := rapid.Bool().Draw(r, "outage")
	if outage {
		m.after(time.Duration(m.rng.IntN(2000))*time.Millisecond, func() {
			m.storeDownUntil = m.now.Add(time.Duration(m.rng.IntN(8000)) * time.Millisecond)
			m.storeSilent = m.chance(0.5)
		})
	}
	m.wholeLimit = rapid.SampledFrom([]int{0, 1, 300}).Draw(r, "wholeLimit")
	for _, v := range m.vms {
		if m.wholeLimit > 0 {
			v.core.wholeLimit = m.wholeLimit
		}
		v.skew = time.Duration(m.rng.IntN(1000)) * time.Millisecond
	}
	keys := rapid.IntRange(1, 3).Draw(r, "keys")
	for range rapid.IntRange(1, 10).Draw(r, "calls") {
		m.after(time.Duration(m.rng.IntN(4000))*time.Millisecond, func() { m.drawCall(keys) })
	}
	m.run(20 * time.Second)
	// A release that arrives later than GracePeriod finds its claim recorded as
	// unknown. A release that overtakes its claim on another path leaves the claim
	// without an outcome, so that it becomes unknown.
	allKnown := m.f.crash == 0 && m.f.unanswered == 0 && m.f.pause == 0 && m.f.peerLost == 0 && m.rate > 3 && !outage
	// Once the faults end, every outcome must reach the store.
	m.f = faults{
		storeDelay: m.f.storeDelay,
	}
	m.run(40 * time.Second)
	final := len(m.calls)
	for k := range keys {
		m.call(m.vms[0], fmt.Sprintf("k%d", k), "x", 3*time.Second)
	}
	m.run(60 * time.Second)
	for _, l := range m.calls[final:] {
		if p := l.last.Problem(); allKnown && p != nil && p.Kind() != errs.Mismatch && p.Outcome() != errs.Ran {
			return fmt.Errorf("key %s, whose calls all have a known outcome, can't be used again: %w", l.key, p)
		}
	}
	return m.check()
}

// drawCall begins a random call, which may repeat a key, and sometimes lets its
// caller leave.
func (m *sim) drawCall(keys int) {
	v := m.vms[m.rng.IntN(len(m.vms))]
	if !v.up {
		return
	}
	body := "x"
	if m.chance(0.1) {
		body = "y"
	}
	l := m.call(v, fmt.Sprintf("k%d", m.rng.IntN(keys)), body, time.Duration(200+m.rng.IntN(4000))*time.Millisecond)
	if m.chance(0.1) {
		m.after(time.Duration(m.rng.IntN(300))*time.Millisecond, func() {
			l.callerLeft = true
			m.step(v, l.incarnation, CallerLeft(l.number))
		})
	}
}

// check returns the first invariant that the run has broken.
func (m *sim) check() error {
	for k, n := range m.runs {
		if n > 1 {
			return fmt.Errorf("key %s ran %d times", k, n)
		}
	}
	for _, l := range m.calls {
		if err := m.checkCall(l); err != nil {
			return fmt.Errorf("call %d: %w", l.number, err)
		}
	}
	for _, v := range m.vms {
		if v.up && (v.core.Calls() > 0 || v.core.UnstoredOutcomes() > 0) {
			return fmt.Errorf("VM %s ends with %d calls in flight and %d outcomes not stored", v.name, v.core.Calls(), v.core.UnstoredOutcomes())
		}
	}
	return nil
}

func (m *sim) checkCall(l *simCall) error {
	if l.finishes > 1 {
		return fmt.Errorf("finished %d times", l.finishes)
	}
	if l.finishes == 0 {
		if l.callerLeft || l.vm.incarnation != l.incarnation || !l.vm.up {
			return nil
		}
		return fmt.Errorf("has no outcome")
	}
	if !l.sentAt.IsZero() && l.sentAt.After(l.deadline) {
		return fmt.Errorf("sent %v after its deadline", l.sentAt.Sub(l.deadline))
	}
	p, a := l.last.Problem(), l.last.Answer()
	switch {
	case p != nil && p.Outcome() == errs.NotRun && l.runs > 0:
		return fmt.Errorf("told %q but ran", p.Error())
	case p != nil && p.Outcome() == errs.NotRun && p.Kind() != errs.Mismatch && p.Retry() == 0 && l.sentAt.IsZero():
		return fmt.Errorf("refused without a time to retry: %q", p.Error())
	case p != nil && p.Outcome() == errs.Ran && m.runs[l.key] != 1:
		return fmt.Errorf("told that it ran, but key %s ran %d times", l.key, m.runs[l.key])
	case p == nil && m.runs[l.key] != 1:
		return fmt.Errorf("answered, but key %s ran %d times", l.key, m.runs[l.key])
	case p == nil && !bytes.HasPrefix(a.Body(), []byte(l.key+"/")):
		return fmt.Errorf("key %s got the answer %s", l.key, a.Body())
	case p == nil && !l.last.Replayed() && l.runs != 1:
		return fmt.Errorf("a first answer without a run")
	}
	return nil
}
