package lab

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
)

// TestResponsesUnderRandomFaults guards against combinations of faults that
// lose, repeat or mix tokens, or that make an entry VM refuse a request while
// engines are free.
func TestResponsesUnderRandomFaults(t *testing.T) {
	faults := NewRandomFaults()
	trial, err := NewRandomFaultPlan(10, 300, 1).Run(context.Background(), faults.Fault(), "cadence", zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
	if err != nil {
		t.Fatal(err)
	}
	if r := trial.Result(); r.Count(Whole) != 300 {
		t.Errorf("%s%v", r.Text(), r.Notes())
	}
	if len(faults.counts) < 5 {
		t.Errorf("only %d kinds of fault were injected: %v", len(faults.counts), faults.counts)
	}
}
