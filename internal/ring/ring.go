package ring

import (
	"context"
	"sync/atomic"
)

// Policy states what Put does when a ring is full.
type Policy uint8

// The policies of a full ring.
const (
	// Wait blocks the producer until there is room or its context ends.
	Wait Policy = iota
	// Refuse rejects the new value.
	Refuse
	// DropOldest discards the oldest value and counts it.
	DropOldest
)

// Ring is a bounded first-in, first-out queue. Any number of goroutines may
// call Put; the values are read from Out.
type Ring[T any] struct {
	slots   chan T
	policy  Policy
	dropped atomic.Uint64
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{
		slots:  make(chan T, capacity),
		policy: policy,
	}
}

// Put adds v and reports whether the ring took it. It returns false when ctx
// ends first (Wait) or when the ring is full (Refuse).
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
	}
	switch r.policy {
	case Wait:
		return r.PutWait(ctx, v)
	case DropOldest:
		return r.replace(v)
	default:
		r.refused.Add(1)
		return false
	}
}

// Out returns the channel that values are read from. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.slots }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.slots) }

// Dropped returns the number of values discarded by DropOldest.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Refused returns the number of values rejected by Refuse.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// PutWait adds v whatever the policy, and waits for room until ctx ends.
func (r *Ring[T]) PutWait(ctx context.Context, v T) bool {
	select {
	case r.slots <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// replace makes room by removing the oldest value. Each pass either stores v
// or removes one value, so the loop ends without waiting on the consumer.
func (r *Ring[T]) replace(v T) bool {
	for {
		select {
		case r.slots <- v:
			return true
		default:
		}
		select {
		case <-r.slots:
			r.dropped.Add(1)
		default:
		}
	}
}
