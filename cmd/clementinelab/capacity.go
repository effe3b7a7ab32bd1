package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/slope"
)

// capacityCommand measures costs as a function of size. Its fields are exported
// for go-flags.
type capacityCommand struct {
	program *program

	Probe  string        `long:"probe" default:"." description:"regular expression of the probes to run"`
	Span   time.Duration `long:"span" default:"200ms" description:"processor time of one measurement"`
	Watch  time.Duration `long:"watch" default:"5s" description:"time over which the use of a process is measured"`
	Shrink int           `long:"shrink" default:"1" description:"number that divides all sizes"`
	Output string        `long:"output" default:"text" choice:"text" choice:"json" description:"format of the table"`
}

// Execute prints a row for each selected probe.
func (c *capacityCommand) Execute([]string) error {
	names, err := regexp.Compile(c.Probe)
	if err != nil {
		return errors.Wrap(err, "--probe")
	}
	path, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "own program")
	}
	b := slope.NewBench(c.Span, c.Watch, c.Shrink, func(ctx context.Context, args ...string) (*slope.Child, error) {
		return slope.Spawn(ctx, path, "clementinelab", args...)
	})
	var rows []*slope.Row
	for _, p := range slope.Probes() {
		if !names.MatchString(p.Name()) {
			continue
		}
		r, err := b.Run(c.program.ctx, p)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return c.print(rows)
}

func (c *capacityCommand) print(rows []*slope.Row) error {
	if c.Output == "text" {
		_, err := io.WriteString(c.program.out, slope.Table(rows))
		return errors.Wrap(err, "print table")
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode table")
	}
	_, err = fmt.Fprintf(c.program.out, "%s\n", data)
	return errors.Wrap(err, "print table")
}

// entryCommand runs one entry VM for the measurements of capacityCommand. Its
// fields are exported for go-flags.
type entryCommand struct {
	program *program

	VMs   string `long:"vms" required:"true" description:"URL of the VM list"`
	Store string `long:"store" required:"true" description:"URL of a store that holds a configuration"`
}

// Execute runs the VM until standard input ends.
func (c *entryCommand) Execute([]string) error {
	return slope.RunEntryVM(c.program.ctx, os.Stdin, c.program.out, c.VMs, c.Store, c.program.log.Level(zerolog.ErrorLevel))
}
