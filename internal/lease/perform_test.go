package lease_test

import (
	"context"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/lease"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/store"
)

// TestPerform guards against an operation that is answered with the wrong event.
// A lease must acquire its key from a store that loses answers, detect that its
// store lease has ended, and acquire the key again.
func TestPerform(t *testing.T) {
	server := simkv.New()
	base, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	server.Inject(simkv.CutConnections(0.2, 1))
	settings := lease.NewSettings(time.Second)
	l := lease.New(settings, 1)
	client := store.New(base, 1).WithDeadline(200 * time.Millisecond)
	todo := l.Step(time.Now(), lease.Start())
	var fences []uint64
	for end := time.Now().Add(20 * time.Second); len(fences) < 3 && time.Now().Before(end); {
		next := lease.Tick()
		for _, a := range todo {
			if a.Kind() == lease.Held {
				fences = append(fences, a.Fence())
				server.Inject(simkv.ExpireLeases())
			}
			if e, ok := lease.Perform(context.Background(), client, settings, "lock", "vm-1", a); ok && a.Kind() != lease.Revoke {
				next = e
			}
		}
		time.Sleep(5 * time.Millisecond)
		todo = l.Step(time.Now(), next)
	}
	if len(fences) < 3 || fences[0] >= fences[1] || fences[1] >= fences[2] {
		t.Errorf("fencing numbers %v", fences)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}
