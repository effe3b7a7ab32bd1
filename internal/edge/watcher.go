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
	// that one that starts later need not read everything first.
	shardsKey = "registry/shards"
	// shardsWait is how long a VM waits for shardsKey before it follows
	// everything. When 300 VMs start together, the answers take over 200 ms,
	// and a list of everything for each of them takes the links for 30 s.
	shardsWait = 2 * time.Second
	// changeCap is the number of changes that wait for the duty; followers
	// wait when it is full.
	changeCap = 16
	// growEvery is the time between two looks at whether a VM that follows a
	// part of the registry knows enough upstreams of each service.
	growEvery = time.Second
	// patience bounds a call of the store by a VM that is one of many. Their
	// answers queue up for seconds on the links between regions, and asking
	// again would make the queue longer. It is the time after which rules hold
	// again for a VM that was cut off.
	patience = 4 * time.Second
)

// watcher is the duty that applies changes of the store, and decides which
// keys the VM follows.
type watcher struct {
	sources Sources
	client  *store.Client
	// reader reads changes of the whole store, also from other VMs; nil for
	// the store only.
	reader *feed.Reader
	gather time.Duration
	// apply applies a change and returns the service of each upstream that it
	// lists, by key; peers returns the number of enrolled VMs.
	apply    func(ctx context.Context, c follow.Change) map[string]string
	peers    func() int
	services func() []string
	log      zerolog.Logger

	changes *ring.Ring[follow.Change]
	// shards takes what shardsKey held when the VM started, nil for no key.
	shards *ring.Ring[[]string]
	subset *follow.Subset
	// known holds the revision of each key that was applied. A follower that
	// is stopped while it hands over a change knows more than that.
	known map[string]uint64
	// stops ends the followers that run.
	stops []func()
	// followers are those that run.
	followers atomic.Pointer[[]*follow.Follower]
}

func newWatcher(s Sources, c *store.Client, gather time.Duration, seed uint64, log zerolog.Logger) *watcher {
	return &watcher{
		sources: s,
		client:  c,
		gather:  gather,
		log:     log,
		changes: ring.New[follow.Change](changeCap, ring.Wait),
		shards:  ring.New[[]string](1, ring.Wait),
		subset:  follow.NewSubset(s.Registry, seed),
		known:   make(map[string]uint64),
	}
}

// run follows all keys, and only a part of them once there are many VMs, until
// ctx ends.
func (w *watcher) run(ctx context.Context) {
	go w.readShards(ctx)
	whole := time.NewTimer(shardsWait)
	defer whole.Stop()
	ticker := time.NewTicker(growEvery)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-w.changes.Out():
			w.changed(ctx, c)
			if !w.subset.Split() {
				continue
			}
			go w.writeShards(ctx, w.subset.All())
		case <-whole.C:
			w.start(ctx, w.client, "")
			continue
		case shards := <-w.shards.Out():
			switch {
			case len(shards) == 0 && w.followers.Load() == nil:
				whole.Reset(0)
				continue
			case len(shards) == 0 || w.subset.Shards() != nil:
				continue
			}
			whole.Stop()
			w.subset.Adopt(shards)
		case <-ticker.C:
			if w.grow(ctx) {
				ticker.Stop()
			}
			continue
		}
		w.split(ctx)
		ticker.Reset(growEvery)
	}
}

// readShards reads shardsKey once.
func (w *watcher) readShards(ctx context.Context) {
	e, err := w.client.Get(ctx, shardsKey)
	if err != nil {
		w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: The shards of the registry are not known.")
		w.shards.Put(ctx, nil)
		return
	}
	var shards []string
	if e.Revision() != 0 {
		if err := json.Unmarshal(e.Value(), &shards); err != nil {
			w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: The shards of the registry can't be read.")
		}
	}
	w.shards.Put(ctx, shards)
}

// writeShards writes shardsKey, unless another VM was first.
func (w *watcher) writeShards(ctx context.Context, shards []string) {
	value, err := json.Marshal(shards)
	if err == nil {
		_, err = w.client.Put(ctx, shardsKey, value, 0, "")
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		w.log.Warn().Err(err).Str("key", shardsKey).Msg("edge: The shards of the registry are not stored.")
	}
}

// start starts a follower.
func (w *watcher) start(ctx context.Context, c *store.Client, prefix string) {
	known := make(map[string]uint64)
	for key, revision := range w.known {
		if strings.HasPrefix(key, prefix) {
			known[key] = revision
		}
	}
	emit := func(ctx context.Context, c follow.Change) { w.changes.Put(ctx, c) }
	f := follow.New(c, prefix, w.gather, emit, w.log).WithKnown(known)
	if prefix == "" && w.reader != nil {
		f.From(w.reader)
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
	w.stops = append(w.stops, func() {
		cancel()
		<-done
	})
}

// stop ends all followers and applies what they handed over.
func (w *watcher) stop(ctx context.Context) {
	for _, stop := range w.stops {
		stop()
	}
	w.stops = nil
	w.followers.Store(nil)
	for w.changes.Len() > 0 {
		w.changed(ctx, <-w.changes.Out())
	}
}

// changed applies a change.
func (w *watcher) changed(ctx context.Context, c follow.Change) {
	for _, key := range c.Gone() {
		delete(w.known, key)
		w.subset.Drop(key)
	}
	for _, e := range c.Put() {
		w.known[e.Key()] = e.Revision()
	}
	for key, service := range w.apply(ctx, c) {
		w.subset.Put(key, service)
	}
	w.subset.SetVMs(w.peers())
}

// split goes over to a part of the registry.
func (w *watcher) split(ctx context.Context) {
	w.stop(ctx)
	var gone []string
	for key := range w.known {
		if w.sources.ID(key) != "" && !w.subset.Follows(key) {
			gone = append(gone, key)
		}
	}
	w.changed(ctx, follow.NewChange(nil, gone))
	w.log.Info().Int("vms", w.peers()).Int("dropped", len(gone)).Strs("shards", w.subset.Shards()).
		Msg("edge: Only a part of the registry is followed.")
	client := w.client.Patient(patience)
	for _, prefix := range slices.Concat(w.sources.Operators, []string{w.sources.Enrolled, movesPrefix, evidencePrefix}, w.subset.Shards()) {
		w.start(ctx, client, prefix)
	}
}

// grow follows one shard more if the VM knows too few upstreams of a service,
// once it has read those that it follows. It goes back to the whole registry,
// and returns true, when few VMs are left.
func (w *watcher) grow(ctx context.Context) bool {
	unread := func(f *follow.Follower) bool { return !f.Heard() }
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
		w.start(ctx, w.client.Patient(patience), shard)
	}
	return false
}

// age returns how old the oldest knowledge of the store is. It may be called
// concurrently.
func (w *watcher) age() time.Duration {
	oldest := time.Duration(0)
	if running := w.followers.Load(); running != nil {
		for _, f := range *running {
			oldest = max(oldest, f.Age())
		}
	}
	return oldest
}
