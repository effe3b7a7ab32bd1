package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// ordersCommand runs bookings under random faults. Its fields are exported for
// go-flags.
type ordersCommand struct {
	program *program

	Time    time.Duration `long:"time" default:"60s" description:"time for which bookings are sent"`
	Workers int           `long:"workers" default:"64" description:"bookings at a time"`
	Seed    uint64        `long:"seed" description:"seed of the faults; 0 draws one"`
}

// Execute prints the outcomes stated to callers and fails if a booking ran
// twice or a stated outcome was false.
func (c *ordersCommand) Execute([]string) error {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if _, err := fmt.Fprintf(c.program.out, "seed %d\n", seed); err != nil {
		return errors.Wrap(err, "print seed")
	}
	faults := lab.NewBookingFaults()
	audit, err := faults.RunBookings(c.program.ctx, seed, c.Workers, c.Time, c.program.log.Level(zerolog.ErrorLevel))
	if err != nil {
		return err
	}
	if err := faults.Print(c.program.out); err != nil {
		return errors.Wrap(err, "print fault counts")
	}
	data, err := json.Marshal(audit)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if _, err := fmt.Fprintf(c.program.out, "%s\n", data); err != nil {
		return errors.Wrap(err, "print result")
	}
	return audit.Check()
}
