package main

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
)

// maxReportSize is the largest accepted response of a VM in bytes.
const maxReportSize = 64 << 20

type burnCommand struct {
	*program
	Plot string `long:"plot" env:"CLEMENTINE_PLOT" description:"also write a plot to this PNG file"`
}

// Execute prints the report on the service level budgets over all VMs.
func (c *burnCommand) Execute([]string) error {
	raw, err := c.fetch("/burn?format=" + c.settings.Output)
	if err != nil {
		return err
	}
	c.show(raw, string(raw))
	if c.Plot == "" {
		return nil
	}
	plot, err := c.fetch("/burn?format=png")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.Plot, plot, 0o644), "plot")
}

type upstreamsCommand struct {
	*program
}

// Execute prints the upstreams as one VM sees them, always as JSON.
func (c *upstreamsCommand) Execute([]string) error {
	raw, err := c.fetch("/upstreams")
	if err != nil {
		return err
	}
	c.show(raw, string(raw))
	return nil
}

// fetch gets a page of the operator interface from one of the addresses.
func (p *program) fetch(path string) (raw []byte, err error) {
	err = p.tryAddresses(func(ctx context.Context, address string) error {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
		if err != nil {
			return inputError(err)
		}
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		raw, err = io.ReadAll(io.LimitReader(resp.Body, maxReportSize))
		if err == nil && resp.StatusCode != http.StatusOK {
			err = errors.Newf("%s: %s", path, resp.Status)
		}
		return err
	})
	return raw, err
}
