package lease_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/lease"
)

var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// acquireSteps acquires the key with store lease l1 and revision 7. The command
// hold runs these steps before its own.
const acquireSteps = "0:start 0:absent 0.1:granted=l1 0.2:stored=7 "

// TestScripts guards against a holder that acts without a lease, or that needlessly
// loses it or does not regain it, under the faults that the scripts name. A step
// is SECONDS:EVENT=ARGUMENT.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			settings := lease.NewSettings(6*time.Second).WithMargin(500*time.Millisecond, 0.01)
			if td.HasArg("waitout") {
				settings = settings.WithWaitOut(time.Second)
			}
			l := lease.New(settings, 1)
			var pending uint64
			skip := 0
			if td.Cmd == "hold" {
				td.Input = acquireSteps + td.Input
				skip = len(strings.Fields(acquireSteps))
			}
			var results []string
			for i, step := range strings.Fields(td.Input) {
				at, what, _ := strings.Cut(step, ":")
				seconds, err := strconv.ParseFloat(at, 64)
				if err != nil {
					t.Fatal(err)
				}
				now := epoch.Add(time.Duration(seconds * float64(time.Second)))
				line := step + ":"
				if what != "act" {
					for _, a := range l.Step(now, parseEvent(t, what, pending)) {
						line += " " + a.String()
						if a.Kind() <= lease.Renew {
							pending = a.Op()
						}
					}
				}
				if fence, ok := l.MayAct(now); ok {
					line += fmt.Sprintf(" [may act %d]", fence)
				}
				if i >= skip {
					results = append(results, line)
				}
			}
			var out strings.Builder
			for chunk := range slices.Chunk(results, 3) {
				fmt.Fprintln(&out, strings.Join(chunk, " | "))
			}
			return out.String()
		})
	})
}

func parseEvent(t *testing.T, what string, op uint64) lease.Event {
	name, arg, _ := strings.Cut(what, "=")
	revision, _ := strconv.ParseUint(arg, 10, 64)
	events := map[string]lease.Event{
		"tick":        lease.Tick(),
		"start":       lease.Start(),
		"release":     lease.Release(),
		"changed":     lease.Changed(),
		"granted":     lease.Granted(op, arg),
		"stored":      lease.Stored(op, revision),
		"absent":      lease.Found(op, "", 0),
		"found":       lease.Found(op, "l1", revision),
		"taken":       lease.Found(op, "other", revision),
		"done":        lease.Done(op),
		"unavailable": lease.Failed(op, lease.Unavailable),
		"unknown":     lease.Failed(op, lease.Unknown),
		"conflict":    lease.Failed(op, lease.Conflict),
		"expired":     lease.Failed(op, lease.Expired),
	}
	e, ok := events[name]
	if !ok {
		t.Fatalf("unknown event %s", what)
	}
	return e
}
