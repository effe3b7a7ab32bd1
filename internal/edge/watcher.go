package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	// shardsKey holds the shards of the registry once a VM has split it, so
	// that VMs that start later need not read the whole registry first.
	shardsKey = "registry/shards"
	// shardsWait is how long a VM waits for shardsKey before it follows the
	// whole store. When 300 VMs start at once, the answers take over 200 ms,
	// and a full list for each of them saturates the links for 30 s.
	shardsWait = 2 * time.Second
	// changeCap is the number of changes that may be queued for the watcher.
	// Followers block when the queue is full.
	changeCap = 16
	// growInterval is how often a VM that follows a part of the registry checks
	// whether it knows enough upstreams of each service.
	growInterval = time.Second
	// sharedCallTimeout is the timeout of store calls when there are many VMs.
	// Their answers queue for seconds on the links between regions, and retries
	// would lengthen the queue. It is also the time that a VM has to be up to
	// date again after it was cut off.
	sharedCallTimeout = 4 * time.Second
)

// watcher applies changes of the store and decides which keys the VM follows.
// Apart from age, its methods are for its run goroutine only.
type watcher struct {
	sources Sources
	client  *store.Client
	// reader reads changes of the whole store from other VMs or the store. It
	// is nil if the VM reads from the store only.
	reader     *feed.Reader
	batchDelay time.Duration
	// apply applies a change and returns the service of each upstream that it
	// adds or updates, by key. peers returns the number of enrolled VMs, and
	// services the names of the configured services.
	apply    func(ctx context.Context, c follow.Change) map[string]string
	peers    func() int
	services func() []string
	log      zerolog.Logger

	changes *ring.Ring[follow.Change]
	// shards receives the value of shardsKey at the start of the VM, or nil if
	// there is none.
	shards *ring.Ring[[]string]
	subset *follow.Subset
	// appliedRevisions holds the revision of each key that was applied. A
	// follower that is stopped while it emits a change is ahead of it.
	appliedRevisions map[string]uint64
	// stopFuncs holds a function for each running follower that stops it and
	// waits for its end.
	stopFuncs []func()
	// followers are the running followers, or nil for none.
	followers atomic.Pointer[[]*follow.Follower]
}

func newWatcher(s Sources, c *store.Client, batchDelay time.Duration, seed uint64, log zerolog.Logger) *watcher {
	return &watcher{
		sources:          s,
		client:           c,
		batchDelay:       batchDelay,
		log:              log,
		changes:          ring.New[follow.Change](changeCap, ring.Wait),
		shards:           ring.New[[]string](1, ring.Wait),
		subset:           follow.NewSubset(s.RegistryPrefix, seed),
		appliedRevisions: make(map[string]uint64),
	}
}

// run follows all keys until ctx ends, or only a part of them once there are
// many VMs.
func (w *watcher) run(ctx context.Context) {
	go w.readShards(ctx)
	fallback := time.NewTimer(shardsWait)
	defer fallback.Stop()
	ticker := time.NewTicker(growInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.changes.Out():
			w.applyChange(ctx, c)
			if !w.subset.Split() {
				continue
			}
			go w.writeShards(ctx, w.subset.All())
		case <-fallback.C:
			w.start(ctx, w.client, "")
			continue
		case shards := <-w.shards.Out():
			switch {
			case len(shards) == 0 && w.followers.Load() == nil:
				fallback.Reset(0)
				continue
			case len(shards) == 0 || w.subset.Shards() != nil:
				continue
			}
			fallback.Stop()
			w.subset.Adopt(shards)
		case <-ticker.C:
			if w.grow(ctx) {
				ticker.Stop()
			}
			continue
		}
		w.followSubset(ctx)
		ticker.Reset(growInterval)
	}
}

// readShards reads shardsKey once and sends the result to shards.
func (w *watcher) readShards(ctx context.Context) {
	e, err := w.client.Get(ctx, shardsKey)
	if err != nil {
		w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: Reading the registry shards failed.")
		w.shards.Put(ctx, nil)
		return
	}
	var shards []string
	if e.Revision() != 0 {
		if err := json.Unmarshal(e.Value(), &shards); err != nil {
			w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: Invalid registry shards.")
		}
	}
	w.shards.Put(ctx, shards)
}

// writeShards creates shardsKey, unless another VM has already done so.
func (w *watcher) writeShards(ctx context.Context, shards []string) {
	value, err := json.Marshal(shards)
	if err == nil {
		_, err = w.client.Put(ctx, shardsKey, value, 0, "")
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: Writing the registry shards failed.")
	}
}

// start starts a follower of the keys with a prefix.
func (w *watcher) start(ctx context.Context, c *store.Client, prefix string) {
	known := make(map[string]uint64)
	for key, revision := range w.appliedRevisions {
		if strings.HasPrefix(key, prefix) {
			known[key] = revision
		}
	}
	emit := func(ctx context.Context, c follow.Change) { w.changes.Put(ctx, c) }
	f := follow.New(c, prefix, w.batchDelay, emit, w.log).WithKnown(known)
	if prefix == "" && w.reader != nil {
		f.ReadFrom(w.reader)
	}
	running := []*follow.Follower{f}
	if old := w.followers.Load(); old != nil {
		running = append(slices.Clone(*old), f)
	}
	w.followers.Store(&running)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	w.stopFuncs = append(w.stopFuncs, func() {
		cancel()
		<-done
	})
}

// stop stops all followers and applies the changes that they have queued.
func (w *watcher) stop(ctx context.Context) {
	for _, stop := range w.stopFuncs {
		stop()
	}
	w.stopFuncs = nil
	w.followers.Store(nil)
	for w.changes.Len() > 0 {
		w.applyChange(ctx, <-w.changes.Out())
	}
}

// applyChange applies a change and updates the inputs of the subset decision.
func (w *watcher) applyChange(ctx context.Context, c follow.Change) {
	for _, key := range c.Deleted() {
		delete(w.appliedRevisions, key)
		w.subset.Drop(key)
	}
	for _, e := range c.Put() {
		w.appliedRevisions[e.Key()] = e.Revision()
	}
	for key, service := range w.apply(ctx, c) {
		w.subset.Put(key, service)
	}
	w.subset.SetVMs(w.peers())
}

// followSubset replaces the running followers by ones of the registry shards
// that this VM follows, and drops the upstreams of all other shards.
func (w *watcher) followSubset(ctx context.Context) {
	w.stop(ctx)
	var dropped []string
	for key := range w.appliedRevisions {
		if w.sources.ID(key) != "" && !w.subset.Follows(key) {
			dropped = append(dropped, key)
		}
	}
	w.applyChange(ctx, follow.NewChange(nil, dropped))
	w.log.Info().Int("vms", w.peers()).Int("dropped", len(dropped)).Strs("shards", w.subset.Shards()).
		Msg("edge: Only a part of the registry is followed.")
	client := w.client.CopyWithDeadline(sharedCallTimeout)
	for _, prefix := range slices.Concat(w.sources.OperatorPrefixes, []string{w.sources.EnrolledPrefix, movesPrefix, evidencePrefix}, w.subset.Shards()) {
		w.start(ctx, client, prefix)
	}
}

// grow follows one more shard if the VM knows too few upstreams of a service and
// has read all shards that it follows. When few VMs are left, it returns to the
// whole registry and reports true.
func (w *watcher) grow(ctx context.Context) bool {
	unread := func(f *follow.Follower) bool { return !f.HasAnswer() }
	if w.changes.Len() > 0 || slices.ContainsFunc(*w.followers.Load(), unread) {
		return false
	}
	if w.subset.Join() {
		w.log.Info().Int("vms", w.peers()).Msg("edge: The whole registry is followed.")
		w.stop(ctx)
		w.start(ctx, w.client, "")
		return true
	}
	if shard := w.subset.Grow(w.services()); shard != "" {
		w.log.Info().Str("shard", shard).Msg("edge: Another part of the registry is followed.")
		w.start(ctx, w.client.CopyWithDeadline(sharedCallTimeout), shard)
	}
	return false
}

// age returns the time since the store last confirmed the keys of the follower
// that is furthest behind. It may be called concurrently.
func (w *watcher) age() time.Duration {
	oldest := time.Duration(0)
	if running := w.followers.Load(); running != nil {
		for _, f := range *running {
			oldest = max(oldest, f.Age())
		}
	}
	return oldest
}
