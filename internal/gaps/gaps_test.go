package gaps

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimits guards the pauses of streams against limits that do not follow the goals of
// their routes. Times are in milliseconds.
func TestLimits(t *testing.T) {
	datadriven.RunTest(t, "testdata/limits", func(t *testing.T, d *datadriven.TestData) string {
		var goal, gap int
		d.ScanArgs(t, "goal", &goal)
		d.ScanArgs(t, "gap", &gap)
		l := New(time.Duration(goal)*time.Millisecond, time.Duration(gap)*time.Millisecond)
		return fmt.Sprintf("probe %v, before the first piece %v\nstall %v\nhung %v\nresume %v\n", l.Probe(true), l.Probe(false), l.Stall(), l.Hung(), l.Resume())
	})
}
