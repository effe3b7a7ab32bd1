package ring

import (
	"context"
	"sync/atomic"
)

// Policy selects what Put does when a ring is full.
type Policy uint8

// The policies for a full ring.
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
	values  chan T
	policy  Policy
	dropped atomic.Uint64
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{
		values: make(chan T, capacity),
		policy: policy,
	}
}

// Put adds v and reports whether it was added. If the ring is full, Put follows
// the policy: with Wait it blocks and returns false if ctx ends first, with
// Refuse it returns false, and with DropOldest it always adds v.
func (r *Ring[T]) Put(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
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

// Out returns the channel from which values are received. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.values }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.values) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.values) }

// Dropped returns the number of values discarded by DropOldest.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Refused returns the number of values rejected by Refuse.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// PutWait adds v regardless of the policy. If the ring is full, it blocks and
// returns false if ctx ends first.
func (r *Ring[T]) PutWait(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

// replace discards the oldest values until there is room for v. Each pass either
// stores v or makes room by discarding a value, so the loop never waits for the
// consumer.
func (r *Ring[T]) replace(v T) bool {
	for {
		select {
		case r.values <- v:
			return true
		default:
		}
		select {
		case <-r.values:
			r.dropped.Add(1)
		default:
		}
	}
}
