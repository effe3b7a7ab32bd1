package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// longPollWait is how long the store may hold a watch without an event.
	longPollWait = 20 * time.Second
	// maxConcurrentAsks bounds the number of peers asked at the same time.
	maxConcurrentAsks = 16
	// answerCapacity and hintCapacity are the capacities of the rings in events.
	answerCapacity = 64
	hintCapacity   = 64
)

// Duty runs a Core and performs its actions with the store and the peers. Only
// Run's goroutine uses the core; the other methods may be called concurrently,
// except for those that must be called before Run.
type Duty struct {
	core   *Core
	client *store.Client
	log    zerolog.Logger
	now    func() time.Time
	// ask returns a peer's encoded head, or nil if it has none.
	ask func(ctx context.Context, peer *world.VM) ([]byte, error)
	// parts returns the values that a peer has, by key.
	parts func(ctx context.Context, peer *world.VM, keys []string) (map[string][]byte, error)
	// publish is called with each adopted revision, in order, from Run's
	// goroutine.
	publish func(*Snapshot)

	// answers carries the results of operations, none of which may be lost.
	// hints carries peer reports and VM lists; both are repeated regularly, so
	// the oldest may be dropped.
	answers *ring.Ring[Event]
	hints   *ring.Ring[Event]
	latest  atomic.Pointer[Snapshot]
	// askSlots is the semaphore of maxConcurrentAsks.
	askSlots chan struct{}
	workers  sync.WaitGroup
	// vms holds the listed VMs by name; only Run's goroutine uses it.
	vms map[string]*world.VM
}

// NewDuty returns a duty without access to peers, whose adopted revisions are
// available from Snapshot only. See WithPeers and WithPublish.
func NewDuty(core *Core, client *store.Client, log zerolog.Logger) *Duty {
	d := &Duty{
		core:   core,
		client: client,
		log:    log,
		now:    time.Now,
		ask: func(context.Context, *world.VM) ([]byte, error) {
			return nil, errors.New("config: no peer access")
		},
		parts: func(context.Context, *world.VM, []string) (map[string][]byte, error) {
			return nil, errors.New("config: no peer access")
		},
		publish:  func(*Snapshot) {},
		answers:  ring.New[Event](answerCapacity, ring.Wait),
		hints:    ring.New[Event](hintCapacity, ring.DropOldest),
		askSlots: make(chan struct{}, maxConcurrentAsks),
	}
	d.latest.Store(core.Current())
	return d
}

// WithPeers sets the functions that call a peer: ask returns its encoded head,
// or nil if it has none, and parts the values that it has, by key. Both must
// apply a timeout of their own and may be called concurrently. Call WithPeers
// before Run.
func (d *Duty) WithPeers(
	ask func(ctx context.Context, peer *world.VM) ([]byte, error),
	parts func(ctx context.Context, peer *world.VM, keys []string) (map[string][]byte, error),
) *Duty {
	d.ask = ask
	d.parts = parts
	return d
}

// WithPublish sets the function that is called with each adopted revision. It
// must not block. Call WithPublish before Run.
func (d *Duty) WithPublish(publish func(*Snapshot)) *Duty {
	d.publish = publish
	return d
}

// Snapshot returns the revision in force. It is never nil; before the first
// revision it is an empty snapshot.
func (d *Duty) Snapshot() *Snapshot { return d.latest.Load() }

// ReportPeer reports the revision in force at a peer and its encoded head,
// which may be nil. It does not block.
func (d *Duty) ReportPeer(peer string, revision uint64, head []byte) {
	d.hints.Put(context.Background(), PeerReported(peer, revision, head))
}

// SetMembers replaces the list of VMs. It does not block.
func (d *Duty) SetMembers(vms []*world.VM) {
	d.hints.Put(context.Background(), Members(vms))
}

// Run steps the core and performs its actions until ctx ends, and then waits
// for the pending operations. It always returns nil.
func (d *Duty) Run(ctx context.Context) error {
	defer d.workers.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	e := Start()
	for {
		for _, a := range d.core.Step(d.now(), e) {
			if a.kind == Wake {
				timer.Reset(a.at.Sub(d.now()))
				continue
			}
			d.perform(ctx, a)
		}
		select {
		case <-ctx.Done():
			return nil
		case e = <-d.answers.Out():
		case e = <-d.hints.Out():
			if e.kind == evMembers {
				d.indexVMs(e.vms)
			}
		case <-timer.C:
			e = Tick()
		}
	}
}

func (d *Duty) indexVMs(vms []*world.VM) {
	d.vms = make(map[string]*world.VM, len(vms))
	for _, v := range vms {
		d.vms[v.Name()] = v
	}
}

// perform carries out an action other than Wake. Each operation runs on a
// goroutine of its own; the core limits how many are pending.
func (d *Duty) perform(ctx context.Context, a Action) {
	switch a.kind {
	case Publish:
		d.latest.Store(a.snapshot)
		d.publish(a.snapshot)
		return
	case Reject:
		d.log.Warn().Err(a.err).Msg("config: Head or revision rejected.")
		return
	}
	peer := d.vms[a.peer]
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		d.answers.Put(ctx, d.execute(ctx, a, peer))
	}()
}

// execute blocks until the operation is done and returns its answer.
func (d *Duty) execute(ctx context.Context, a Action, peer *world.VM) Event {
	switch a.kind {
	case Read:
		return d.readHead(ctx, a)
	case Watch:
		return d.watchHead(ctx, a)
	case Ask:
		return d.askPeer(ctx, a, peer)
	case Repair:
		return d.repair(ctx, a)
	default:
		return d.fetchParts(ctx, a, peer)
	}
}

// readHead lists the key instead of getting it, because a list also returns the
// store's current revision, after which to watch. The revision of the key may
// have been compacted long ago.
func (d *Duty) readHead(ctx context.Context, a Action) Event {
	entries, revision, err := d.client.List(ctx, HeadKey)
	if err != nil {
		d.log.Debug().Err(err).Msg("config: Reading the head failed.")
		return ReadFailed(a.op)
	}
	for _, e := range entries {
		if e.Key() == HeadKey {
			return HeadRead(a.op, e.Value(), revision)
		}
	}
	return HeadRead(a.op, nil, revision)
}

func (d *Duty) watchHead(ctx context.Context, a Action) Event {
	events, revision, err := d.client.Watch(ctx, HeadKey, a.after, longPollWait)
	if err != nil {
		d.log.Debug().Err(err).Msg("config: Watching the head failed.")
		return WatchFailed(a.op, errors.Is(err, store.ErrCompacted))
	}
	var heads [][]byte
	for _, e := range events {
		if e.Entry().Key() == HeadKey && !e.Deleted() {
			heads = append(heads, e.Entry().Value())
		}
	}
	return Watched(a.op, heads, revision)
}

func (d *Duty) askPeer(ctx context.Context, a Action, peer *world.VM) Event {
	if peer == nil {
		return PeerAnswered(a.op, a.peer, nil)
	}
	select {
	case d.askSlots <- struct{}{}:
		defer func() { <-d.askSlots }()
	case <-ctx.Done():
		return PeerAnswered(a.op, a.peer, nil)
	}
	head, err := d.ask(ctx, peer)
	if err != nil {
		d.log.Debug().Err(err).Str("peer", a.peer).Msg("config: Asking a peer for its head failed.")
		return PeerAnswered(a.op, a.peer, nil)
	}
	return PeerAnswered(a.op, a.peer, head)
}

func (d *Duty) fetchParts(ctx context.Context, a Action, peer *world.VM) Event {
	if a.peer == "" {
		return d.loadParts(ctx, a)
	}
	if peer == nil {
		return PartsFailed(a.op)
	}
	found, err := d.parts(ctx, peer, a.keys)
	if err != nil {
		d.log.Debug().Err(err).Str("peer", a.peer).Msg("config: Fetching parts from a peer failed.")
		return PartsFailed(a.op)
	}
	return PartsRead(a.op, found)
}

// loadParts reads parts from the store and stops at the first failure. The
// parts read before it are returned.
func (d *Duty) loadParts(ctx context.Context, a Action) Event {
	found := make(map[string][]byte, len(a.keys))
	for _, key := range a.keys {
		e, err := d.client.Get(ctx, key)
		if err != nil {
			d.log.Debug().Err(err).Msg("config: Reading a part failed.")
			break
		}
		if e.Revision() != 0 {
			found[key] = e.Value()
		}
	}
	if len(found) == 0 {
		return PartsFailed(a.op)
	}
	return PartsRead(a.op, found)
}
