package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestRecord guards against a report that counts for longer than it holds, and against a
// figure that is missing in a report and erases what is known. Times are in milliseconds.
func TestRecord(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var d Record
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			number := func(key string) int {
				n := 0
				data.MaybeScanArgs(t, key, &n)
				return n
			}
			now := base.Add(time.Duration(number("at")) * time.Millisecond)
			switch data.Cmd {
			case "new":
				d = Record{}
			case "report":
				var r Report
				if data.HasArg("running") {
					r = r.WithCounts(number("running"), number("waiting"))
				}
				d.Update(now, r.WithSlots(number("slots")).WithSlowDown(number("speed")), number("own"))
			case "show":
			default:
				data.Fatalf(t, "unknown command %q", data.Cmd)
			}
			since := func(at time.Time) string {
				if at.IsZero() {
					return "never"
				}
				return fmt.Sprint(now.Sub(at).Milliseconds(), " ms")
			}
			return fmt.Sprintf("others %.4g (%s), slots %d (%s), slow-down %.4g (%s) slow %t\n",
				d.Others(now), since(d.CountsAt()), d.Slots(), since(d.SlotsAt()), d.SlowDown(now), since(d.SlowDownAt()), d.Slow(now))
		})
	})
}

// TestBounds guards against a report that moves the slow-down out of its bounds, or away
// from the usual speed as it ages.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Record
		at := time.Unix(1_700_000_000, 0)
		d.Update(at, Report{}.WithSlowDown(rapid.IntRange(1, 1<<20).Draw(t, "percent")), 0)
		last := d.SlowDown(at)
		if last < minSlowDown || last > maxSlowDown {
			t.Fatalf("slow-down %g", last)
		}
		for range 20 {
			at = at.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			next := d.SlowDown(at)
			if (last-1)*(next-1) < 0 || (next-1)*(next-1) > (last-1)*(last-1) {
				t.Fatalf("slow-down %g after %g", next, last)
			}
			last = next
		}
		if s := d.SlowDown(d.SlowDownAt().Add(maxHalfLives * slowHalfLife)); s != 1 {
			t.Fatalf("slow-down %g of an old report", s)
		}
	})
}
