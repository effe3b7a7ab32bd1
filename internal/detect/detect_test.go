package detect

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts guards the silence timeouts. Timeouts that are too short cause
// needless hedges on slow engines; if they are too long, output does not continue
// within 4 s of a loss.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var c Cadence
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			span := func(key string) time.Duration {
				var s string
				if !d.HasArg(key) {
					return 0
				}
				d.ScanArgs(t, key, &s)
				v, err := time.ParseDuration(s)
				if err != nil {
					t.Fatalf("%s: %v", d.Pos, err)
				}
				return v
			}
			n := 1
			if d.HasArg("n") {
				d.ScanArgs(t, "n", &n)
			}
			switch d.Cmd {
			case "tokens":
				for range n {
					now = now.Add(span("gap"))
					c.Token(now, span("gap"))
				}
			case "first":
				c.First(now, span("wait"))
			case "silence":
				at := now.Add(span("after"))
				return fmt.Sprintf("gap=%s base=%s timeout=%s suspect=%v\n", c.Gap().Round(time.Millisecond),
					c.Base().Round(time.Millisecond), c.Silence(at).Round(time.Millisecond), span("after") >= c.Silence(at))
			case "firstwait":
				return c.FirstWait(n).String() + "\n"
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			}
			return ""
		})
	})
}
