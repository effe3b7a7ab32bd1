package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// drillCommand runs one response against each fault. Its fields are exported
// for go-flags.
type drillCommand struct {
	program *program

	Fault []string `long:"fault" description:"fault to run; may be repeated; all by default"`
	Body  bool     `long:"body" description:"ask for the answer in one body instead of a stream"`
}

// Execute prints a row for each fault and position, one after the other.
func (c *drillCommand) Execute([]string) error {
	for _, fault := range lab.DrillFaults() {
		if len(c.Fault) > 0 && !slices.Contains(c.Fault, fault) {
			continue
		}
		for _, position := range []string{lab.First, lab.Middle, lab.Last} {
			d, err := lab.NewDrill(fault, position, !c.Body)
			if err != nil {
				return err
			}
			a, err := d.Run(c.program.ctx, c.program.log.Level(zerolog.ErrorLevel))
			if err != nil {
				return errors.Wrapf(err, "fault %s", fault)
			}
			if _, err := fmt.Fprintf(c.program.out, "%-10s %-7s %-15s first %6s, largest gap %6s\n", fault, position, d.Cell(a),
				a.First().Round(time.Millisecond), a.Largest().Round(time.Millisecond)); err != nil {
				return errors.Wrap(err, "print row")
			}
		}
	}
	return nil
}
