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
	// slotOpCap bounds the slot operations that wait. A claim core has at most
	// one operation in flight for each slot, so the ring is full only if the core
	// has a bug.
	slotOpCap = 1024
	// slotWorkers is the number of goroutines that perform slot operations. With
	// several, an operation that waits for the store does not block the others.
	slotWorkers = 16
	// slotOpTimeout bounds one slot operation. It is not longer than the store's
	// Retry-After during an outage, 1 s, so that callers are refused before a
	// read is retried.
	slotOpTimeout = time.Second
	// slotPrefix is the prefix of a claim slot's key, followed by its number.
	slotPrefix = "claim/"
)

// slotStore is the duty that reads and writes claim slots in the store.
type slotStore struct {
	ops   *ring.Ring[func(ctx context.Context)]
	store *store.Client
}

func newSlotStore(client *store.Client) *slotStore {
	return &slotStore{
		ops:   ring.New[func(ctx context.Context)](slotOpCap, ring.Refuse),
		store: client,
	}
}

// run performs slot operations until ctx ends. Several goroutines may call it.
func (s *slotStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-s.ops.Out():
			op(ctx)
		}
	}
}

// read queues the read of a slot. It returns false if the ring is full, and done
// is then never called.
func (s *slotStore) read(slot int, done func(r claim.Result, revision uint64, value []byte)) bool {
	return s.ops.Put(context.Background(), func(ctx context.Context) {
		e, err := s.store.Get(ctx, slotKey(slot))
		done(resultOf(err), e.Revision(), e.Value())
	})
}

// write queues the compare-and-swap of a slot. It returns false if the ring is
// full, and the write is then never sent.
func (s *slotStore) write(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool {
	return s.ops.Put(context.Background(), func(ctx context.Context) {
		next, err := s.store.Put(ctx, slotKey(slot), value, revision, "")
		done(resultOf(err), next)
	})
}

func slotKey(slot int) string { return slotPrefix + strconv.Itoa(slot) }

// resultOf returns what an error of the store client proves about an operation.
// An unknown error proves nothing: a write may have taken effect.
func resultOf(err error) claim.Result {
	switch {
	case err == nil:
		return claim.OK
	case errors.Is(err, store.ErrUnknown):
		return claim.Indeterminate
	case errors.Is(err, store.ErrConflict):
		return claim.Conflict
	case store.Throttled(err):
		return claim.Throttled
	case errors.IsAny(err, store.ErrUnavailable, store.ErrTooLarge, store.ErrRejected, store.ErrExpired):
		return claim.Unavailable
	default:
		return claim.Indeterminate
	}
}
