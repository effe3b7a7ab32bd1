package mirror_test

import (
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
)

// TestLeftUpstreamStaysAway guards against an upstream that has left and is used again by
// all VMs, when the first VM of the tree restarts right after a restoration of the store.
func TestLeftUpstreamStaysAway(t *testing.T) {
	entry := func(era, revision uint64) store.Entry {
		return store.NewEntry("s2", []byte("5"), store.Position(era, revision), "")
	}
	gone := []store.Event{store.NewEvent(store.NewEntry("s2", nil, store.Position(1, 24), ""), true)}
	rules := mirror.Rules{
		Foreign: func(string) bool { return true },
		Stays:   func(store.Entry, store.Entry, bool) bool { return false },
	}
	first, log, state, now := mirror.NewLog().WithRules(rules), mirror.NewLog().WithRules(rules), follow.NewState(), time.Now()
	first.Reset([]store.Entry{entry(1, 12)}, store.Position(1, 18), 0)
	first.Append(gone, store.Position(1, 24), 0)
	state.Listed(now, log.Reset([]store.Entry{entry(1, 12)}, store.Position(1, 18), 0), store.Position(1, 18))
	state.Watched(now, log.Append(gone, store.Position(1, 24), 0), store.Position(1, 24))

	list := first.Reset([]store.Entry{entry(2, 12)}, store.Position(2, 21), 0)
	state.Listed(now, log.Reset(list, store.Position(2, 21), 0), store.Position(2, 21))
	restarted := mirror.NewLog().WithRules(rules).Reset([]store.Entry{entry(2, 12)}, store.Position(2, 22), 0)
	c := state.Listed(now, log.Reset(restarted, store.Position(2, 22), 0), store.Position(2, 22))
	if len(c.Put()) > 0 {
		t.Errorf("%s is used again", c.Put()[0].Key())
	}
}
