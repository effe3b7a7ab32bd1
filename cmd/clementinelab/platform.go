package main

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/simwts"
)

// platformCommand runs one simulated platform service. Its fields are exported
// for go-flags.
type platformCommand struct {
	program *program
	kind    string
	serve   func(ctx context.Context, l net.Listener) error

	Address string `long:"address" env:"CLEMENTINE_ADDRESS" default:"127.0.0.1:0" description:"listening address host:port"`
}

// Execute runs the service until a signal.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, stop := context.WithCancel(c.program.ctx)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- c.serve(ctx, l) }()
	if err := c.program.serve(c.kind, c.kind, l.Addr().String()); err != nil {
		return err
	}
	stop()
	return <-failed
}

// platformCommands returns the commands of the simulated platform services by
// name.
func (s *program) platformCommands() map[string]*platformCommand {
	return map[string]*platformCommand{
		"store": {
			program: s,
			kind:    "Store",
			serve:   simkv.New().Serve,
		},
		"vms": {
			program: s,
			kind:    "VM list",
			serve:   simvms.New(0).Serve,
		},
		"weights": {
			program: s,
			kind:    "Weight store",
			serve:   simwts.New(10, 10).Serve,
		},
	}
}
