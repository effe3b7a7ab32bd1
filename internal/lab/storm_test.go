package lab

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
)

// TestStorm guards against any order of several faults that loses, repeats or
// mixes a token, or that turns a caller away while engines are free.
func TestStorm(t *testing.T) {
	storm := NewStormFault()
	trial, err := NewStorm(10, 300, 1).Run(context.Background(), storm.Fault(), "cadence", zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
	if err != nil {
		t.Fatal(err)
	}
	if r := trial.Result(); r.Count(Whole) != 300 {
		t.Errorf("%s%v", r.Text(), r.Notes())
	}
	if len(storm.strikes) < 5 {
		t.Errorf("only %d kinds of fault struck: %v", len(storm.strikes), storm.strikes)
	}
}
