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
	// claimWriteLimit and claimReadLimit are the parts of the store's limits that
	// the claims of all entry VMs together may use, in operations per second. The
	// rest is for configuration and moves.
	claimWriteLimit = 230.0
	claimReadLimit  = 700.0
	// claimWriteShare is the share of the write limit that claims may use. The
	// rest is for configuration, leases and verdicts.
	claimWriteShare = 0.95
	// initialEntries is the number of entry VMs that is assumed before the first
	// VM list arrives. Present deployments have this many.
	initialEntries = 9
	// claimRequestCap bounds the claim operations that wait to be sent to peers.
	claimRequestCap = 1024
	// claimSenders is the number of goroutines that send claim operations to
	// peers. With several, an unresponsive peer does not block the others.
	claimSenders = 16
	// claimTimeout bounds one claim operation at a peer. After the same time the
	// claim core of the requesting VM uses the store itself.
	claimTimeout = 300 * time.Millisecond
)

// calls holds the duties that serve plain calls.
type calls struct {
	log       zerolog.Logger
	server    *call.Server
	directory *directory
	slots     *slotStore
	client    *plain.Client
	peers     *peer.Client
	// requests holds the operations that wait to be sent to peers.
	requests *ring.Ring[func(ctx context.Context)]
	// entries is the number of entry VMs that the current rates are for. Only
	// the members duty uses it.
	entries int
}

// newCalls returns the duties for plain calls. It draws a random incarnation for
// each process, because claims of two processes with the same incarnation could
// be taken for one claim.
func newCalls(s *Settings, peers *peer.Client, log zerolog.Logger) *calls {
	incarnation := rand.Uint64() | 1
	c := &calls{
		log:       log.With().Str("part", "calls").Logger(),
		directory: newDirectory(s.Name),
		client:    plain.New(),
		peers:     peers,
		requests:  ring.New[func(ctx context.Context)](claimRequestCap, ring.Refuse),
		entries:   initialEntries,
	}
	slotClient := store.New(s.Store, incarnation).
		WithBudget(claimReadLimit/initialEntries, claimWriteLimit/initialEntries).
		WithDeadline(slotOpTimeout)
	if s.dial != nil {
		slotClient.WithDial(s.dial)
		c.client.WithDial(s.dial)
	}
	c.slots = newSlotStore(slotClient)
	claims := claim.New(s.Name, incarnation, claim.Slots, claimRate(initialEntries)).WithOwner(c.directory.owner)
	retries := budget.NewRetry(budget.DefaultRatio, budget.DefaultFloor, budget.DefaultBurst)
	c.server = call.NewServer(claims, call.New(c.directory.upstreams, retries), c.client).
		WithStore(c.slots.read, c.slots.write).
		WithPeers(c.requestClaim).
		WithRewritten(func(records int) {
			c.log.Warn().Int("records", records).Msg("claim: Records that the store had lost are written again.")
		})
	return c
}

// claimRate returns the number of slot writes per second that each VM may make
// if there are entryVMs entry VMs.
func claimRate(entryVMs int) float64 { return claimWriteShare * claimWriteLimit / float64(entryVMs) }

// start starts the duties with the given function.
func (c *calls) start(ctx context.Context, duty func(run func())) {
	duty(func() { c.server.Run(ctx) })
	for range slotWorkers {
		duty(func() { c.slots.run(ctx) })
	}
	for range claimSenders {
		duty(func() { c.sendRequests(ctx) })
	}
}

// setMembers replaces the VM list and adapts the rates to the number of entry
// VMs. Only the members duty calls it.
func (c *calls) setMembers(ctx context.Context, vms []*world.VM) {
	c.directory.setMembers(vms)
	n := max(c.directory.entryCount(), 1)
	if n == c.entries {
		return
	}
	c.entries = n
	// The claim core paces its writes below the budget of the store client. The
	// difference covers the time in which VMs have different lists.
	c.slots.store.SetBudget(claimReadLimit/float64(n), claimWriteLimit/float64(n))
	c.server.SetWriteRate(ctx, claimRate(n))
	c.log.Info().Int("entries", n).Float64("writes", claimRate(n)).Msg("calls: The share of the store's writes has changed.")
}

// drain waits until every outcome is stored or ctx ends.
func (c *calls) drain(ctx context.Context) error { return c.server.Drain(ctx) }

// close releases the connections to upstreams after the duties have ended.
func (c *calls) close() { c.client.Close() }

// requestClaim queues an operation for the peer with the given name, the soft
// owner of its slot. It returns false if the peer is not listed or too many
// operations wait. Otherwise done is called later, from another goroutine.
func (c *calls) requestClaim(name string, op claim.Operation, done func(v claim.Verdict, r *claim.Record)) bool {
	address, ok := c.directory.address(name)
	if !ok {
		return false
	}
	request, err := call.EncodeOperation(op)
	if err != nil {
		c.log.Error().Err(err).Msg("calls: A claim can't be encoded.")
		return false
	}
	return c.requests.Put(context.Background(), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		reply, err := c.peers.Claim(ctx, address, request)
		if err != nil {
			c.directory.markUnresponsive(name)
			c.log.Debug().Err(err).Str("peer", name).Msg("calls: The owner of a slot does not answer.")
			done(claim.Failed, nil)
			return
		}
		r := call.DecodeReply(reply)
		done(r.Verdict(), r.Record())
	})
}

// sendRequests sends queued operations to peers until ctx ends.
func (c *calls) sendRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case send := <-c.requests.Out():
			send(ctx)
		}
	}
}

// claimPeer performs an operation for a peer that considers this VM the soft
// owner of a slot. It returns an error if the request can't be decoded.
func (n *Node) claimPeer(ctx context.Context, in *wire.ClaimRequest) (*wire.ClaimReply, error) {
	op, err := call.DecodeOperation(in)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return call.EncodeReply(n.calls.server.Claim(ctx, op))
}
