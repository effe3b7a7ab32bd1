package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/build"
	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// storeReads and storeWrites are the parts of the platform's limits that
	// configuration and moves of all entry VMs together may use; claims have a
	// budget of their own.
	storeReads  = 1200
	storeWrites = 60
	// submitReads and submitWrites are the budget of one VM's submissions.
	submitReads  = 500
	submitWrites = 100
	// startWait is how long a caller waits for the first configuration of a VM
	// that has just started. It arrives within a second while store or peers
	// answer.
	startWait = 2 * time.Second
)

// newStore returns the store client; its budget follows the VM list.
func newStore(s *Settings) *store.Client { return store.New(s.Store, s.Seed) }

// newConfig returns the duty that follows the configuration.
func newConfig(s *Settings, c *store.Client, peers *peer.Client, log zerolog.Logger) *config.Duty {
	self := world.NewVM(s.Name, world.Entry, s.Peer, s.Domain, s.Region)
	core := config.New(self, s.Seed, build.NewBuilder().Map)
	return config.NewDuty(core, c, log.With().Str("part", "config").Logger()).WithPeers(
		func(ctx context.Context, vm *world.VM) ([]byte, error) {
			out, err := peers.Exchange(ctx, vm.Address(), &wire.ExchangeRequest{Vm: s.Name})
			return out.GetHead(), err
		},
		func(ctx context.Context, vm *world.VM, keys []string) (map[string][]byte, error) {
			return peers.Parts(ctx, vm.Address(), keys)
		},
	)
}

// notice wakes everyone who waits for the next change of a value. The zero
// value is ready for use.
type notice struct {
	next atomic.Pointer[chan struct{}]
}

// wait returns a channel that is closed at the next call of wake.
func (t *notice) wait() <-chan struct{} {
	for {
		if c := t.next.Load(); c != nil {
			return *c
		}
		c := make(chan struct{})
		if t.next.CompareAndSwap(nil, &c) {
			return c
		}
	}
}

// wake ends every wait that has begun.
func (t *notice) wake() {
	if c := t.next.Swap(nil); c != nil {
		close(*c)
	}
}

// adopt puts a revision in force.
func (n *Node) adopt(s *config.Snapshot) {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	n.Configure(ctx, s.Map())
	n.changed.wake()
}

// await returns when the revision in force is above after or ctx ends.
func (n *Node) await(ctx context.Context, after uint64) {
	for {
		changed := n.changed.wait()
		if n.follow.Snapshot().Revision() > after {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// current returns the configuration in force. A VM that has just started waits
// for its first one for a short time, so that callers are not refused.
func (n *Node) current() *world.Map {
	if m := n.config.Load(); m != nil {
		return m
	}
	ctx, stop := context.WithTimeout(context.Background(), startWait)
	defer stop()
	n.await(ctx, 0)
	return n.config.Load()
}

// head returns the record of the revision in force, with who made it.
func (n *Node) head() *submit.Head {
	h, err := submit.DecodeHead(n.follow.Snapshot().Encoded())
	if err != nil {
		// The record was decoded when it was adopted, so it can't fail here.
		n.log.Error().Err(err).Msg("config: The head in force is unreadable.")
		return &submit.Head{}
	}
	return h
}
