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
	// storeReads and storeWrites are the parts of the store's limits that the
	// configuration and moves of all entry VMs together may use, in operations
	// per second. Claims have a separate budget.
	storeReads  = 1200
	storeWrites = 60
	// submitReads and submitWrites are the budget of the submissions at one VM,
	// in operations per second.
	submitReads  = 500
	submitWrites = 100
	// startWait is how long a caller of a VM that has just started waits for the
	// first configuration. It arrives within a second if the store or the peers
	// answer.
	startWait = 2 * time.Second
)

// newStore returns the store client for configuration and moves. Its budget is
// set when a VM list arrives.
func newStore(s *Settings) *store.Client { return store.New(s.Store, s.Seed) }

// newConfig returns the duty that follows the configuration.
func newConfig(s *Settings, c *store.Client, peers *peer.Client, log zerolog.Logger) *config.Duty {
	self := world.NewVM(s.Name, world.Entry, s.Peer, s.Domain, s.Region)
	core := config.New(self, s.Seed, build.NewBuilder().Config)
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

// broadcast wakes all goroutines that wait for the next change of a value. The
// zero value is ready for use.
type broadcast struct {
	channel atomic.Pointer[chan struct{}]
}

// wait returns a channel that is closed at the next call of wake.
func (b *broadcast) wait() <-chan struct{} {
	for {
		if c := b.channel.Load(); c != nil {
			return *c
		}
		c := make(chan struct{})
		if b.channel.CompareAndSwap(nil, &c) {
			return c
		}
	}
}

// wake wakes all goroutines that wait now.
func (b *broadcast) wake() {
	if c := b.channel.Swap(nil); c != nil {
		close(*c)
	}
}

// applySnapshot puts the configuration of a snapshot in force.
func (n *Node) applySnapshot(s *config.Snapshot) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n.Configure(ctx, s.Config())
	n.changed.wake()
}

// awaitRevision waits until the revision in force is higher than after or ctx
// ends.
func (n *Node) awaitRevision(ctx context.Context, after uint64) {
	for {
		changed := n.changed.wait()
		if n.configDuty.Snapshot().Revision() > after {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// current returns the configuration in force. On a VM that has just started it
// waits up to startWait for the first one, so that callers are not refused.
func (n *Node) current() *world.Config {
	if m := n.config.Load(); m != nil {
		return m
	}
	ctx, cancel := context.WithTimeout(context.Background(), startWait)
	defer cancel()
	n.awaitRevision(ctx, 0)
	return n.config.Load()
}

// head returns the record of the revision in force, which names its author.
func (n *Node) head() *submit.Head {
	h, err := submit.DecodeHead(n.configDuty.Snapshot().Encoded())
	if err != nil {
		// The record was already decoded when the revision was adopted, so this
		// can't happen.
		n.log.Error().Err(err).Msg("config: The head in force is unreadable.")
		return &submit.Head{}
	}
	return h
}
