package simeng

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"
)

// pullRetryDelay is the time between two attempts to pull from the weight store.
const pullRetryDelay = 500 * time.Millisecond

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.attempt, b.attempt))
}

// versions holds the loaded versions, the role and the orders received so far.
type versions struct {
	ready map[string]bool
	// loading holds the cancel function of each load in progress.
	loading map[string]context.CancelFunc
	role    string
	// orders holds the status of each order by id, so that a repeated order
	// gets the same answer without effect.
	orders map[string]int
}

func newVersions(s *settings) *versions {
	v := &versions{
		ready:   map[string]bool{},
		loading: map[string]context.CancelFunc{},
		role:    s.role,
		orders:  map[string]int{},
	}
	for _, name := range s.versions {
		v.ready[name] = true
	}
	return v
}

func (v *versions) loaded(name string) bool { return v.ready[name] }

func (v *versions) list() []string { return slices.Sorted(maps.Keys(v.ready)) }

// order checks the fencing number of an order, applies the order unless it is a
// repeat, and returns the HTTP status of the answer.
func (b *batch) order(ctx context.Context, o *orderBody, now time.Time) int {
	if b.settings.fencing && o.Fence < b.counters.fence.Load() {
		return http.StatusConflict
	}
	if status, ok := b.versions.orders[o.ID]; ok && o.ID != "" {
		return status
	}
	b.counters.fence.Store(max(o.Fence, b.counters.fence.Load()))
	status := b.applyOrder(ctx, o, now)
	b.versions.orders[o.ID] = status
	return status
}

// applyOrder executes an order and returns the HTTP status of the answer.
func (b *batch) applyOrder(ctx context.Context, o *orderBody, now time.Time) int {
	switch o.Op {
	case "load":
		b.startLoad(ctx, o.Version)
		return http.StatusAccepted
	case "unload":
		b.unload(o.Version, now)
		return http.StatusOK
	case "role":
		b.versions.role = o.Role
		return http.StatusOK
	}
	return http.StatusBadRequest
}

// startLoad loads a version in the background unless it is loaded or loading.
func (b *batch) startLoad(ctx context.Context, version string) {
	if b.versions.ready[version] || b.versions.loading[version] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	b.versions.loading[version] = cancel
	go b.pullVersion(ctx, version)
}

// pullVersion pulls and loads a version, then marks it as loaded. It runs in its
// own goroutine.
func (b *batch) pullVersion(ctx context.Context, version string) {
	for {
		err := b.settings.pullWeights(ctx, b.settings.model, version)
		if err == nil {
			break
		}
		if !sleep(ctx, pullRetryDelay) {
			return
		}
	}
	if !sleep(ctx, b.settings.loadTime) {
		return
	}
	b.commands.Put(ctx, func(b *batch, _ time.Time) {
		// An unload in the meantime has cancelled the context.
		if ctx.Err() == nil {
			b.versions.loading[version]()
			delete(b.versions.loading, version)
			b.versions.ready[version] = true
		}
	})
}

// unload removes a version immediately and resets the streams that use it.
func (b *batch) unload(version string, now time.Time) {
	if cancel, ok := b.versions.loading[version]; ok {
		cancel()
		delete(b.versions.loading, version)
	}
	delete(b.versions.ready, version)
	for k, s := range b.streams {
		if s.version == version && s.finish == "" {
			b.cancel(k, sigReset, now)
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
