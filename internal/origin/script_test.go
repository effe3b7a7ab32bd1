package origin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

// position parses a position "ERA.REVISION".
func position(t *testing.T, text string) uint64 {
	var era, revision uint64
	if _, err := fmt.Sscanf(text, "%d.%d", &era, &revision); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return store.Position(era, revision)
}

func format(p uint64) string { return fmt.Sprintf("%d.%d", store.Era(p), store.Number(p)) }

// TestOrigin guards against an order that starts again because a restoration of the
// store has changed its position, against a new order that is taken for the one before,
// and against evidence or
// the status of another order. Times are in milliseconds.
func TestOrigin(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var o *Origin
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				var at int
				if d.HasArg("at") {
					d.ScanArgs(t, "at", &at)
				}
				now := base.Add(time.Duration(at) * time.Millisecond)
				switch d.Cmd {
				case "new":
					o = New(now, position(t, words[0]), d.HasArg("started"))
				case "adopt":
					fmt.Fprintf(&out, "%s %t\n", words[0], o.Adopt(now, position(t, words[0])))
				case "after":
					o.After(position(t, words[0]))
				case "follows":
					fmt.Fprintf(&out, "%s %t\n", words[0], o.Follows(position(t, words[0])))
				case "match":
					fmt.Fprintf(&out, "%s %t\n", strings.Join(words, " "), o.Matches(position(t, words[0]), position(t, words[1])))
				default:
					t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
				}
			}
			fmt.Fprintf(&out, "first %s latest %s\n", format(o.First()), format(o.Latest()))
			return out.String()
		})
	})
}
