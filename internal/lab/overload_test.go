package lab

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestOverload guards against admission that lets work fail after it was
// started, starves a small workspace or refuses untruthfully at twice the
// capacity. The bounds are those of section 1.2 of the design page.
func TestOverload(t *testing.T) {
	o := NewOverload(5*time.Second, zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
	if err := o.Calibrate(context.Background()); err != nil {
		t.Fatal(err)
	}
	c, err := o.Run(context.Background(), "fair", 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + LoadTable([]*Cell{c}))
	if c.Goodput() < 0.9 {
		t.Errorf("goodput is %.0f%% of the capacity, want 90%%", 100*c.Goodput())
	}
	if c.Untrue() > 0 || c.Refused(0) == 0 {
		t.Errorf("%d refusals, %d of them without not-run and Retry-After", c.Refused(0), c.Untrue())
	}
	for i := 1; i < c.Workspaces(); i++ {
		if c.Served(i) < 1 {
			t.Errorf("workspace %d is below its share: %.0f%% served", i, 100*c.Served(i))
		}
	}
}
