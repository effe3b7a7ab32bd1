package feed

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/rs/zerolog"
)

// TestHeldValueIsPassed guards against a VM that holds the newer of two large values after
// a restoration and sends the older one to the VMs that ask it, since it keeps the packed
// form in which that one arrived under the same position.
func TestHeldValueIsPassed(t *testing.T) {
	older, newer := bytes.Repeat([]byte("18 "), 4000), bytes.Repeat([]byte("19 "), 4000)
	rules := mirror.Rules{
		Foreign: func(string) bool { return true },
		Stays: func(known, listed store.Entry, _ bool) bool {
			return bytes.Compare(known.Value(), listed.Value()) > 0
		},
	}
	entry := func(value []byte, position uint64) []store.Entry {
		return []store.Entry{store.NewEntry("op", value, position, "")}
	}
	first, second, third := mirror.NewLog().WithRules(rules), mirror.NewLog().WithRules(rules), mirror.NewLog().WithRules(rules)
	// The first VM has not read the newer version before the store is restored, and the
	// older one is the store's latest change.
	first.Reset(entry(older, store.Position(2, 21)), store.Position(2, 21), 0)
	second.Reset(entry(newer, store.Position(1, 30)), store.Position(1, 30), 0)
	server := NewServer(first)
	atSecond := listTo(t, server, second)
	atThird := listTo(t, NewServer(second), third)
	for name, got := range map[string][]store.Entry{
		"second": atSecond,
		"third":  atThird,
	} {
		if len(got) != 1 || !bytes.Equal(got[0].Value(), newer) {
			t.Errorf("the %s VM has %.6q, want %.6q", name, got[0].Value(), newer)
		}
	}
}

// listTo passes a server's list to a VM's copy of the keys, and returns the entries that
// are in force there.
func listTo(t *testing.T, s *Server, l *mirror.Log) []store.Entry {
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
	return l.Reset(entries, c.Revision(), 0)
}

// TestRereadInTime guards against a VM that waits for other VMs, which can't read the
// restored store, until a change that was acknowledged after the return is late. The VM
// must have asked the store within the 4 s that are allowed, and those that read from it
// have to read it after that.
func TestRereadInTime(t *testing.T) {
	for count := 1; count <= 4; count++ {
		t.Run(fmt.Sprintf("%d before", count), func(t *testing.T) {
			now := base
			l := mirror.NewLog().WithClock(func() time.Time { return now })
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
				listPeer: func(_ context.Context, _ string, _ uint64, wait time.Duration) (mirror.Changes, error) {
					now = now.Add(wait)
					return mirror.Changes{}, mirror.ErrNotListed
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

func newFeedServer(t *testing.T, s *Server) string {
	t.Helper()
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return h.Listener.Addr().String()
}
