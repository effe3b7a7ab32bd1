package lab

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simeng"
)

const (
	// overloadTokens and overloadGap make a response last about 0.7 s in a full
	// batch, a sixth of the deadline.
	overloadTokens   = 50
	overloadGap      = 10 * time.Millisecond
	overloadDeadline = 4 * time.Second
	overloadSlots    = 8
	// overloadSmall is the number of small workspaces; the large one has the
	// number 0.
	overloadSmall = 5
	// smallPart is the part of all requests that each small workspace sends. It
	// is under its share of the capacity at twice the load.
	smallPart = 0.06
	// warmTime is left out of the measurement at the start of a cell.
	warmTime = 2 * time.Second
	// calibrateTime is the length of the measurement of the capacity.
	calibrateTime = 4 * time.Second
)

// Overload measures a small deployment against its own capacity.
type Overload struct {
	// window is the time that is measured in each cell.
	window time.Duration
	log    zerolog.Logger
	// capacity is the largest number of tokens per second, 0 before it is
	// measured.
	capacity float64
}

// NewOverload returns a measurement of the given length for each cell.
func NewOverload(window time.Duration, log zerolog.Logger) *Overload {
	return &Overload{
		window: window,
		log:    log,
	}
}

// Capacity returns the measured tokens per second of the deployment.
func (o *Overload) Capacity() float64 { return o.capacity }

// Cell is the result of one load under one policy.
type Cell struct {
	policy string
	load   float64
	// goodput is that of whole responses relative to the capacity.
	goodput float64
	// untrue counts refusals that lack "not-run" or Retry-After.
	untrue     int
	workspaces []*tenant
}

// tenant is what one workspace sent and received. One duty at a time owns it.
type tenant struct {
	result *Result
	// wait holds the times to the first token in microseconds.
	wait *hdrhistogram.Histogram
	// tokens counts those of whole responses that ended in the window.
	tokens  int
	refused int
	untrue  int
	// failures holds the notes on the first responses that failed.
	failures []string
}

// Goodput returns the tokens of whole responses relative to the capacity.
func (c *Cell) Goodput() float64 { return c.goodput }

// Untrue returns the number of refusals that lack "not-run" or Retry-After.
func (c *Cell) Untrue() int { return c.untrue }

// Refused returns the number of refusals to a workspace; 0 is the large one.
func (c *Cell) Refused(workspace int) int { return c.workspaces[workspace].refused }

// Served returns the part of a workspace's responses that are whole.
func (c *Cell) Served(workspace int) float64 {
	r := c.workspaces[workspace].result
	return float64(r.Count(Whole)) / float64(max(r.Requests(), 1))
}

// Notes returns what was wrong with responses that failed after they were
// admitted.
func (c *Cell) Notes() []string {
	var notes []string
	for _, t := range c.workspaces {
		notes = append(notes, t.failures...)
	}
	return notes
}

// Workspaces returns the number of workspaces.
func (c *Cell) Workspaces() int { return len(c.workspaces) }

// Calibrate measures the capacity: the tokens per second with more callers
// than slots, each of which sends its next request after the last answer.
func (o *Overload) Calibrate(ctx context.Context) error {
	site, err := o.site(ctx, "fair", time.Minute)
	if err != nil {
		return err
	}
	defer site.Close()
	caller := NewCaller(site.Entries(), Token(0))
	defer caller.Close()
	loaded, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	load.Go(func() {
		NewLoad(caller, 2*overloadSlots*len(site.Engines()), o.ask(0)).Run(loaded, 0, NewResult(resumeGap))
	})
	sleep(ctx, warmTime)
	before, began := site.Generated(), time.Now()
	sleep(ctx, calibrateTime)
	o.capacity = float64(site.Generated()-before) / time.Since(began).Seconds()
	stop()
	load.Wait()
	return ctx.Err()
}

// Run measures a load relative to the capacity. The policy is "fair" or
// "plain".
func (o *Overload) Run(ctx context.Context, policy string, load float64) (*Cell, error) {
	site, err := o.site(ctx, policy, overloadDeadline)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	c := &Cell{
		policy: policy,
		load:   load,
	}
	began := time.Now()
	sending, stop := context.WithTimeout(ctx, warmTime+o.window)
	defer stop()
	var all sync.WaitGroup
	for i := range overloadSmall + 1 {
		t := &tenant{
			result: NewResult(resumeGap),
			wait:   hdrhistogram.New(timeMin, timeMax, timeDigits),
		}
		c.workspaces = append(c.workspaces, t)
		caller := NewCaller(site.Entries(), Token(i))
		defer caller.Close()
		perSecond := load * o.part(i) * o.capacity / overloadTokens
		workers := int(2*perSecond*overloadDeadline.Seconds()) + overloadSlots
		all.Go(func() {
			NewLoad(caller, workers, o.ask(i)).WithRate(perSecond).Each(sending, 0, func(a *Answer) {
				t.add(a, began.Add(warmTime), began.Add(warmTime+o.window))
			})
		})
	}
	all.Wait()
	tokens := 0
	for _, t := range c.workspaces {
		tokens += t.tokens
		c.untrue += t.untrue
	}
	c.goodput = float64(tokens) / o.window.Seconds() / o.capacity
	return c, ctx.Err()
}

// part returns the part of all requests that a workspace sends.
func (o *Overload) part(workspace int) float64 {
	if workspace > 0 {
		return smallPart
	}
	return 1 - overloadSmall*smallPart
}

func (o *Overload) site(ctx context.Context, policy string, deadline time.Duration) (*Site, error) {
	site := NewSite([]Zone{
		NewZone("gab-mill", "gabrovo", 1, 2),
		NewZone("gab-annex", "gabrovo", 1, 2),
	}, o.log, simeng.WithGap(overloadGap, 0.5), simeng.WithSlots(overloadSlots, overloadSlots)).
		WithDelays(1500*time.Microsecond, 0)
	site.plain = policy == "plain"
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	site.Configure(ctx, 1, site.Declaration(deadline, overloadSmall+1))
	sleep(ctx, settleTime)
	return site, nil
}

func (o *Overload) ask(workspace int) func(n int) *Question {
	return func(n int) *Question {
		prompt := fmt.Sprintf("appraisal %d of workspace %d", n, workspace)
		return NewQuestion("draft", prompt, []string{"v1"}, uint64(n), overloadTokens)
	}
}

// add counts an answer that ends now; its tokens count in the window.
func (t *tenant) add(a *Answer, from, to time.Time) {
	t.result.Add(a)
	now := a.sent.Add(a.Took())
	switch {
	case a.Verdict() == Whole:
		record(t.wait, a.First())
		if now.After(from) && !now.After(to) {
			t.tokens += a.Tokens()
		}
	case a.Verdict() == Refused:
		t.refused++
		if a.Retry() == "" {
			t.untrue++
		}
	case len(t.failures) < notesMax:
		t.failures = append(t.failures, fmt.Sprintf("%s after %s: %s", a.Verdict(), a.Took().Round(time.Millisecond), a.Note()))
	}
}

// LoadTable returns the cells as aligned lines, each workspace after its cell.
func LoadTable(cells []*Cell) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %5s %9s %-9s %8s %7s %8s %7s %7s %8s %9s %9s\n", "policy", "load", "goodput %", "workspace",
		"requests", "whole", "refused", "failed", "untrue", "share %", "p50 ms", "p99 ms")
	for _, c := range cells {
		total := 0
		for _, t := range c.workspaces {
			total += t.tokens
		}
		for i, t := range c.workspaces {
			name := "large"
			if i > 0 {
				name = fmt.Sprintf("small %d", i)
			}
			failed := t.result.Requests() - t.result.Count(Whole) - t.refused
			fmt.Fprintf(&b, "%-6s %5.1f %9.1f %-9s %8d %7d %8d %7d %7d %8.1f %9.0f %9.0f\n", c.policy, c.load, 100*c.goodput, name,
				t.result.Requests(), t.result.Count(Whole), t.refused, failed, t.untrue, 100*float64(t.tokens)/float64(max(total, 1)),
				float64(t.wait.ValueAtQuantile(50))/1000, float64(t.wait.ValueAtQuantile(99))/1000)
		}
	}
	return b.String()
}
