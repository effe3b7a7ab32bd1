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
	// wait is the length of one long poll.
	wait = 20 * time.Second
	// asking is the number of peers asked at the same time.
	asking = 16
	// answerRing and hintRing are the capacities of the rings.
	answerRing = 64
	hintRing   = 64
)

// Duty performs the actions of a Core with the store and the peers. Run owns
// the core; the other methods may be called from any goroutine.
type Duty struct {
	core   *Core
	client *store.Client
	log    zerolog.Logger
	now    func() time.Time
	// ask returns a peer's encoded head, or nil if it has none.
	ask func(ctx context.Context, peer *world.VM) ([]byte, error)
	// parts returns the values that a peer has, by key.
	parts func(ctx context.Context, peer *world.VM, keys []string) (map[string][]byte, error)
	// publish gets each adopted revision, in order, from the duty's goroutine.
	publish func(*Snapshot)

	// answers carries the results of operations, none of which may be lost;
	// hints carries what peers and the list say, which is repeated anyway.
	answers *ring.Ring[Event]
	hints   *ring.Ring[Event]
	latest  atomic.Pointer[Snapshot]
	asks    chan struct{}
	workers sync.WaitGroup
	// vms holds the listed VMs by name; only Run's goroutine uses it.
	vms map[string]*world.VM
}

// NewDuty returns a duty that knows no peers and publishes to nobody.
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
		publish: func(*Snapshot) {},
		answers: ring.New[Event](answerRing, ring.Wait),
		hints:   ring.New[Event](hintRing, ring.DropOldest),
		asks:    make(chan struct{}, asking),
	}
	d.latest.Store(core.Force())
	return d
}

// WithPeers sets the access to peers. Both functions must end by a deadline of
// their own. Call it before Run.
func (d *Duty) WithPeers(
	ask func(ctx context.Context, peer *world.VM) ([]byte, error),
	parts func(ctx context.Context, peer *world.VM, keys []string) (map[string][]byte, error),
) *Duty {
	d.ask = ask
	d.parts = parts
	return d
}

// WithPublish sets the function that gets each adopted revision. It must not
// block. Call it before Run.
func (d *Duty) WithPublish(publish func(*Snapshot)) *Duty {
	d.publish = publish
	return d
}

// Snapshot returns the revision in force, for answers to peers; it is never
// nil.
func (d *Duty) Snapshot() *Snapshot { return d.latest.Load() }

// Hear passes on the revision in force at a peer and its encoded head, which
// may be nil.
func (d *Duty) Hear(peer string, revision uint64, head []byte) {
	d.hints.Put(context.Background(), Peer(peer, revision, head))
}

// SetMembers passes on the VM list.
func (d *Duty) SetMembers(vms []*world.VM) {
	d.hints.Put(context.Background(), Members(vms))
}

// Run performs the duty until ctx ends.
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
				d.list(e.vms)
			}
		case <-timer.C:
			e = Tick()
		}
	}
}

func (d *Duty) list(vms []*world.VM) {
	d.vms = make(map[string]*world.VM, len(vms))
	for _, v := range vms {
		d.vms[v.Name()] = v
	}
}

// perform carries out an action; an operation runs on a goroutine of its own,
// whose number the core bounds.
func (d *Duty) perform(ctx context.Context, a Action) {
	switch a.kind {
	case Publish:
		d.latest.Store(a.snapshot)
		d.publish(a.snapshot)
		return
	case Reject:
		d.log.Warn().Err(a.err).Msg("config: A head is not usable.")
		return
	}
	peer := d.vms[a.peer]
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		d.answers.Put(ctx, d.operate(ctx, a, peer))
	}()
}

// operate blocks until the operation is done and returns its answer.
func (d *Duty) operate(ctx context.Context, a Action, peer *world.VM) Event {
	switch a.kind {
	case Read:
		return d.readHead(ctx, a)
	case Watch:
		return d.watchHead(ctx, a)
	case Ask:
		return d.askPeer(ctx, a, peer)
	default:
		return d.fetchParts(ctx, a, peer)
	}
}

// readHead lists instead of getting the key, because the list tells the
// store's revision to watch after. That of the key may be long compacted.
func (d *Duty) readHead(ctx context.Context, a Action) Event {
	entries, revision, err := d.client.List(ctx, HeadKey)
	if err != nil {
		d.log.Debug().Err(err).Msg("config: The head was not read.")
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
	events, revision, err := d.client.Watch(ctx, HeadKey, a.after, wait)
	if err != nil {
		d.log.Debug().Err(err).Msg("config: The watch failed.")
		return WatchFailed(a.op, errors.Is(err, store.ErrCompacted))
	}
	var heads [][]byte
	for _, e := range events {
		if e.Entry().Key() == HeadKey && !e.Gone() {
			heads = append(heads, e.Entry().Value())
		}
	}
	return Watched(a.op, heads, revision)
}

func (d *Duty) askPeer(ctx context.Context, a Action, peer *world.VM) Event {
	if peer == nil {
		return Asked(a.op, a.peer, nil)
	}
	select {
	case d.asks <- struct{}{}:
		defer func() { <-d.asks }()
	case <-ctx.Done():
		return Asked(a.op, a.peer, nil)
	}
	head, err := d.ask(ctx, peer)
	if err != nil {
		d.log.Debug().Err(err).Str("peer", a.peer).Msg("config: A peer did not answer.")
		return Asked(a.op, a.peer, nil)
	}
	return Asked(a.op, a.peer, head)
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
		d.log.Debug().Err(err).Str("peer", a.peer).Msg("config: A peer gave no parts.")
		return PartsFailed(a.op)
	}
	return PartsRead(a.op, found)
}

// loadParts reads parts from the store, up to the first failure.
func (d *Duty) loadParts(ctx context.Context, a Action) Event {
	found := make(map[string][]byte, len(a.keys))
	for _, key := range a.keys {
		e, err := d.client.Get(ctx, key)
		if err != nil {
			d.log.Debug().Err(err).Msg("config: A part was not read.")
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
