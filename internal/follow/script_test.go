package follow

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
)

// TestState guards against lost, repeated or premature changes when the store
// fails, compacts its history, or delivers changes out of order. Times are in
// milliseconds.
func TestState(t *testing.T) {
	datadriven.Walk(t, "testdata/state", func(t *testing.T, path string) {
		s := NewState()
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at, revision := 0, "0"
			d.ScanArgs(t, "at", &at)
			if d.HasArg("revision") {
				d.ScanArgs(t, "revision", &revision)
			}
			now := base.Add(time.Duration(at) * time.Millisecond)
			var c Change
			var out strings.Builder
			switch d.Cmd {
			case "list":
				c = s.Listed(now, entries(t, d), position(t, d, revision))
			case "watch":
				c = s.Watched(now, events(t, d), position(t, d, revision))
			case "fail":
				err := errors.New("no answer")
				if d.HasArg("compacted") {
					err = store.ErrCompacted
				}
				took := 0
				if d.HasArg("took") {
					d.ScanArgs(t, "took", &took)
				}
				began := now.Add(-time.Duration(took) * time.Millisecond)
				fmt.Fprintf(&out, "pause %s\n", s.Failed(now, began, began, err))
			case "settle":
				settle := 0
				d.ScanArgs(t, "ms", &settle)
				f := &Follower{
					state: s,
				}
				f.WithSettleTime(time.Duration(settle) * time.Millisecond)
			case "tick":
				c = s.Expired(now)
			default:
				t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			}
			for _, e := range c.Put() {
				fmt.Fprintf(&out, "put %s %s\n", e.Key(), store.Text(e.Revision()))
			}
			for _, key := range c.Deleted() {
				fmt.Fprintf(&out, "gone %s\n", key)
			}
			if c.Restored() {
				out.WriteString("restored\n")
			}
			if s.Synced() {
				fmt.Fprintf(&out, "next watch after %s for %s\n", store.Text(s.Revision()), s.Wait(now))
			} else {
				out.WriteString("next list\n")
			}
			return out.String()
		})
	})
}

// position parses a revision, or a position "ERA:REVISION".
func position(t *testing.T, d *datadriven.TestData, text string) uint64 {
	era, number, found := strings.Cut(text, ":")
	if !found {
		era, number = "0", text
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return store.Position(e, n)
}

// entries parses lines "KEY REVISION".
func entries(t *testing.T, d *datadriven.TestData) []store.Entry {
	var list []store.Entry
	for _, l := range strings.Fields(strings.ReplaceAll(d.Input, " ", "@")) {
		key, text, _ := strings.Cut(l, "@")
		list = append(list, store.NewEntry(key, nil, position(t, d, text), ""))
	}
	return list
}

// events parses lines "KEY REVISION", with a minus before a deleted key.
func events(t *testing.T, d *datadriven.TestData) []store.Event {
	var list []store.Event
	for _, e := range entries(t, d) {
		key, deleted := strings.CutPrefix(e.Key(), "-")
		list = append(list, store.NewEvent(store.NewEntry(key, nil, e.Revision(), ""), deleted))
	}
	return list
}
