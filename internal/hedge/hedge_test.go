package hedge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/budget"
)

// TestScripts guards the decisions about hedges. The head of each data file states the
// failures that it guards against. Times are in milliseconds since the start of the file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/decide", func(t *testing.T, path string) {
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		now := base
		counts := make(map[Result]int)
		observe := func(r Result) { counts[r]++ }
		c := New(Limit{}, 9, observe)
		repeats := budget.NewWindow(0, 1e6, span)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(key string, fallback int) int {
				if d.HasArg(key) {
					d.ScanArgs(t, key, &fallback)
				}
				return fallback
			}
			at := func(key string) time.Time {
				return base.Add(time.Duration(number(key, int(now.Sub(base)/time.Millisecond))) * time.Millisecond)
			}
			now = at("at")
			a := Attempt{
				Service: "desk",
				Route:   "find",
				Stream:  d.HasArg("stream"),
				Goal:    time.Duration(number("goal", 150)) * time.Millisecond,
				Arrived: at("arrived"),
				Sent:    at("sent"),
			}
			if d.HasArg("route") {
				d.ScanArgs(t, "route", &a.Route)
			}
			if d.HasArg("service") {
				d.ScanArgs(t, "service", &a.Service)
			}
			switch d.Cmd {
			case "limit":
				c = New(NewLimit(float64(number("percent", 0))/100, number("burst", 0)), 9, observe)
			case "vms":
				c.SetVMs(now, number("count", 1))
				return fmt.Sprintf("share %.3f\n", c.shares.share(now))
			case "budget":
				repeats = budget.NewWindow(0, float64(number("left", 0)), span)
			case "first":
				for range number("times", 1) {
					c.CountFirst(now, a.Service)
				}
			case "answered":
				for range number("times", 1) {
					c.Answered(now, a, time.Duration(number("took", 0))*time.Millisecond)
				}
			case "overtaken":
				c.Overtaken(now, a)
			case "due":
				return fmt.Sprintf("due %d\n", c.At(now, a).Sub(base).Milliseconds())
			case "pays":
				pays, again := c.Pays(now, a)
				if again.IsZero() {
					return fmt.Sprintf("%t\n", pays)
				}
				return fmt.Sprintf("%t, again at %d\n", pays, again.Sub(base).Milliseconds())
			case "late":
				return fmt.Sprintf("late at %d\n", c.LateAt(a).Sub(base).Milliseconds())
			case "take":
				var b strings.Builder
				clear(counts)
				for range number("times", 1) {
					if _, denial := c.Take(now, a, repeats, 0); denial != nil {
						fmt.Fprintf(&b, "denied by %s: %d left, more after %d\n", denial.Reason(), denial.Left(), denial.More().Milliseconds())
					}
				}
				for _, r := range slices.Sorted(maps.Keys(counts)) {
					fmt.Fprintf(&b, "%s %d\n", r, counts[r])
				}
				return b.String()
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// TestRoutes guards against memory that grows with the number of routes, and against a new
// route that gets no record although others are idle.
func TestRoutes(t *testing.T) {
	now := time.Unix(0, 0)
	c := New(NewLimit(1, 0), 9, nil)
	add := func(name string) {
		c.Answered(now, Attempt{
			Route: name,
		}, time.Millisecond)
	}
	for i := range 2 * maxRoutes {
		add(fmt.Sprint("a", i))
	}
	if len(c.routes) != maxRoutes {
		t.Errorf("%d routes are kept, want %d", len(c.routes), maxRoutes)
	}
	now = now.Add(2 * maxIdle)
	add("b")
	if len(c.routes) != 1 || c.routes["b"] == nil {
		t.Errorf("%d routes are kept, want only the new one", len(c.routes))
	}
}

// BenchmarkDecide measures what one request costs: its count, the time of its hedge, the
// hedge, and its latency.
func BenchmarkDecide(b *testing.B) {
	now := time.Unix(0, 0)
	c := New(NewLimit(0.05, 120), 9, nil)
	c.SetVMs(now, 120)
	repeats := budget.NewWindow(0.8, 1e6, span)
	a := Attempt{
		Service: "desk",
		Route:   "find",
		Goal:    150 * time.Millisecond,
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		a.Arrived, a.Sent = now, now
		c.CountFirst(now, a.Service)
		c.At(now, a)
		c.Pays(now, a)
		c.Take(now, a, repeats, 0)
		c.Answered(now, a, 40*time.Millisecond)
	}
}
