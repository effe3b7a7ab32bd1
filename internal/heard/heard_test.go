package heard

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPaths guards against a timeout that grows with each upstream that is silent in
// place of each round, or that stays long once something is heard, and against engines
// that are taken for dead while the link to their region is busy (TWICE: their runs went
// on beside those that followed them). Times are in milliseconds.
func TestPaths(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := NewPaths(130*time.Millisecond, time.Second)
	datadriven.RunTest(t, "testdata/paths", func(t *testing.T, d *datadriven.TestData) string {
		at, id, region, began := 0, "", "", 0
		d.ScanArgs(t, "at", &at)
		d.ScanArgs(t, "id", &id)
		if d.HasArg("region") {
			d.ScanArgs(t, "region", &region)
		}
		if d.HasArg("began") {
			d.ScanArgs(t, "began", &began)
		}
		now := base.Add(time.Duration(at) * time.Millisecond)
		switch d.Cmd {
		case "answered":
			p.Answered(id, region, now)
		case "silent":
			p.Silent(now, region)
		case "at-fault":
			return fmt.Sprintf("%t\n", p.AtFault(now, region, base.Add(time.Duration(began)*time.Millisecond), Witnesses{
				Beside:   d.HasArg("beside"),
				Anywhere: !d.HasArg("alone"),
			}))
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		since := func(t time.Time) int64 { return max(t.Sub(base).Milliseconds(), -1) }
		return fmt.Sprintf("timeout %s, silent since %d, region %d, latest %d\n", p.Timeout(), since(p.silent[region].since), since(p.Region(region)), since(p.Latest()))
	})
}
