package node

import (
	"context"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// sampleCap bounds the samples that wait for the ledger; a dropped one is
	// counted and missing from the report.
	sampleCap = 4096
	// replyCap bounds the burn reports that wait.
	replyCap = 16
	// burnAsks is the number of peers asked at a time for a burn report.
	burnAsks = 16
)

// ledger is the duty that owns the service-level counters.
type ledger struct {
	vm          string
	incarnation uint64
	book        *burn.Ledger
	samples     *ring.Ring[*burn.Sample]
	replies     *ring.Ring[chan<- *wire.BurnReply]
	now         func() time.Time
}

func newLedger(vm string, incarnation uint64) *ledger {
	return &ledger{
		vm:          vm,
		incarnation: incarnation,
		book:        burn.NewLedger(),
		samples:     ring.New[*burn.Sample](sampleCap, ring.DropOldest),
		replies:     ring.New[chan<- *wire.BurnReply](replyCap, ring.Refuse),
		now:         time.Now,
	}
}

// run counts samples and answers reports until ctx ends.
func (l *ledger) run(ctx context.Context) {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-l.samples.Out():
			l.book.Take(l.now(), s)
		case c := <-l.replies.Out():
			c <- l.book.Reply(l.now(), l.vm, l.incarnation, nil)
		case <-tick.C:
			l.book.Tick(l.now())
		}
	}
}

// take adds a sample; the oldest is dropped when too many wait.
func (l *ledger) take(s *burn.Sample) { l.samples.Put(context.Background(), s) }

// reply returns the counters of this VM, or an empty reply when ctx ends.
func (l *ledger) reply(ctx context.Context) *wire.BurnReply {
	c := make(chan *wire.BurnReply, 1)
	if !l.replies.Put(ctx, c) {
		return &wire.BurnReply{}
	}
	select {
	case r := <-c:
		return r
	case <-ctx.Done():
		return &wire.BurnReply{}
	}
}

// resumed returns the sample of a response that was resumed, or nil.
func resumed(m *world.Map, r *relay.Response) *burn.Sample {
	d := r.Stats().Resume()
	s := m.Service(r.Request().Service())
	if d == 0 || s == nil {
		return nil
	}
	sample := burn.NewSample(s.Name(), r.Request().Workspace())
	sample.Count(burn.Resume, d <= s.Contract().Resume())
	return sample
}

// burnReport gathers the counters of all listed entry VMs.
func (n *Node) burnReport(ctx context.Context) *burn.Report {
	var lock sync.Mutex
	replies := []*wire.BurnReply{n.ledger.reply(ctx)}
	var silent []string
	var asks sync.WaitGroup
	room := make(chan struct{}, burnAsks)
	for _, vm := range n.list() {
		if vm.Kind() != world.Entry || vm.Name() == n.settings.Name {
			continue
		}
		room <- struct{}{}
		asks.Go(func() {
			defer func() { <-room }()
			r, err := n.peers.Burn(ctx, vm.Address())
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				silent = append(silent, vm.Name())
				return
			}
			replies = append(replies, r)
		})
	}
	asks.Wait()
	return burn.Merge(time.Now(), n.config.Load(), replies, silent)
}
