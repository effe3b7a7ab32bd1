package edge

import (
	"context"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/rs/zerolog"
)

// joinWait is how long a starting VM waits to learn which VMs of its failure
// domain it can read from. A call of the store takes 30 ms at most, so a longer
// wait would only delay the start while the store is slow or down.
const joinWait = 600 * time.Millisecond

// watcher keeps the VM's copy of the store's keys up to date and applies their
// changes. Apart from age and join, its methods are for its run goroutine only.
type watcher struct {
	client *store.Client
	reader *feed.Reader
	// alone is true if the reader knows no other VMs, so that it reads from the store.
	alone      bool
	batchDelay time.Duration
	apply      func(ctx context.Context, c follow.Change)
	// settleTime is the time after the store's recovery from which its word counts
	// again.
	settleTime time.Duration
	// idle is called after each answer without a change.
	idle func(confirmed time.Time)
	log  zerolog.Logger

	// joined is closed when the VMs of the failure domain are known, or can't be
	// read.
	joined   chan struct{}
	isJoined atomic.Bool
	// follower is nil until the VM begins to read.
	follower atomic.Pointer[follow.Follower]
}

func newWatcher(c *store.Client, batchDelay time.Duration, log zerolog.Logger) *watcher {
	return &watcher{
		client:     c,
		batchDelay: batchDelay,
		log:        log,
		joined:     make(chan struct{}),
	}
}

// join lets the watcher begin to read. vms are the VMs of the failure domain,
// including the one itself. Calls after the first do nothing.
func (w *watcher) join(vms []tree.VM) {
	if !w.isJoined.CompareAndSwap(false, true) {
		return
	}
	if !w.alone {
		w.reader.SetVMs(vms)
	}
	close(w.joined)
}

// run follows all keys until ctx ends.
func (w *watcher) run(ctx context.Context) {
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	select {
	case <-w.joined:
	case <-timer.C:
		w.join(nil)
	case <-ctx.Done():
		return
	}
	f := follow.New(w.client, "", w.batchDelay, w.apply, w.log).WithIdle(w.idle).WithSettleTime(w.settleTime).ReadFrom(w.reader)
	w.follower.Store(f)
	f.Run(ctx)
}

// age returns the time since the last successful read, or 0 before the first
// attempt. It may be called concurrently.
func (w *watcher) age() time.Duration {
	if f := w.follower.Load(); f != nil {
		return f.Age()
	}
	return 0
}

// kept returns the number of entries that are missing from the store but kept. It
// may be called concurrently.
func (w *watcher) kept() int {
	if f := w.follower.Load(); f != nil {
		return f.Kept()
	}
	return 0
}
