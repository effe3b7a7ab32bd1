package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// demoCommand runs the demo. Its fields are exported for go-flags.
type demoCommand struct {
	program *program

	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"format of the result"`
}

// Execute runs the demo and fails unless every check holds.
func (c *demoCommand) Execute([]string) error {
	progress := c.program.out
	if c.Output == "json" {
		progress = io.Discard
	}
	r, err := lab.Demo(c.program.ctx, progress, c.program.log.Level(zerolog.ErrorLevel))
	if r != nil {
		if err := c.program.print(c.Output, r); err != nil {
			return err
		}
	}
	return err
}

// print writes a result as indented JSON or as text.
func (s *program) print(format string, r *lab.Result) error {
	if format == "text" {
		_, err := io.WriteString(s.out, r.Text())
		return errors.Wrap(err, "print result")
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	_, err = fmt.Fprintf(s.out, "%s\n", data)
	return errors.Wrap(err, "print result")
}
