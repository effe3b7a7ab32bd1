package simeng

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"
)

// pullPause is the wait after a failed pull from the weight store.
const pullPause = 500 * time.Millisecond

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.attempt, b.attempt))
}

// versions holds the loaded versions and what orders did to them.
type versions struct {
	ready map[string]bool
	// loading holds the function that stops each load in progress.
	loading map[string]context.CancelFunc
	role    string
	// orders holds the status of each order by id; a repeat isn't run again.
	orders map[string]int
}

func newVersions(set *settings) *versions {
	v := &versions{
		ready:   map[string]bool{},
		loading: map[string]context.CancelFunc{},
		role:    set.role,
		orders:  map[string]int{},
	}
	for _, name := range set.versions {
		v.ready[name] = true
	}
	return v
}

func (v *versions) loaded(name string) bool { return v.ready[name] }

func (v *versions) list() []string { return slices.Sorted(maps.Keys(v.ready)) }

// order runs an order and returns the HTTP status of the answer.
func (b *batch) order(ctx context.Context, o *orderBody, now time.Time) int {
	if b.set.fencing && o.Fence < b.counts.fence.Load() {
		return http.StatusConflict
	}
	if status, ok := b.versions.orders[o.ID]; ok && o.ID != "" {
		return status
	}
	b.counts.fence.Store(max(o.Fence, b.counts.fence.Load()))
	status := b.obey(ctx, o, now)
	b.versions.orders[o.ID] = status
	return status
}

func (b *batch) obey(ctx context.Context, o *orderBody, now time.Time) int {
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

func (b *batch) startLoad(ctx context.Context, version string) {
	if b.versions.ready[version] || b.versions.loading[version] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	b.versions.loading[version] = cancel
	go b.pull(ctx, version)
}

// pull is the duty of one load in progress.
func (b *batch) pull(ctx context.Context, version string) {
	for {
		err := b.set.weights(ctx, b.set.model, version)
		if err == nil {
			break
		}
		if !sleep(ctx, pullPause) {
			return
		}
	}
	if !sleep(ctx, b.set.loadTime) {
		return
	}
	b.commands.Put(ctx, func(b *batch, _ time.Time) {
		// An unload that came first has ended the context.
		if ctx.Err() == nil {
			b.versions.loading[version]()
			delete(b.versions.loading, version)
			b.versions.ready[version] = true
		}
	})
}

// unload drops a version at once; streams that still use it are reset.
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

// sleep waits for d and reports false if ctx ended first.
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
