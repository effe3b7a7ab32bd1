package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// drillCommand runs one response against each fault at each position. Its
// fields are exported for go-flags.
type drillCommand struct {
	program *program

	Fault []string `long:"fault" description:"fault to run; may be repeated; all by default"`
	Body  bool     `long:"body" description:"ask for the answer in one body instead of a stream"`
}

// Execute runs the drills one after the other and prints a row for each.
func (c *drillCommand) Execute([]string) error {
	for _, fault := range lab.DrillFaults() {
		if len(c.Fault) > 0 && !slices.Contains(c.Fault, fault) {
			continue
		}
		for _, position := range []string{lab.BeforeFirstToken, lab.MidResponse, lab.BeforeLastToken} {
			d, err := lab.NewDrill(fault, position, !c.Body)
			if err != nil {
				return err
			}
			response, err := d.Run(c.program.ctx, c.program.log.Level(zerolog.ErrorLevel))
			if err != nil {
				return errors.Wrapf(err, "fault %s", fault)
			}
			if _, err := fmt.Fprintf(c.program.out, "%-10s %-7s %-15s first %6s, largest gap %6s\n", fault, position, d.Summary(response),
				response.TimeToFirstToken().Round(time.Millisecond), response.LargestGap().Round(time.Millisecond)); err != nil {
				return errors.Wrap(err, "print row")
			}
		}
	}
	return nil
}
