package mirror

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLog guards against a VM that serves an incomplete list of keys or changes, an
// older value after a newer one, or changes as younger than they are. Times are
// in milliseconds.
func TestLog(t *testing.T) {
	now := base
	l := NewLog().WithClock(func() time.Time { return now })
	datadriven.RunTest(t, "testdata/log", func(t *testing.T, d *datadriven.TestData) string {
		now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
		switch d.Cmd {
		case "reset":
			var entries []store.Entry
			for _, e := range events(t, d) {
				entries = append(entries, e.Entry())
			}
			l.Reset(entries, uint64(number(t, d, "revision")), time.Duration(number(t, d, "age"))*time.Millisecond)
		case "append":
			l.Append(events(t, d), uint64(number(t, d, "revision")), time.Duration(number(t, d, "age"))*time.Millisecond)
		case "list":
			return answer(l.List(context.Background(), 0, 0))
		case "after":
			return answer(l.Wait(context.Background(), uint64(number(t, d, "n")), 0))
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		}
		return ""
	})
}

func answer(c Changes, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, e := range c.Events() {
		sign := ""
		if e.Deleted() {
			sign = "-"
		}
		fmt.Fprintf(&b, "%s%s %d\n", sign, e.Entry().Key(), e.Entry().Revision())
	}
	fmt.Fprintf(&b, "revision %d, %s old\n", c.Revision(), c.Age())
	return b.String()
}

// events parses lines "KEY REVISION", with a minus before a deleted key.
func events(t *testing.T, d *datadriven.TestData) []store.Event {
	var list []store.Event
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		revision, err := strconv.ParseUint(f[1], 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		key, gone := strings.CutPrefix(f[0], "-")
		list = append(list, store.NewEvent(store.NewEntry(key, nil, revision, ""), gone))
	}
	return list
}

func number(t *testing.T, d *datadriven.TestData, key string) int {
	n := 0
	if d.HasArg(key) {
		d.ScanArgs(t, key, &n)
	}
	return n
}

func text(t *testing.T, d *datadriven.TestData, key string) string {
	s := ""
	if d.HasArg(key) {
		d.ScanArgs(t, key, &s)
	}
	return s
}
