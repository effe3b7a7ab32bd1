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
	// sampleCap bounds the samples that wait for the recorder. The ring counts
	// dropped samples; they are missing from the report.
	sampleCap = 4096
	// burnQueryCap bounds the queries for counters that wait.
	burnQueryCap = 16
	// burnFetchers is the number of peers that are queried at the same time for
	// a burn report.
	burnFetchers = 16
)

// burnRecorder is the duty that owns this VM's service-level counters, from
// which the burn rates of the error budgets are calculated.
type burnRecorder struct {
	vm          string
	incarnation uint64
	counters    *burn.Ledger
	samples     *ring.Ring[*burn.Sample]
	queries     *ring.Ring[chan<- *wire.BurnReply]
	now         func() time.Time
}

func newBurnRecorder(vm string, incarnation uint64) *burnRecorder {
	return &burnRecorder{
		vm:          vm,
		incarnation: incarnation,
		counters:    burn.NewLedger(),
		samples:     ring.New[*burn.Sample](sampleCap, ring.DropOldest),
		queries:     ring.New[chan<- *wire.BurnReply](burnQueryCap, ring.Refuse),
		now:         time.Now,
	}
}

// run counts samples and answers queries until ctx ends.
func (b *burnRecorder) run(ctx context.Context) {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-b.samples.Out():
			b.counters.Record(b.now(), s)
		case reply := <-b.queries.Out():
			reply <- b.counters.Reply(b.now(), b.vm, b.incarnation, nil)
		case <-tick.C:
			b.counters.CompactIfDue(b.now())
		}
	}
}

// record queues a sample. If too many wait, the oldest one is dropped.
func (b *burnRecorder) record(s *burn.Sample) { b.samples.Put(context.Background(), s) }

// reply returns the counters of this VM, or an empty reply if ctx ends or too
// many queries wait.
func (b *burnRecorder) reply(ctx context.Context) *wire.BurnReply {
	reply := make(chan *wire.BurnReply, 1)
	if !b.queries.Put(ctx, reply) {
		return &wire.BurnReply{}
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
		return &wire.BurnReply{}
	}
}

// newResumeSample returns the sample of a response that was resumed, or nil if
// it was not.
func newResumeSample(m *world.Config, r *relay.Response) *burn.Sample {
	d := r.Stats().Resume()
	s := m.Service(r.Request().Service())
	if d == 0 || s == nil {
		return nil
	}
	sample := burn.NewSample(s.Name(), r.Request().Workspace())
	sample.Count(burn.Resume, d <= s.Contract().Resume())
	return sample
}

// burnReport merges the counters of all listed entry VMs. The report names the
// VMs that did not answer.
func (n *Node) burnReport(ctx context.Context) *burn.Report {
	var mutex sync.Mutex
	replies := []*wire.BurnReply{n.burnRecorder.reply(ctx)}
	var unresponsive []string
	var fetches sync.WaitGroup
	semaphore := make(chan struct{}, burnFetchers)
	for _, vm := range n.currentMembers() {
		if vm.Kind() != world.Entry || vm.Name() == n.settings.Name {
			continue
		}
		semaphore <- struct{}{}
		fetches.Go(func() {
			defer func() { <-semaphore }()
			r, err := n.peers.Burn(ctx, vm.Address())
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unresponsive = append(unresponsive, vm.Name())
				return
			}
			replies = append(replies, r)
		})
	}
	fetches.Wait()
	return burn.Merge(time.Now(), n.config.Load(), replies, unresponsive)
}
