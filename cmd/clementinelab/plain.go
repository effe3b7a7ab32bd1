package main

import (
	"time"

	"clementinelink.example/clementinelink/internal/simsvc"
)

// plainCommand runs one simulated plain service. Its fields are exported for
// go-flags.
type plainCommand struct {
	program *program

	Name    string        `long:"name" env:"CLEMENTINE_NAME" default:"plain" description:"name in logs"`
	Address string        `long:"address" env:"CLEMENTINE_ADDRESS" default:"127.0.0.1:0" description:"listening address host:port"`
	Work    time.Duration `long:"work" env:"CLEMENTINE_WORK" default:"5ms" description:"time that each call takes"`
	Slots   int           `long:"slots" env:"CLEMENTINE_SLOTS" default:"64" description:"calls that run at once"`
}

// Execute runs the service until a signal.
func (c *plainCommand) Execute([]string) error {
	s := simsvc.New(c.Name,
		simsvc.WithAddress(c.Address),
		simsvc.WithWork(c.Work),
		simsvc.WithSlots(c.Slots))
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Close()
	return c.program.serve("Plain service", c.Name, s.Address())
}
