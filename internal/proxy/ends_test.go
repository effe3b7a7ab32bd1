package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
	"pgregory.net/rapid"
)

// TestEnds guards against a request without a final action, which the dispatcher holds
// for ever and for which a shutdown waits, and against one with two. The events come in
// any order, also before the first configuration.
func TestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newEndsHarness()
		for range rapid.IntRange(10, 80).Draw(t, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			h.step(t, h.draw(t))
		}
		// All deadlines pass.
		for range 60 {
			h.now = h.now.Add(time.Second)
			h.step(t, Event{})
		}
		for n, ends := range h.ends {
			if ends != 1 {
				t.Errorf("request %d ended %d times", n, ends)
			}
		}
		if n := len(h.core.inFlight) + len(h.core.pending); n > 0 {
			t.Errorf("%d requests are held after their end", n)
		}
	})
}

// endsHarness counts the final actions of the requests of a core.
type endsHarness struct {
	core *Core
	now  time.Time
	// ends holds the number of final actions of each request that has arrived.
	ends map[uint64]int
	// attempts holds the number of attempts of each request.
	attempts map[uint64]int
}

func newEndsHarness() *endsHarness {
	return &endsHarness{
		core:     New(pool.New("r1", "a", 1), budget.NewLimits(0.8, 180, 10*time.Second), 1),
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		ends:     make(map[uint64]int),
		attempts: make(map[uint64]int),
	}
}

// step applies an event and counts the actions.
func (h *endsHarness) step(t *rapid.T, e Event) {
	for _, a := range h.core.Step(h.now, e) {
		switch {
		case a.Kind() == Send:
			h.attempts[a.Number()] = a.Attempt()
		case a.Kind().Final():
			if _, ok := h.ends[a.Number()]; !ok {
				t.Errorf("%s of request %d, which has not arrived", a.Kind(), a.Number())
			}
			h.ends[a.Number()]++
		}
	}
}

// draw returns a random event.
func (h *endsHarness) draw(t *rapid.T) Event {
	n := uint64(rapid.IntRange(1, max(len(h.ends), 1)).Draw(t, "number"))
	try := rapid.IntRange(1, max(h.attempts[n], 1)).Draw(t, "attempt")
	engine := fmt.Sprintf("u%d", rapid.IntRange(1, 3).Draw(t, "engine"))
	switch rapid.IntRange(0, 15).Draw(t, "kind") {
	case 0, 1, 2, 3:
		return h.arrival(t)
	case 4:
		return NewCallerLeft(n)
	case 5:
		return NewConfigure(endsTable())
	case 6:

		return NewMembers(endsEngines(), nil)
	case 7:
		return NewMembers(nil, []string{engine})
	case 8:
		return NewLost(n, try, Cause(rapid.IntRange(int(Unsent), int(Stalled)).Draw(t, "cause")), "")
	case 9:
		return NewMisdirected(n, try, engine)
	case 10, 11:
		return NewPiece(n, try, rapid.IntRange(1, 4).Draw(t, "index"), []byte("x"))
	case 12:
		return NewFinish(n, try)
	case 13:
		return NewReply(n, try, NewAnswer(rapid.SampledFrom([]int{200, 500, 503}).Draw(t, "status"), http.Header{}, nil), Load{})
	case 14:
		return NewStateTimeout(engine, "", "", false)
	default:
		if rapid.IntRange(0, 9).Draw(t, "drain") == 0 {
			return NewDrain(h.now.Add(8 * time.Second))
		}
		return NewStateReported(engine, "", pool.NewState(pool.StateSpec{
			Memory: 55000,
			Models: []string{"m"},
		}))
	}
}

// arrival returns the event of a new request of any kind.
func (h *endsHarness) arrival(t *rapid.T) Event {
	n := uint64(len(h.ends) + 1)
	h.ends[n] = 0
	return NewArrive(NewRequest(RequestSpec{
		Number: n,
		ID:     fmt.Sprintf("q%d", n),
		Host:   "h",
		Path:   rapid.SampledFrom([]string{"/draft/", "/desk/", "/stock/", "/none"}).Draw(t, "path"),
		Prompt: 5000,
		Output: 1100,
		Wait:   time.Duration(rapid.SampledFrom([]int{300, 1500, 25000}).Draw(t, "wait")) * time.Millisecond,
	}))
}

// endsTable returns a table with a route of each kind.
func endsTable() *table.Table {
	tb := table.New(1, table.Limits{})
	tb.AddService(table.NewService("llm", "/healthz", table.NewEngine(32, 55000, true, "m").WithCopyRetention(4*time.Second)))
	for path, s := range map[string]table.RouteSpec{
		"/draft/": {
			Kind:      table.Stream,
			Attempts:  5,
			Resumable: true,
			Timeout:   25 * time.Second,
			Shares:    []table.Share{table.NewShare("llm", 1)},
		},
		"/desk/": {
			Kind:     table.Booking,
			Attempts: 1,
			Timeout:  800 * time.Millisecond,
			Shares:   []table.Share{table.NewShare("llm", 1)},
		},
		"/stock/": {
			Kind:     table.Lookup,
			Attempts: 2,
			Timeout:  800 * time.Millisecond,
			Shares:   []table.Share{table.NewShare("llm", 1)},
		},
	} {
		s.Name, s.Host, s.Prefix = path, "h", path
		tb.AddRoute(table.NewRoute(s))
	}
	return tb
}

// endsEngines returns the entries of three engines in two failure domains.
func endsEngines() []pool.Entry {
	var list []pool.Entry
	for i, domain := range []string{"a", "a", "b"} {
		list = append(list, pool.NewEntry(pool.EntrySpec{
			ID:      fmt.Sprintf("u%d", i+1),
			Service: "llm",
			Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Domain:  domain,
			Region:  "r1",
			Slots:   6,
		}))
	}
	return list
}
