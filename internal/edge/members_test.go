package edge

import (
	"context"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

// TestMembersFirst guards against a change of the upstreams that waits for the mover
// or the agreement on charges, whose queues are full, before it takes effect. A
// worker that has left gets requests for that long.
func TestMembersFirst(t *testing.T) {
	sources := Sources{
		EnrolledPrefix: "vms/",
		IsTable:        func(string) bool { return false },
		ID: func(key string) string {
			id, _ := strings.CutPrefix(key, "upstream/")
			return id
		},
		Entry: func(string, []byte) (pool.Entry, error) {
			return pool.NewEntry(pool.EntrySpec{
				ID:      "w",
				Leaving: true,
			}), nil
		},
	}
	v := New(Settings{
		Name: "a",
	}, store.New("http://unused", 1), sources, Upstreams{}, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range updateCap {
		v.mover.updates.Put(ctx, storeUpdate{})
	}
	go v.applyChange(ctx, follow.NewChange([]store.Entry{store.NewEntry("upstream/w", nil, 1, "")}, nil))
	select {
	case <-v.dispatcher.events.Out():
	case <-time.After(2 * time.Second):
		t.Error("the dispatcher does not learn of the change")
	}
}
