package main

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// loadCommand measures goodput and fairness under overload. Its fields are
// exported for go-flags.
type loadCommand struct {
	program *program

	Load   []float64     `long:"load" default:"0.8" default:"1.0" default:"2.0" description:"load relative to the capacity; may be repeated"`
	Window time.Duration `long:"window" default:"10s" description:"time measured for each load and policy"`
	Plain  bool          `long:"plain" description:"run first come first served beside fair admission"`
}

// Execute prints a row for each policy, load and workspace.
func (c *loadCommand) Execute([]string) error {
	o := lab.NewOverload(c.Window, c.program.log.Level(zerolog.ErrorLevel))
	if err := o.Calibrate(c.program.ctx); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.program.out, "capacity %.0f tokens/s\n", o.Capacity()); err != nil {
		return errors.Wrap(err, "print capacity")
	}
	policies := []string{"fair"}
	if c.Plain {
		policies = append(policies, "plain")
	}
	var results []*lab.LoadResult
	for _, p := range policies {
		for _, l := range c.Load {
			result, err := o.Run(c.program.ctx, p, l)
			if err != nil {
				return errors.Wrapf(err, "load %g", l)
			}
			for _, n := range result.Notes() {
				c.program.log.Warn().Str("policy", p).Float64("load", l).Msg("lab: " + n)
			}
			results = append(results, result)
		}
	}
	_, err := io.WriteString(c.program.out, lab.LoadTable(results))
	return errors.Wrap(err, "print table")
}
