package mirror

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
)

// TestRestored guards against a VM that takes a restored store's older state for what is
// in force, drops what the store has not yet again, or takes a change of the new history
// for an old one because its revision is low. Times are in milliseconds.
func TestRestored(t *testing.T) {
	datadriven.Walk(t, "testdata/restored", func(t *testing.T, path string) {
		now := base
		l := NewLog().WithRules(numberRules).WithClock(func() time.Time { return now })
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
			at := position(t, d, text(t, d, "revision"))
			switch d.Cmd {
			case "reset":
				var entries []store.Entry
				for _, e := range placed(t, d) {
					entries = append(entries, e.Entry())
				}
				l.Reset(entries, at, 0)
				return "held " + strings.Join(slices.Sorted(maps.Keys(l.held)), " ") + "\n"
			case "append":
				return placedText(l.Append(placed(t, d), at, 0))
			case "list":
				c, err := l.List(context.Background(), at, 0)
				if err != nil {
					return err.Error() + "\n"
				}
				return placedText(c.Events())
			case "after":
				c, err := l.Wait(context.Background(), at, 0)
				if err != nil {
					return err.Error() + "\n"
				}
				return placedText(c.Events())
			case "release":
				return placedText(l.Release())
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
				return ""
			}
		})
	})
}

// numberRules are the rules of scripts. VMs write the keys that begin with "vm".
var numberRules = Rules{
	Foreign: func(key string) bool { return !strings.HasPrefix(key, "vm") },
	Stays:   staysByNumber,
}

// staysByNumber lets an entry stay if its value is a higher number than the listed one.
// Keys that begin with "op" also stay if they are not listed, and op itself when all others
// have settled.
func staysByNumber(known, listed store.Entry, settled bool) bool {
	switch {
	case settled && known.Key() != "op":
		return false
	case listed.Revision() == 0:
		return strings.HasPrefix(known.Key(), "op")
	}
	k, _ := strconv.Atoi(string(known.Value()))
	n, _ := strconv.Atoi(string(listed.Value()))
	return k > n
}

// position parses a revision, or a position "ERA:REVISION"; "" is 0.
func position(t *testing.T, d *datadriven.TestData, s string) uint64 {
	if s == "" {
		return 0
	}
	if !strings.Contains(s, ":") {
		s = "0:" + s
	}
	var era, revision uint64
	if _, err := fmt.Sscanf(s, "%d:%d", &era, &revision); err != nil {
		t.Fatalf("%s: position %q: %v", d.Pos, s, err)
	}
	return store.Position(era, revision)
}

// placed parses lines "KEY POSITION VALUE", with a minus before a deleted key, which has
// no value.
func placed(t *testing.T, d *datadriven.TestData) []store.Event {
	var list []store.Event
	for l := range strings.Lines(d.Input) {
		f := append(strings.Fields(l), "")
		key, gone := strings.CutPrefix(f[0], "-")
		list = append(list, store.NewEvent(store.NewEntry(key, []byte(f[2]), position(t, d, f[1]), ""), gone))
	}
	return list
}

func placedText(events []store.Event) string {
	var b strings.Builder
	for _, e := range events {
		if e.Deleted() {
			fmt.Fprintf(&b, "-%s %s\n", e.Entry().Key(), store.Text(e.Entry().Revision()))
			continue
		}
		fmt.Fprintf(&b, "%s %s %s\n", e.Entry().Key(), store.Text(e.Entry().Revision()), e.Entry().Value())
	}
	return b.String()
}
