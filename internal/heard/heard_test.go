package heard

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPaths guards against a timeout that grows with each upstream that is silent in
// place of each round, or that stays long once something is heard. Times are in
// milliseconds.
func TestPaths(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := NewPaths(130*time.Millisecond, time.Second)
	datadriven.RunTest(t, "testdata/paths", func(t *testing.T, d *datadriven.TestData) string {
		at, id, region := 0, "", ""
		d.ScanArgs(t, "at", &at)
		d.ScanArgs(t, "id", &id)
		if d.HasArg("region") {
			d.ScanArgs(t, "region", &region)
		}
		now := base.Add(time.Duration(at) * time.Millisecond)
		switch d.Cmd {
		case "answered":
			p.Answered(id, region, now)
		case "silent":
			p.Silent(now, id)
		case "forget":
			p.Forget(id)
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		since := func(t time.Time) int64 { return max(t.Sub(base).Milliseconds(), -1) }
		return fmt.Sprintf("timeout %s, %s silent %t, region %d, latest %d\n", p.Timeout(), id, p.WasSilent(id), since(p.Region(region)), since(p.Latest()))
	})
}
