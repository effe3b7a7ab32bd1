package node

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// cancelCap bounds the cancels that wait; a dropped one costs tokens on an
	// engine, never correctness, because the attempt is fenced here.
	cancelCap = 4096
	// cancelTimeout is the time that an engine has to confirm.
	cancelTimeout = 500 * time.Millisecond
	// cancelEvery is the time between two tries of one cancel.
	cancelEvery = time.Second
	// cancelFor is the time that an engine retains a stream, after which there
	// is nothing left to cancel.
	cancelFor = 30 * time.Second
	// cancellers is the number of goroutines that send new cancels, so that one
	// silent engine does not hold up the others.
	cancellers = 6
	// repeaters is the number of goroutines that repeat unconfirmed cancels.
	repeaters = 2
)

// order is one unconfirmed cancel.
type order struct {
	address string
	id      string
	attempt uint32
	// next is the time of the next try; until is the time to give up.
	next  time.Time
	until time.Time
}

// canceller is the duty that repeats cancels until they are confirmed.
type canceller struct {
	orders *ring.Ring[order]
	// repeats holds the unconfirmed cancels.
	repeats *ring.Ring[order]
	// send delivers one cancel and returns nil once it is confirmed.
	send func(ctx context.Context, address, id string, attempt uint32) error
	now  func() time.Time
}

func newCanceller(send func(ctx context.Context, address, id string, attempt uint32) error) *canceller {
	return &canceller{
		orders:  ring.New[order](cancelCap, ring.DropOldest),
		repeats: ring.New[order](cancelCap, ring.DropOldest),
		send:    send,
		now:     time.Now,
	}
}

func (c *canceller) put(ctx context.Context, address, id string, attempt uint32) {
	now := c.now()
	c.orders.Put(ctx, order{
		address: address,
		id:      id,
		attempt: attempt,
		next:    now,
		until:   now.Add(cancelFor),
	})
}

// run sends the cancels of a ring until ctx ends.
func (c *canceller) run(ctx context.Context, in *ring.Ring[order]) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-in.Out():
			c.try(ctx, o)
		}
	}
}

// try sends a cancel at its time and queues it again unless it is confirmed.
func (c *canceller) try(ctx context.Context, o order) {
	if wait := o.next.Sub(c.now()); wait > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
	limited, stop := context.WithTimeout(ctx, cancelTimeout)
	err := c.send(limited, o.address, o.id, o.attempt)
	stop()
	if err == nil || c.now().After(o.until) {
		return
	}
	o.next = c.now().Add(cancelEvery)
	c.repeats.Put(ctx, o)
}
