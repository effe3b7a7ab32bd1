package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"clementinelink.example/clementinelink/internal/simeng"
	"github.com/cockroachdb/errors"
)

// engineCommand runs one simulated engine. Its fields are exported for
// go-flags.
type engineCommand struct {
	program *program

	Name     string        `long:"name" env:"CLEMENTINE_NAME" default:"engine" description:"name in logs"`
	Address  string        `long:"address" env:"CLEMENTINE_ADDRESS" default:"127.0.0.1:0" description:"listening address host:port"`
	Model    string        `long:"model" env:"CLEMENTINE_MODEL" description:"model to serve; empty for any"`
	Versions []string      `long:"version" env:"CLEMENTINE_VERSIONS" env-delim:"," default:"v1" description:"version loaded at the start; may be repeated"`
	Slots    int           `long:"slots" env:"CLEMENTINE_SLOTS" default:"16" description:"batch size"`
	Queue    int           `long:"queue" env:"CLEMENTINE_QUEUE" default:"32" description:"length of the waiting queue"`
	Gap      time.Duration `long:"gap" env:"CLEMENTINE_GAP" default:"40ms" description:"token gap in a batch of one"`
	Growth   float64       `long:"growth" env:"CLEMENTINE_GROWTH" default:"0.5" description:"relative growth of the gap up to a full batch"`
	Retain   time.Duration `long:"retain" env:"CLEMENTINE_RETAIN" default:"30s" description:"how long a stream is kept without a reader"`
	Load     time.Duration `long:"load" env:"CLEMENTINE_LOAD" default:"2s" description:"time to load a version after its weights arrived"`
	Weights  string        `long:"weights" env:"CLEMENTINE_WEIGHTS" description:"address of the weight store; empty for none"`
	Unfenced bool          `long:"unfenced" env:"CLEMENTINE_UNFENCED" description:"ignore fencing numbers of orders"`
}

// Execute runs the engine until a signal.
func (c *engineCommand) Execute([]string) error {
	e := simeng.New(c.Name,
		simeng.WithAddress(c.Address),
		simeng.WithModel(c.Model),
		simeng.WithVersions(c.Versions...),
		simeng.WithSlots(c.Slots, c.Queue),
		simeng.WithGap(c.Gap, c.Growth),
		simeng.WithRetain(c.Retain),
		simeng.WithFencing(!c.Unfenced),
		simeng.WithWeights(c.pullWeights, c.Load))
	if err := e.Start(); err != nil {
		return err
	}
	defer e.Close()
	return c.program.serve("Engine", c.Name, e.Address())
}

// pullWeights fetches a version from the weight store, which refuses requests
// above its rate.
func (c *engineCommand) pullWeights(ctx context.Context, model, version string) error {
	if c.Weights == "" {
		return nil
	}
	path := "http://" + c.Weights + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return errors.Wrap(err, "weights request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "pull weights")
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(err, "close weights")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %d", resp.StatusCode)
	}
	return nil
}

// serve prints the address of a simulated service and waits for a signal.
func (s *program) serve(kind, name, address string) error {
	if _, err := fmt.Fprintln(s.out, address); err != nil {
		return errors.Wrap(err, "print address")
	}
	s.log.Info().Str("name", name).Str("address", address).Msg("lab: " + kind + " listens.")
	<-s.ctx.Done()
	s.log.Info().Str("name", name).Msg("lab: " + kind + " stops.")
	return nil
}
