package feed

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
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
				logs[name] = NewLog().WithRules(numberRules)
				logs[name].now = func() time.Time { return now }
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

// TestHeldValueIsPassed guards against a VM that holds the newer of two large values after
// a restoration and sends the older one to the VMs that ask it, since it keeps the packed
// form in which that one arrived under the same position.
func TestHeldValueIsPassed(t *testing.T) {
	older, newer := bytes.Repeat([]byte("18 "), 4000), bytes.Repeat([]byte("19 "), 4000)
	rules := Rules{
		Foreign: func(string) bool { return true },
		Stays: func(known, listed store.Entry, _ bool) bool {
			return bytes.Compare(known.Value(), listed.Value()) > 0
		},
	}
	entry := func(value []byte, position uint64) []store.Entry {
		return []store.Entry{store.NewEntry("op", value, position, "")}
	}
	first, second, third := NewLog().WithRules(rules), NewLog().WithRules(rules), NewLog().WithRules(rules)
	// The first VM has not read the newer version before the store is restored, and the
	// older one is the store's latest change.
	first.Reset(entry(older, store.Position(2, 21)), store.Position(2, 21), 0)
	second.Reset(entry(newer, store.Position(1, 30)), store.Position(1, 30), 0)
	server := NewServer(first)
	listTo(t, server, second)
	listTo(t, NewServer(second), third)
	for name, l := range map[string]*Log{
		"second": second,
		"third":  third,
	} {
		if got := l.inForce(); len(got) != 1 || !bytes.Equal(got[0].Value(), newer) {
			t.Errorf("the %s VM has %.6q, want %.6q", name, got[0].Value(), newer)
		}
	}
}

// listTo passes a server's list to a VM's copy of the keys.
func listTo(t *testing.T, s *Server, l *Log) {
	t.Helper()
	h := newFeedServer(t, s)
	c, err := NewClient(l).List(t.Context(), h, 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var entries []store.Entry
	for _, e := range c.Events() {
		entries = append(entries, e.Entry())
	}
	l.Reset(entries, c.Revision(), 0)
}

// TestRereadInTime guards against a VM that waits for other VMs, which can't read the
// restored store, until a change that was acknowledged after the return is late. The VM
// must have asked the store within the 4 s that are allowed, and those that read from it
// have to read it after that.
func TestRereadInTime(t *testing.T) {
	for count := 1; count <= 4; count++ {
		t.Run(fmt.Sprintf("%d before", count), func(t *testing.T) {
			now := base
			l := NewLog()
			l.now = func() time.Time { return now }
			l.Reset(nil, store.Position(1, 20), 0)
			r := &Reader{
				batchDelay: time.Second,
				selector:   NewSelector("z"),
				log:        l,
				now:        func() time.Time { return now },
				sleep:      func(_ context.Context, d time.Duration) { now = now.Add(d) },
				era:        func() uint64 { return 2 },
				logger:     zerolog.Nop(),
				observe:    func(string, string) {},
				listPeer: func(_ context.Context, _ string, _ uint64, wait time.Duration) (Changes, error) {
					now = now.Add(wait)
					return Changes{}, ErrNotListed
				},
				list: func(context.Context, string) ([]store.Entry, uint64, error) {
					return nil, store.Position(2, 12), nil
				},
			}
			vms := []tree.VM{tree.NewVM("z", "z", 0), tree.NewVM("z1", "z1", 0), tree.NewVM("z2", "z2", 0)}
			for i := range count {
				name := string(rune('a' + i))
				vms = append(vms, tree.NewVM(name, name, 0))
			}
			r.SetVMs(vms)
			if _, _, err := r.List(t.Context(), ""); err != nil {
				t.Fatal(err)
			}
			if took := now.Sub(base); took >= 4*time.Second {
				t.Errorf("the store was read after %s", took)
			}
		})
	}
}

func sortedKeys(m map[string]string) []string { return slices.Sorted(maps.Keys(m)) }

func newFeedServer(t *testing.T, s *Server) string {
	t.Helper()
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return h.Listener.Addr().String()
}
