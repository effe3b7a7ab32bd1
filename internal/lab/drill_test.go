package lab

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
)

// maxParallelDrills limits the deployments that run at the same time.
const maxParallelDrills = 12

// TestDrills guards against each fault at each position in a response. A
// response that can be completed must be whole without a long interruption, and
// an error must state what is known about the work.
func TestDrills(t *testing.T) {
	datadriven.RunTest(t, "testdata/drills", func(t *testing.T, d *datadriven.TestData) string {
		faults := strings.Fields(d.Input)
		cells := make([][6]string, len(faults))
		slots := make(chan struct{}, maxParallelDrills)
		var running sync.WaitGroup
		for row, fault := range faults {
			for i := range cells[row] {
				drill, err := NewDrill(fault, []string{BeforeFirstToken, MidResponse, BeforeLastToken}[i/2], i%2 == 0)
				if err != nil {
					d.Fatalf(t, "%v", err)
				}
				slots <- struct{}{}
				running.Go(func() {
					defer func() { <-slots }()
					response, err := drill.Run(context.Background(), zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel))
					if err != nil {
						cells[row][i] = err.Error()
						return
					}
					cells[row][i] = drill.Summary(response)
					t.Logf("%s %d: %s, first %s, largest gap %s, %s", fault, i, cells[row][i], response.TimeToFirstToken(), response.LargestGap(), response.Note())
				})
			}
		}
		running.Wait()
		var b strings.Builder
		for row, fault := range faults {
			fmt.Fprintln(&b, fault, strings.Join(cells[row][:], " "))
		}
		return b.String()
	})
}

// TestDelayedInjection guards against drills that miss their position on a busy
// machine. If the engine doesn't hold there, the response ends before a delayed
// fault.
func TestDelayedInjection(t *testing.T) {
	drill, err := NewDrill("second", BeforeLastToken, false)
	if err != nil {
		t.Fatal(err)
	}
	drill.injectDelay = 50 * time.Millisecond
	response, err := drill.Run(context.Background(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	if cell := drill.Summary(response); cell != Whole.String() {
		t.Errorf("%s, %s", cell, response.Note())
	}
}
