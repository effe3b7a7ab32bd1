package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/call"
	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/plain"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// platformWrites and platformReads are the parts of the store's limits that
	// the claims of all VMs may use; the rest is for configuration and moves.
	platformWrites = 230.0
	platformReads  = 700.0
	// claimShare is the part of the platform's writes that claims may use; the
	// rest is for configuration, leases and verdicts.
	claimShare = 0.95
	// firstEntries is the number of entry VMs that is assumed before the first
	// VM list, that of today's deployments.
	firstEntries = 9
	// askCap bounds the claim operations that wait to be sent to peers.
	askCap = 1024
	// askers is the number of goroutines that send claim operations, so that
	// one silent peer does not hold up the others.
	askers = 16
	// askTimeout bounds one claim operation at a peer. The claim core uses the
	// store itself after the same time.
	askTimeout = 300 * time.Millisecond
)

// calls holds the duties that serve plain calls.
type calls struct {
	log    zerolog.Logger
	desk   *call.Desk
	roster *roster
	keeper *keeper
	client *plain.Client
	peers  *peer.Client
	// asks holds the operations on their way to peers.
	asks *ring.Ring[func(ctx context.Context)]
	// entries is the number of entry VMs that the rates were set for. Only the
	// members duty uses it.
	entries int
}

// newCalls returns the duties of a process that was not started yet. Each
// process has an incarnation of its own, or two claims could be taken for one.
func newCalls(s *Settings, peers *peer.Client, log zerolog.Logger) *calls {
	incarnation := rand.Uint64() | 1
	c := &calls{
		log:     log.With().Str("part", "calls").Logger(),
		roster:  newRoster(s.Name),
		client:  plain.New(),
		peers:   peers,
		asks:    ring.New[func(ctx context.Context)](askCap, ring.Refuse),
		entries: firstEntries,
	}
	c.keeper = newKeeper(store.New(s.Store, incarnation).
		WithBudget(platformReads/firstEntries, platformWrites/firstEntries).
		WithDeadline(keeperTimeout))
	claims := claim.New(s.Name, incarnation, claim.Slots, claimRate(firstEntries)).WithOwner(c.roster.owner)
	retries := budget.NewRetry(budget.Ratio, budget.Floor, budget.Burst)
	c.desk = call.NewDesk(claims, call.New(c.roster.live, retries), c.client).
		WithStore(c.keeper.read, c.keeper.write).
		WithPeers(c.ask)
	return c
}

// claimRate returns the slot writes a second of one of several entry VMs.
func claimRate(entries int) float64 { return claimShare * platformWrites / float64(entries) }

// start starts the duties.
func (c *calls) start(ctx context.Context, duty func(run func())) {
	duty(func() { c.desk.Run(ctx) })
	for range keepers {
		duty(func() { c.keeper.run(ctx) })
	}
	for range askers {
		duty(func() { c.send(ctx) })
	}
}

// follow takes a new VM list. Only the members duty calls it.
func (c *calls) follow(ctx context.Context, vms []*world.VM) {
	c.roster.follow(vms)
	n := max(c.roster.entries(), 1)
	if n == c.entries {
		return
	}
	c.entries = n
	// The claim core paces its writes; the client's budget allows for the time
	// in which the VMs see different lists.
	c.keeper.store.SetBudget(platformReads/float64(n), platformWrites/float64(n))
	c.desk.Pace(ctx, claimRate(n))
	c.log.Info().Int("entries", n).Float64("writes", claimRate(n)).Msg("calls: The share of the store's writes has changed.")
}

// drain waits until every outcome is in the store or ctx ends.
func (c *calls) drain(ctx context.Context) error { return c.desk.Drain(ctx) }

// close ends what is left after the duties have ended.
func (c *calls) close() { c.client.Close() }

// ask starts an operation at the soft owner of its slot. It returns false when
// the peer is not listed or too many operations wait.
func (c *calls) ask(name string, a claim.Ask, done func(v claim.Verdict, r *claim.Record)) bool {
	address, ok := c.roster.address(name)
	if !ok {
		return false
	}
	m, err := call.EncodeAsk(a)
	if err != nil {
		c.log.Error().Err(err).Msg("calls: A claim can't be encoded.")
		return false
	}
	return c.asks.Put(context.Background(), func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, askTimeout)
		defer stop()
		m, err := c.peers.Claim(ctx, address, m)
		if err != nil {
			c.roster.mute(name)
			c.log.Debug().Err(err).Str("peer", name).Msg("calls: The owner of a slot does not answer.")
			done(claim.Failed, nil)
			return
		}
		r := call.DecodeReply(m)
		done(r.Verdict(), r.Record())
	})
}

// send sends operations to peers until ctx ends.
func (c *calls) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-c.asks.Out():
			job(ctx)
		}
	}
}

// claimPeer carries out the operation of a peer that takes this VM for the soft
// owner of a slot. It returns an error for a request that can't be decoded.
func (n *Node) claimPeer(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	a, err := call.DecodeAsk(in)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	return call.EncodeReply(n.calls.desk.Claim(ctx, a))
}
