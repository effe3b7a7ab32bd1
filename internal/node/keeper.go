package node

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/store"
)

const (
	// keeperCap bounds the slot operations that wait. A claim core has at most
	// one in flight for each of its slots, so that the ring is full only if the
	// core is wrong.
	keeperCap = 1024
	// keepers is the number of goroutines that carry out slot operations, so
	// that one that waits for its answer does not hold up the others.
	keepers = 16
	// keeperTimeout bounds one slot operation. It is not longer than the store's
	// Retry-After in an outage, 1 s, so that a read is not repeated before the
	// callers are refused.
	keeperTimeout = time.Second
	// slotPrefix precedes the number of a claim slot in its key.
	slotPrefix = "claim/"
)

// keeper is the duty that reads and writes claim slots in the store.
type keeper struct {
	jobs  *ring.Ring[func(ctx context.Context)]
	store *store.Client
}

func newKeeper(c *store.Client) *keeper {
	return &keeper{
		jobs:  ring.New[func(ctx context.Context)](keeperCap, ring.Refuse),
		store: c,
	}
}

// run carries out slot operations until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-k.jobs.Out():
			job(ctx)
		}
	}
}

// read starts the read of a slot and returns false when the ring is full.
func (k *keeper) read(slot int, done func(r claim.Result, revision uint64, value []byte)) bool {
	return k.jobs.Put(context.Background(), func(ctx context.Context) {
		e, err := k.store.Get(ctx, slotKey(slot))
		done(resultOf(err), e.Revision(), e.Value())
	})
}

// write starts the compare-and-swap of a slot and returns false when the ring
// is full; the write is then never sent.
func (k *keeper) write(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool {
	return k.jobs.Put(context.Background(), func(ctx context.Context) {
		next, err := k.store.Put(ctx, slotKey(slot), value, revision, "")
		done(resultOf(err), next)
	})
}

func slotKey(slot int) string { return slotPrefix + strconv.Itoa(slot) }

// resultOf returns what an error of the store proves. An error that is none of
// the store's own proves nothing.
func resultOf(err error) claim.Result {
	switch {
	case err == nil:
		return claim.OK
	case errors.Is(err, store.ErrUnknown):
		return claim.Unsure
	case errors.Is(err, store.ErrConflict):
		return claim.Conflict
	case store.Throttled(err):
		return claim.Throttled
	case errors.IsAny(err, store.ErrUnavailable, store.ErrTooLarge, store.ErrRejected, store.ErrExpired):
		return claim.Unavailable
	default:
		return claim.Unsure
	}
}
