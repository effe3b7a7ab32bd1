package expect

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTimes guards against a second attempt that can't be in time and only delays
// others, and against an attempt that is stuck and never gets a second one. Times are
// in milliseconds.
func TestTimes(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var times Times
	number := func(t *testing.T, d *datadriven.TestData, key string) int {
		n := 0
		d.ScanArgs(t, key, &n)
		return n
	}
	datadriven.RunTest(t, "testdata/times", func(t *testing.T, d *datadriven.TestData) string {
		at := func(key string) time.Time { return base.Add(time.Duration(number(t, d, key)) * time.Millisecond) }
		switch d.Cmd {
		case "reset":
			times = Times{}
			return ""
		case "observe":
			for range number(t, d, "times") {
				times.Observe(time.Duration(number(t, d, "took")) * time.Millisecond)
			}
			return fmt.Sprintf("usual %s\n", times.Usual().Round(time.Millisecond))
		case "pays":
			return fmt.Sprintf("%t, stuck at %d\n", times.Pays(at("now"), at("sent"), at("due")), times.StuckAt(at("sent"), at("due")).Sub(base).Milliseconds())
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		}
	})
}
