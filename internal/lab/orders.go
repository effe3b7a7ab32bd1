package lab

import (
	"context"
	"fmt"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// ordersEvery is the time between two bookings of a worker, each followed by
	// a lookup.
	ordersEvery = 100 * time.Millisecond
	// ordersWorkers is the default number of bookings at a time.
	ordersWorkers = 4
)

// order is a booking and the lookup that followed it.
type order struct {
	booking *Booking
	// err is set if the lookup failed.
	err error
}

// Orders sends bookings, each followed by a lookup, from a few workers.
type Orders struct {
	booker  *Booker
	workers int
	done    *ring.Ring[order]
	ended   chan struct{}
	// bookings and errs are owned by the collecting duty until ended is closed.
	bookings []*Booking
	errs     []error
}

// NewOrders returns a load that sends through one booker.
func NewOrders(b *Booker) *Orders {
	return &Orders{
		booker:  b,
		workers: ordersWorkers,
		done:    ring.New[order](ordersWorkers, ring.Wait),
		ended:   make(chan struct{}),
	}
}

// WithWorkers sets the number of bookings at a time; default 4. Call it before
// Start.
func (o *Orders) WithWorkers(n int) *Orders {
	o.workers = n
	return o
}

// Start sends until ctx ends. Bookings that were sent by then are finished.
func (o *Orders) Start(ctx context.Context) {
	left := make(chan struct{}, o.workers)
	for w := range o.workers {
		go func() {
			o.work(ctx, w)
			left <- struct{}{}
		}()
	}
	go o.collect(left)
}

// Wait returns all bookings, the number of lookups and the errors of those that
// failed, once the load has ended.
func (o *Orders) Wait() (bookings []*Booking, lookups int, failed []error) {
	<-o.ended
	return o.bookings, len(o.bookings), o.errs
}

func (o *Orders) work(ctx context.Context, w int) {
	finish := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		ref := fmt.Sprintf("order-%d-%d", w, n)
		b := o.booker.Book(finish, ref)
		o.done.Put(finish, order{
			booking: b,
			err:     o.booker.Look(finish, ref),
		})
		sleep(ctx, ordersEvery)
	}
}

// collect gathers the orders until every worker has left.
func (o *Orders) collect(left <-chan struct{}) {
	defer close(o.ended)
	for workers := o.workers; workers > 0 || o.done.Len() > 0; {
		select {
		case d := <-o.done.Out():
			o.bookings = append(o.bookings, d.booking)
			if d.err != nil {
				o.errs = append(o.errs, d.err)
			}
		case <-left:
			workers--
		}
	}
}
