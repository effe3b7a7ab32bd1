package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
)

// TestSlowStoreBesideParent guards against a VM that waits for a large answer of the store
// although the VM that it reads from has the same changes, and only was late once because
// it received them. Large answers to several VMs delayed a configuration by 2 s.
func TestSlowStoreBesideParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked, ended := 0, false
		r := NewTestReader("b", mirror.NewLog(), time.Second, Sources{
			Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) ([]store.Event, uint64, error) {
				select {
				case <-time.After(5 * time.Second):
					return nil, after + 1, nil
				case <-ctx.Done():
					ended = true
					return nil, 0, ctx.Err()
				}
			},
			AskPeer: func(_ context.Context, _ string, after uint64, _ time.Duration) (mirror.Changes, error) {
				if asked++; asked < 3 {
					return mirror.Changes{}, context.DeadlineExceeded
				}
				return mirror.NewChanges(nil, after+1, 0), nil
			},
		})
		var vms []tree.VM
		for _, name := range []string{"a", "b", "c", "d"} {
			vms = append(vms, tree.NewVM(name, name, 100))
		}
		r.SetVMs(vms)
		began := time.Now()
		_, revision, err := r.Watch(t.Context(), "", 20, time.Second)
		if took := time.Since(began); err != nil || revision != 21 || took > time.Second || !ended {
			t.Errorf("revision %d after %s, the store's call ended: %t; %v", revision, took, ended, err)
		}
		if at := r.LostAt(); !at.IsZero() {
			t.Errorf("the store counts as lost at %s", at)
		}
	})
}
