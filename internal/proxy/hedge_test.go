package proxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

// The model of lookups at plain upstreams whose machines become slow for moments.
const (
	modelUpstreams = 6
	modelTime      = 10 * time.Minute
	modelGoal      = 150 * time.Millisecond
	// modelPause is the mean time between two lookups at the VM.
	modelPause = 20 * time.Millisecond
	// modelWay is the round trip to an upstream, and modelWork the mean of its work beyond
	// the least one.
	modelWay, modelLeast, modelWork = 12 * time.Millisecond, 8 * time.Millisecond, 7 * time.Millisecond
	// An upstream is slow for modelSlow, modelCalm after it was slow the last time on average,
	// and takes modelFactor times as long then.
	modelSlow, modelCalm, modelFactor = 300 * time.Millisecond, 3 * time.Second, 12.0
)

// lookupModel runs one core without a network.
type lookupModel struct {
	core   *Core
	now    time.Time
	random *rand.Rand
	// slowFrom is the time by upstream at which it becomes slow next or is slow since.
	slowFrom map[string]time.Time
	// replies holds the responses on their way by request and attempt.
	replies *alarm.Set[[2]uint64]
	arrived map[uint64]time.Time
	// latencies are what callers saw. failed counts the lookups without a good response.
	latencies []time.Duration
	failed    int
	results   map[hedge.Result]int
}

func newLookupModel(l hedge.Limit) *lookupModel {
	m := &lookupModel{
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:   rand.New(rand.NewPCG(7, 1)),
		slowFrom: make(map[string]time.Time),
		replies:  alarm.New[[2]uint64](),
		arrived:  make(map[uint64]time.Time),
		results:  make(map[hedge.Result]int),
	}
	m.core = New(pool.New("r1", "a", 1), budget.NewLimits(0.8, 180, 10*time.Second), 1).
		WithHedges(l, func(r hedge.Result) { m.results[r]++ })
	t := table.New(1, table.Limits{})
	t.AddRoute(table.NewRoute(table.RouteSpec{
		Name:     "find",
		Host:     "h",
		Prefix:   "/",
		Kind:     table.Lookup,
		Attempts: 2,
		Timeout:  800 * time.Millisecond,
		Goal:     modelGoal,
		Shares:   []table.Share{table.NewShare("desk", 1)},
	}))
	var entries []pool.Entry
	for i := range modelUpstreams {
		id := fmt.Sprint("u", i)
		entries = append(entries, pool.NewEntry(pool.EntrySpec{
			ID:      id,
			Service: "desk",
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain:  string(rune('a' + i)),
			Region:  "r1",
			Slots:   6,
			Version: "v1",
		}))
		m.slowFrom[id] = m.now.Add(m.exponential(modelCalm))
	}
	m.step(NewConfigure(t))
	m.step(NewMembers(entries, nil))
	m.step(NewPeers("vm0", []string{"vm0"}))
	return m
}

// run sends lookups for modelTime and returns their quantiles of 0.95 and 0.99.
func (m *lookupModel) run() (p95, p99 time.Duration) {
	end := m.now.Add(modelTime)
	arrival := m.now
	for number := uint64(1); m.now.Before(end); {
		next := arrival
		if at, ok := m.replies.Next(); ok {
			next = alarm.Earlier(next, at)
		}
		if at, ok := m.core.Next(); ok {
			next = alarm.Earlier(next, at)
		}
		m.now = alarm.Later(m.now, next)
		switch reply, ok := m.replies.PopDue(m.now); {
		case ok:
			m.step(NewReply(reply[0], int(reply[1]), NewAnswer(http.StatusOK, http.Header{}, nil), Load{}))
		case !m.now.Before(arrival):
			m.arrived[number] = m.now
			m.step(NewArrive(NewRequest(RequestSpec{
				Number: number,
				ID:     fmt.Sprint("q", number),
				Host:   "h",
				Path:   "/",
				Wait:   1500 * time.Millisecond,
			})))
			number++
			arrival = m.now.Add(m.exponential(modelPause))
		default:
			m.step(Event{})
		}
	}
	slices.Sort(m.latencies)
	return m.latencies[len(m.latencies)*95/100], m.latencies[len(m.latencies)*99/100]
}

// step applies an event and carries out its actions.
func (m *lookupModel) step(e Event) {
	for _, a := range m.core.Step(m.now, e) {
		switch a.Kind() {
		case Send:
			m.replies.Schedule([2]uint64{a.Number(), uint64(a.Attempt())}, m.now.Add(m.latency(a.Instance())))
		case Cancel:
			m.replies.Clear([2]uint64{a.Number(), uint64(a.Attempt())})
		case Deliver:
			m.latencies = append(m.latencies, m.now.Sub(m.arrived[a.Number()]))
		case Refuse:
			m.failed++
		}
	}
}

// latency returns how long an upstream takes to respond to a request that is sent now.
func (m *lookupModel) latency(id string) time.Duration {
	for !m.now.Before(m.slowFrom[id].Add(modelSlow)) {
		m.slowFrom[id] = m.slowFrom[id].Add(modelSlow + m.exponential(modelCalm))
	}
	work := modelLeast + m.exponential(modelWork)
	if !m.now.Before(m.slowFrom[id]) {
		work = time.Duration(modelFactor * float64(work))
	}
	return modelWay + work
}

// exponential returns a random time with an exponential distribution.
func (m *lookupModel) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-m.random.Float64()) * float64(mean))
}

// TestTailLatency guards against hedges that do not cut the slowest lookups, and against a
// limit that is exceeded or that gives up what hedges gain although it suffices.
func TestTailLatency(t *testing.T) {
	type result struct {
		p95, p99 time.Duration
		share    float64
	}
	run := func(name string, l hedge.Limit) result {
		m := newLookupModel(l)
		p95, p99 := m.run()
		share := float64(m.results[hedge.Sent]) / float64(len(m.latencies))
		t.Logf("%-8s %d lookups, %d failed, p95 %s, p99 %s, %.4f hedges a lookup, %v", name, len(m.latencies), m.failed,
			p95.Round(time.Millisecond), p99.Round(time.Millisecond), share, m.results)
		if m.failed > 0 {
			t.Errorf("%s: %d lookups failed", name, m.failed)
		}
		return result{
			p95:   p95,
			p99:   p99,
			share: share,
		}
	}
	off, byDefault := run("off", hedge.NewLimit(0, 0)), run("default", hedge.Limit{})
	limited, tight := run("limited", hedge.NewLimit(0.05, 0)), run("tight", hedge.NewLimit(0.01, 0))
	// The fixed delay of 0.4 of the goal, and the 99th percentile of a usual response. Under
	// 4% of the lookups need a hedge, so that a limit of 5% gives up nothing.
	bound := time.Duration(0.4*float64(modelGoal)) + modelWay + modelLeast + time.Duration(math.Log(100)*float64(modelWork))
	for name, r := range map[string]result{
		"default": byDefault,
		"limited": limited,
	} {
		if r.p99 > bound || r.p99 > off.p99*2/3 {
			t.Errorf("%s: p99 %s, want %s at most, and two thirds of %s without hedges", name, r.p99, bound, off.p99)
		}
	}
	if tight.p99 >= off.p99 {
		t.Errorf("tight: p99 %s, want less than %s without hedges", tight.p99, off.p99)
	}
	// A response is slow after 55 ms at the earliest, above the 95th percentile without hedges,
	// which hedges hardly change.
	for name, r := range map[string]result{
		"default": byDefault,
		"limited": limited,
		"tight":   tight,
	} {
		if r.p95 > off.p95*11/10 {
			t.Errorf("%s: p95 %s, want %s and a tenth at most", name, r.p95, off.p95)
		}
	}
	if off.share > 0 || limited.share > 0.05 || tight.share > 0.01 {
		t.Errorf("%g, %g and %g hedges a lookup, want 0, and 0.05 and 0.01 at most", off.share, limited.share, tight.share)
	}
}
