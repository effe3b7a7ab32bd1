package lab

import (
	"context"
	"fmt"
	"time"

	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// bookingInterval is the time between two bookings of a worker, each of
	// which is followed by a lookup.
	bookingInterval = 100 * time.Millisecond
	// defaultBookingWorkers is the default number of concurrent bookings.
	defaultBookingWorkers = 4
)

// bookingResult is a booking and the result of the lookup after it.
type bookingResult struct {
	booking *Booking
	// err is the error of the lookup, or nil.
	err error
}

// BookingLoad sends bookings, each followed by a lookup, from several workers.
type BookingLoad struct {
	client   *BookingClient
	workers  int
	results  *ring.Ring[bookingResult]
	finished chan struct{}
	// bookings and lookupErrs are owned by the collecting goroutine until
	// finished is closed.
	bookings   []*Booking
	lookupErrs []error
}

// NewBookingLoad returns a load that sends through the client.
func NewBookingLoad(client *BookingClient) *BookingLoad {
	return &BookingLoad{
		client:   client,
		workers:  defaultBookingWorkers,
		results:  ring.New[bookingResult](defaultBookingWorkers, ring.Wait),
		finished: make(chan struct{}),
	}
}

// WithWorkers sets the number of concurrent bookings; default 4. It must be
// called before Start.
func (l *BookingLoad) WithWorkers(n int) *BookingLoad {
	l.workers = n
	return l
}

// Start sends bookings until ctx is canceled. Bookings already sent by then are
// completed.
func (l *BookingLoad) Start(ctx context.Context) {
	exited := make(chan struct{}, l.workers)
	for w := range l.workers {
		go func() {
			l.runWorker(ctx, w)
			exited <- struct{}{}
		}()
	}
	go l.collect(exited)
}

// Wait waits for the end of the load. It returns all bookings, the number of
// lookups and the errors of the failed lookups.
func (l *BookingLoad) Wait() (bookings []*Booking, lookups int, failed []error) {
	<-l.finished
	return l.bookings, len(l.bookings), l.lookupErrs
}

func (l *BookingLoad) runWorker(ctx context.Context, w int) {
	callCtx := context.WithoutCancel(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		ref := fmt.Sprintf("order-%d-%d", w, n)
		booking := l.client.Book(callCtx, ref)
		l.results.Put(callCtx, bookingResult{
			booking: booking,
			err:     l.client.Lookup(callCtx, ref),
		})
		sleep(ctx, bookingInterval)
	}
}

// collect collects the results until every worker has exited.
func (l *BookingLoad) collect(exited <-chan struct{}) {
	defer close(l.finished)
	for workers := l.workers; workers > 0 || l.results.Len() > 0; {
		select {
		case result := <-l.results.Out():
			l.bookings = append(l.bookings, result.booking)
			if result.err != nil {
				l.lookupErrs = append(l.lookupErrs, result.err)
			}
		case <-exited:
			workers--
		}
	}
}
