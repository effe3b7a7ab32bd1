package node

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/mover"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
)

// newMover returns the duty that runs moves, connected to the store, the
// engines, the dispatcher and the load reports.
func newMover(s *Settings, c *store.Client, log zerolog.Logger, events *ring.Ring[message], e *engine.Client, h *hooks, poller *loadPoller) *mover.Duty {
	incarnation := uint64(time.Now().UnixNano())
	d := mover.New(s.Name, incarnation, log.With().Str("part", "move").Logger()).
		WithStore(c).
		WithOrders(e.Order, s.PullInterval).
		WithLimit(func(ctx context.Context, service, version string, l move.Limits, banned bool) {
			events.Put(ctx, message{event: router.NewMoveLimits(service, version, l, banned)})
		})
	h.responseEnded = append(h.responseEnded, d.Report)
	poller.report = func(_ context.Context, vm *world.VM, l fleet.Load, err error) { d.SetLoad(vm, l, err) }
	return d
}

// Moves returns the moves as this VM sees them.
func (n *Node) Moves() []move.Status { return n.mover.Status() }
