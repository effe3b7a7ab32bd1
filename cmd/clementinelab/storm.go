package main

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// stormCommand runs responses under random faults. Its fields are exported for
// go-flags.
type stormCommand struct {
	program *program

	Count   int    `long:"count" default:"20000" description:"responses to request"`
	Callers int    `long:"callers" default:"100" description:"requests at a time"`
	Seed    uint64 `long:"seed" description:"seed of the faults; 0 draws one"`
}

// Execute prints the verdicts and fails if a response has a missing, repeated
// or mixed token.
func (c *stormCommand) Execute([]string) error {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if _, err := fmt.Fprintf(c.program.out, "seed %d\n", seed); err != nil {
		return errors.Wrap(err, "print seed")
	}
	faults := lab.NewRandomFaults()
	t, err := lab.NewRandomFaultPlan(c.Callers, c.Count, seed).Run(c.program.ctx, faults.Fault(), "cadence", c.program.log.Level(zerolog.ErrorLevel))
	if err != nil {
		return err
	}
	for _, n := range t.Result().Notes() {
		c.program.log.Error().Msg("lab: " + n)
	}
	if err := faults.Print(c.program.out); err != nil {
		return errors.Wrap(err, "print fault counts")
	}
	if _, err := io.WriteString(c.program.out, lab.Table([]*lab.Trial{t})+t.Result().Text()); err != nil {
		return errors.Wrap(err, "print result")
	}
	if t.Broken() > 0 {
		return errors.Newf("%d responses have a missing, repeated or mixed token", t.Broken())
	}
	return nil
}
