package lab

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestOrderStorm guards against any order of faults of entry VMs, links, plain
// services and store that runs a booking twice or states a false outcome.
func TestOrderStorm(t *testing.T) {
	storm := NewOrderStorm()
	a, err := storm.Orders(context.Background(), 1, 16, 8*time.Second, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Check(); err != nil {
		t.Error(err)
	}
	if a.bookings < 100 || a.unknown == a.bookings || len(storm.strikes) < 3 {
		t.Errorf("%d bookings with %d unknown outcomes under %v are too few to show anything", a.bookings, a.unknown, storm.strikes)
	}
	t.Logf("%+v %v", *a, storm.strikes)
}
