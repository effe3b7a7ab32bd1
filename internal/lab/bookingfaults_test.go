package lab

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestBookingsUnderRandomFaults guards against a combination of faults of entry
// VMs, links, plain services and the store that makes a booking run twice or a
// stated outcome false.
func TestBookingsUnderRandomFaults(t *testing.T) {
	faults := NewBookingFaults()
	a, err := faults.RunBookings(context.Background(), 1, 16, 8*time.Second, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Check(); err != nil {
		t.Error(err)
	}
	if a.bookings < 100 || a.unknown == a.bookings || len(faults.counts) < 3 {
		t.Errorf("%d bookings with %d unknown outcomes under %v are too few to show anything", a.bookings, a.unknown, faults.counts)
	}
	t.Logf("%+v %v", *a, faults.counts)
}
