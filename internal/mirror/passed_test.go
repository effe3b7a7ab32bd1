package mirror

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

// TestRestoredPassed guards against a restored store's older state that returns at a VM
// which read the keys from another VM after the restoration, and reads the store later.
// Times are in milliseconds.
func TestRestoredPassed(t *testing.T) {
	datadriven.Walk(t, "testdata/passed", func(t *testing.T, path string) {
		now := base
		logs := make(map[string]*Log)
		get := func(t *testing.T, d *datadriven.TestData, key string) *Log {
			name := text(t, d, key)
			if logs[name] == nil {
				logs[name] = NewLog().WithRules(numberRules).WithClock(func() time.Time { return now })
			}
			return logs[name]
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
			at := position(t, d, text(t, d, "revision"))
			l := get(t, d, "vm")
			switch d.Cmd {
			case "reset":
				var entries []store.Entry
				for _, e := range placed(t, d) {
					entries = append(entries, e.Entry())
				}
				return entriesText(l.Reset(entries, at, 0))
			case "append":
				return placedText(l.Append(placed(t, d), at, 0))
			case "follow":
				// The VM reads the changes after its revision from another one.
				c, err := get(t, d, "from").Wait(context.Background(), l.Revision(), 0)
				if err != nil {
					return err.Error() + "\n"
				}
				return placedText(l.Append(c.Events(), c.Revision(), 0))
			case "release":
				// The store confirms its state.
				l.Append(nil, l.Revision(), 0)
				return placedText(l.Release())
			case "pass":
				// The VM reads all keys from another one.
				c, err := get(t, d, "from").List(context.Background(), 0, 0)
				if err != nil {
					return err.Error() + "\n"
				}
				var entries []store.Entry
				for _, e := range c.Events() {
					entries = append(entries, e.Entry())
				}
				return entriesText(l.Reset(entries, c.Revision(), 0))
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
				return ""
			}
		})
	})
}

// entriesText returns the entries by key, without their positions.
func entriesText(entries []store.Entry) string {
	lines := make(map[string]string)
	for _, e := range entries {
		lines[e.Key()] = fmt.Sprintf("%s %s\n", e.Key(), e.Value())
	}
	var b strings.Builder
	for _, key := range sortedKeys(lines) {
		b.WriteString(lines[key])
	}
	return b.String()
}

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }
