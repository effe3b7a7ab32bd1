package main

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
)

// resumeCommand measures resumes under each fault. Its fields are exported for
// go-flags.
type resumeCommand struct {
	program *program

	Deployment string   `long:"deployment" default:"gabrovo" choice:"gabrovo" choice:"brno" description:"sizes and delays to use"`
	Fault      []string `long:"fault" description:"fault to run; may be repeated; all by default"`
	Callers    int      `long:"callers" default:"150" description:"requests at a time"`
	Count      int      `long:"count" default:"600" description:"requests for each fault and policy"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of the faults"`
	Simple     bool     `long:"simple" description:"run the baseline policy beside the cadence policy"`
}

// Execute prints a row for each fault and policy.
func (c *resumeCommand) Execute([]string) error {
	policies := []string{"cadence"}
	if c.Simple {
		policies = append(policies, "simple")
	}
	plan := lab.NewPlan(c.Deployment, c.Callers, c.Count, c.Seed)
	var trials []*lab.Trial
	for _, f := range lab.Faults() {
		if len(c.Fault) > 0 && !slices.Contains(c.Fault, f.Name()) {
			continue
		}
		for _, p := range policies {
			t, err := plan.Run(c.program.ctx, f, p, c.program.log.Level(zerolog.ErrorLevel))
			if err != nil {
				return errors.Wrapf(err, "fault %s", f.Name())
			}
			trials = append(trials, t)
			for _, n := range t.Result().Notes() {
				c.program.log.Error().Str("fault", f.Name()).Str("policy", p).Msg("lab: " + n)
			}
		}
	}
	_, err := io.WriteString(c.program.out, lab.Table(trials))
	return errors.Wrap(err, "print table")
}
