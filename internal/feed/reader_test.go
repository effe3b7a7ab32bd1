package feed

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// TestReader guards against a reader that accepts stale changes from another VM,
// or waits again on each call for a VM that does not respond. Times are in
// milliseconds, and the batch delay is 1 s.
func TestReader(t *testing.T) { runReader(t, "testdata/reader") }

// TestReaderAfterRestore guards against a reader that takes changes or a list from a VM
// that has not read the store since it was restored, or that reads all keys from the
// store because other VMs do too.
func TestReaderAfterRestore(t *testing.T) { runReader(t, "testdata/rereads") }

// TestReaderRefusedAfterRestore guards against a VM that the store does not answer and that
// keeps the old history although other VMs have read the restored store.
func TestReaderRefusedAfterRestore(t *testing.T) { runReader(t, "testdata/rereads-refused") }

// runReader runs a script for one reader at a time.
func runReader(t *testing.T, path string) {
	var r *Reader
	now, era := base, uint64(0)
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		now = base.Add(time.Duration(number(t, d, "at")) * time.Millisecond)
		switch d.Cmd {
		case "vms":
			l := mirror.NewLog().WithClock(func() time.Time { return now })
			r = &Reader{
				batchDelay: time.Second,
				selector:   NewSelector(text(t, d, "self")),
				log:        l,
				now:        func() time.Time { return now },
				sleep:      func(_ context.Context, d time.Duration) { now = now.Add(d) },
				era:        func() uint64 { return era },
				logger:     zerolog.Nop(),

				observe: func(string, string) {},
			}
			r.SetVMs(vms(t, d))
			return ""
		case "watch", "list":
			era = uint64(number(t, d, "era"))
			return read(t, r, d, func(by time.Duration) { now = now.Add(by) })
		case "lost":
			return fmt.Sprintf("%d ms ago\n", now.Sub(r.LostAt()).Milliseconds())
		default:
			t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
			return ""
		}
	})
}

// read runs one Watch or List call. The input lists how each source answers, as
// "SOURCE revision=N age=MS [quiet=MS]" or "SOURCE FAILURE".
func read(t *testing.T, r *Reader, d *datadriven.TestData, pass func(by time.Duration)) string {
	var out strings.Builder
	answers := make(map[string]string)
	for l := range strings.Lines(d.Input) {
		name, how, _ := strings.Cut(strings.TrimSpace(l), " ")
		answers[name] = how
	}
	reply := func(name string, wait time.Duration) (Answer, error) {
		fmt.Fprintf(&out, "%s asked for %s\n", name, wait)
		failures := map[string]error{
			"timeout":     context.DeadlineExceeded,
			"unconfirmed": mirror.ErrNotListed,
			"too-old":     mirror.ErrTooOld,
			"unavailable": store.ErrUnavailable,
			"compacted":   store.ErrCompacted,
		}
		if err := failures[answers[name]]; err != nil {
			if d.HasArg("takes") {
				pass(time.Duration(number(t, d, "takes")) * time.Millisecond)
			}
			return Answer{}, err
		}
		var at string
		var age int
		how, quiet, arriving := strings.Cut(answers[name], " quiet=")
		if _, err := fmt.Sscanf(how+" age=0", "revision=%s age=%d", &at, &age); err != nil {
			t.Fatalf("%s: %s: %v", d.Pos, name, err)
		}
		revision := position(t, d, at)
		var events []store.Event
		wireBytes := 0
		if d.HasArg("bytes") {
			// The value is sent packed.
			events = []store.Event{store.NewEvent(store.NewEntry("k", make([]byte, 10*number(t, d, "bytes")), revision, ""), false)}
			wireBytes = number(t, d, "bytes")
		}
		c := mirror.NewChanges(events, revision, time.Duration(age)*time.Millisecond)
		if arriving {
			ms, err := strconv.Atoi(quiet)
			if err != nil {
				t.Fatalf("%s: %s: %v", d.Pos, name, err)
			}
			c = c.WithQuiet(time.Duration(ms) * time.Millisecond)
		}
		return Answer{
			changes:   c,
			wireBytes: wireBytes,
		}, nil
	}
	r.askPeer = func(_ context.Context, address string, _ uint64, wait time.Duration) (Answer, error) {
		return reply(address, wait)
	}
	r.watch = func(_ context.Context, _ string, _ uint64, wait time.Duration) ([]store.Event, uint64, error) {
		a, err := reply("store", wait)
		return a.changes.Events(), a.changes.Revision(), err
	}
	r.listPeer = func(_ context.Context, address string, after uint64, wait time.Duration) (mirror.Changes, error) {
		if after > 0 {
			fmt.Fprintf(&out, "after %s: ", store.Text(after))
		}
		a, err := reply(address, wait)
		return a.changes, err
	}
	r.list = func(context.Context, string) ([]store.Entry, uint64, error) {
		a, err := reply("store", 0)
		return nil, a.changes.Revision(), err
	}
	r.countBytes = func(source string, bytes int) {
		if bytes > 0 {
			fmt.Fprintf(&out, "%d bytes from %s\n", bytes, source)
		}
	}
	call := func() (uint64, error) {
		after := uint64(20)
		if d.HasArg("after") {
			after = position(t, d, text(t, d, "after"))
		}
		_, revision, err := r.Watch(context.Background(), "", after, 3*time.Second)
		return revision, err
	}
	if d.Cmd == "list" {
		call = func() (uint64, error) {
			_, revision, err := r.List(context.Background(), "")
			return revision, err
		}
	}
	revision, err := call()
	switch {
	case errors.Is(err, store.ErrCompacted):
		out.WriteString("compacted\n")
	case err != nil:
		fmt.Fprintf(&out, "error: %v\n", err)
	default:
		fmt.Fprintf(&out, "revision %s, pause %s\n", store.Text(revision), r.Pause())
	}
	return out.String()
}
