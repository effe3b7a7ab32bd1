package lab

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/memnet"
	"github.com/rs/zerolog"
)

// TestOverload guards against admission that lets requests fail after they were
// started, starves a small workspace or sends malformed refusals at twice the
// capacity. The bounds are those of section 1.2 of the design page. The clock
// advances only while all goroutines wait, so that the capacity stays the same
// between its measurement and the load, however busy the machine is.
func TestOverload(t *testing.T) { synctest.Test(t, testOverload) }

func testOverload(t *testing.T) {
	network := memnet.New()
	o := NewOverload(5*time.Second, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)).
		WithNetwork(network.Listen, network.Dial)
	if err := o.Calibrate(context.Background()); err != nil {
		t.Fatal(err)
	}
	result, err := o.Run(context.Background(), "fair", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + LoadTable([]*LoadResult{result}))
	if result.Goodput() < 0.9 {
		t.Errorf("goodput is %.0f%% of the capacity, want 90%%", 100*result.Goodput())
	}
	if result.MalformedRefusals() > 0 || result.Refused(0) == 0 {
		t.Errorf("%d refusals, %d of them without not-run and Retry-After", result.Refused(0), result.MalformedRefusals())
	}
	for i := 1; i < result.Workspaces(); i++ {
		if result.Served(i) < 1 {
			t.Errorf("workspace %d is below its share: %.0f%% served", i, 100*result.Served(i))
		}
	}
}
