package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/world"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var classes = map[string]world.Class{
	"lookup":      world.Lookup,
	"interactive": world.Interactive,
	"batch":       world.Batch,
}

// TestScripts guards the order of admission and early refusal: fair shares
// between workspaces, precedence of classes without starvation, bounds for each
// workspace and refusal of requests that cannot meet their deadline.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		work, every := time.Second, 100*time.Millisecond
		q := NewQueue(func(*Item) time.Duration { return work }, func() time.Duration { return every })
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			n, weight, cost, class, ws, deadline := 1, 1, 100, "interactive", "a", "60s"
			for key, dest := range map[string]any{"n": &n, "weight": &weight, "cost": &cost, "class": &class, "ws": &ws, "deadline": &deadline} {
				if d.HasArg(key) {
					d.ScanArgs(t, key, dest)
				}
			}
			switch d.Cmd {
			case "push":
				return push(t, q, now, n, ws, weight, cost, classes[class], deadline)
			case "pop":
				got := ""
				for range n {
					now = now.Add(every)
					if i := q.Pop(now); i != nil {
						got += i.ID() + " "
					}
				}
				return got + "\n"
			}
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			return ""
		})
	})
}

func push(t *testing.T, q *Queue, now time.Time, n int, ws string, weight, cost int, c world.Class, deadline string) string {
	left, err := time.ParseDuration(deadline)
	if err != nil {
		t.Fatal(err)
	}
	refused, last := 0, ""
	for range n {
		id := fmt.Sprintf("%s%d", ws, q.order+1)
		if p := q.Push(now, NewItem(id, ws, weight, c, cost, now.Add(left))); p != nil {
			refused++
			last = fmt.Sprintf(" %s outcome=%s retry=%s", p, p.Outcome(), p.Retry())
		}
	}
	return fmt.Sprintf("queued=%d refused=%d%s\n", n-refused, refused, last)
}
