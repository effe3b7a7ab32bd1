package fair

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestShares guards against a large workspace that counts like small ones, against small
// ones that are taken for large by chance, and against workspaces that are kept forever.
// Times are in seconds.
func TestShares(t *testing.T) {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s *Shares
	o := NewOrder(true)
	datadriven.RunTest(t, "testdata/shares", func(t *testing.T, d *datadriven.TestData) string {
		at, times, tokens, workspace := 0, 1, 6000, ""
		d.MaybeScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "times", &times)
		d.MaybeScanArgs(t, "tokens", &tokens)
		d.MaybeScanArgs(t, "of", &workspace)
		now := base.Add(time.Duration(at) * time.Second)
		switch d.Cmd {
		case "new":
			s = New()
			return ""
		case "add":
			for range times {
				s.Add(now, workspace, tokens)
			}
			return fmt.Sprintf("%d workspaces\n", len(s.workspaces))
		case "count":
			for range times {
				o.Count(now, "llm", workspace, tokens)
			}
			return ""
		case "rank":
			later := 0
			d.MaybeScanArgs(t, "later", &later)
			return fmt.Sprintf("%d\n", o.Rank(now, "llm", workspace, later, d.HasArg("begun")))
		case "over":
			return fmt.Sprintf("%t\n", s.Over(now, workspace))
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		}
	})
}

// BenchmarkOver measures a decision among 400 workspaces, more than a VM sees in a minute.
// On a VM of 0.134 cores a decision may take 50 µs.
func BenchmarkOver(b *testing.B) {
	s := New()
	now := time.Unix(1_700_000_000, 0)
	for i := range 400 {
		s.Add(now, fmt.Sprint("w", i), 5000+i)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Over(now, "w7")
	}
}
