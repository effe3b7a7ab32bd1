// Package cancel sends cancels of attempts to engines until they are confirmed.
package cancel

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// cancelCap bounds the cancels that wait in each ring. A dropped cancel wastes
	// tokens on an engine but does no other harm, because this VM ignores the
	// output of a cancelled attempt.
	cancelCap = 4096
	// cancelTimeout is the time that an engine has to confirm.
	cancelTimeout = 500 * time.Millisecond
	// cancelInterval is the time between two tries of the same cancel.
	cancelInterval = time.Second
	// cancelLifetime is how long a cancel is retried. An engine retains a stream
	// for this time, after which there is nothing left to cancel.
	cancelLifetime = 30 * time.Second
	// cancelSenders is the number of goroutines that send new cancels. With
	// several, an unresponsive engine does not block the others.
	cancelSenders = 6
	// cancelRetriers is the number of goroutines that retry unconfirmed cancels.
	cancelRetriers = 2
)

// pendingCancel is an unconfirmed cancel of an attempt of the request id.
type pendingCancel struct {
	address string
	id      string
	attempt uint32
	// nextTry is the time of the next try; expires is the time to give up.
	nextTry time.Time
	expires time.Time
}

// Sender is the duty that sends cancels to engines until they are confirmed.
type Sender struct {
	// initial holds the cancels that were not sent yet.
	initial *ring.Ring[pendingCancel]
	// retries holds the cancels that were sent and not confirmed.
	retries *ring.Ring[pendingCancel]
	// send delivers one cancel and returns nil once it is confirmed.
	send func(ctx context.Context, address, id string, attempt uint32) error
	now  func() time.Time
}

// NewSender returns a sender of cancels. send delivers one cancel and returns nil once it is
// confirmed.
func NewSender(send func(ctx context.Context, address, id string, attempt uint32) error) *Sender {
	return &Sender{
		initial: ring.New[pendingCancel](cancelCap, ring.DropOldest),
		retries: ring.New[pendingCancel](cancelCap, ring.DropOldest),
		send:    send,
		now:     time.Now,
	}
}

// Enqueue queues the cancel of an attempt of the request id.
func (c *Sender) Enqueue(ctx context.Context, address, id string, attempt uint32) {
	now := c.now()
	c.initial.Put(ctx, pendingCancel{
		address: address,
		id:      id,
		attempt: attempt,
		nextTry: now,
		expires: now.Add(cancelLifetime),
	})
}

// Start starts the goroutines of the duty, which run until ctx ends, by calling start with
// each.
func (c *Sender) Start(ctx context.Context, start func(run func())) {
	for range cancelSenders {
		start(func() { c.run(ctx, c.initial) })
	}
	for range cancelRetriers {
		start(func() { c.run(ctx, c.retries) })
	}
}

// run sends the cancels from one of the rings until ctx ends.
func (c *Sender) run(ctx context.Context, in *ring.Ring[pendingCancel]) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-in.Out():
			c.try(ctx, p)
		}
	}
}

// try waits until the next try of a cancel, sends it, and queues it for another
// try unless it is confirmed or has expired.
func (c *Sender) try(ctx context.Context, p pendingCancel) {
	if wait := p.nextTry.Sub(c.now()); wait > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
	limited, cancel := context.WithTimeout(ctx, cancelTimeout)
	err := c.send(limited, p.address, p.id, p.attempt)
	cancel()
	if err == nil || c.now().After(p.expires) {
		return
	}
	p.nextTry = c.now().Add(cancelInterval)
	c.retries.Put(ctx, p)
}
