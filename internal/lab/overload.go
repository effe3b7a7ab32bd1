package lab

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/netsim"
	"clementinelink.example/clementinelink/internal/simeng"
)

const (
	// overloadTokens and overloadGap make a response last about 0.7 s in a full
	// batch, a sixth of the deadline.
	overloadTokens   = 50
	overloadGap      = 10 * time.Millisecond
	overloadDeadline = 4 * time.Second
	overloadSlots    = 8
	// smallWorkspaces is the number of small workspaces, which are numbered
	// from 1. The large one has the number 0.
	smallWorkspaces = 5
	// smallShare is the fraction of all requests that each small workspace
	// sends. Even at twice the capacity, it is less than the fair share.
	smallShare = 0.06
	// warmupTime is the time before the start of a measurement.
	warmupTime = 2 * time.Second
	// calibrationTime is how long the capacity is measured.
	calibrationTime = 4 * time.Second
)

// Overload measures a small deployment under loads relative to its own
// capacity.
type Overload struct {
	// window is how long each load is measured.
	window time.Duration
	log    zerolog.Logger
	// capacity is the largest number of tokens per second, or 0 before
	// Calibrate.
	capacity float64
	// listen and dial are the network, by default that of the machine.
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewOverload returns a measurement that takes the time window for each load.
func NewOverload(window time.Duration, log zerolog.Logger) *Overload {
	return &Overload{
		window: window,
		log:    log,
		listen: netsim.ListenTCP,
		dial:   (&net.Dialer{}).DialContext,
	}
}

// WithNetwork replaces the network of the machine. Call it before Calibrate.
func (o *Overload) WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) *Overload {
	o.listen, o.dial = listen, dial
	return o
}

// Capacity returns the measured capacity in tokens per second.
func (o *Overload) Capacity() float64 { return o.capacity }

// LoadResult is the result of one load under one policy.
type LoadResult struct {
	policy string
	load   float64
	// goodput is the rate of tokens in whole responses, relative to the
	// capacity.
	goodput float64
	// malformedRefusals counts the refusals that lack "not-run" or Retry-After.
	malformedRefusals int
	workspaces        []*workspaceResult
}

// workspaceResult sums up the responses to one workspace. Only one goroutine at
// a time may use it.
type workspaceResult struct {
	result *Result
	// timeToFirstToken is in microseconds and covers whole responses.
	timeToFirstToken *hdrhistogram.Histogram
	// tokens counts the tokens of whole responses that ended in the window.
	tokens            int
	refused           int
	malformedRefusals int
	// failures describes the first responses that failed.
	failures []string
}

// Goodput returns the rate of tokens in whole responses, relative to the
// capacity.
func (l *LoadResult) Goodput() float64 { return l.goodput }

// MalformedRefusals returns the number of refusals that lack "not-run" or
// Retry-After.
func (l *LoadResult) MalformedRefusals() int { return l.malformedRefusals }

// Refused returns the number of refusals to a workspace; 0 is the large one.
func (l *LoadResult) Refused(workspace int) int { return l.workspaces[workspace].refused }

// Served returns the fraction of a workspace's responses that are whole.
func (l *LoadResult) Served(workspace int) float64 {
	r := l.workspaces[workspace].result
	return float64(r.Count(Whole)) / float64(max(r.Requests(), 1))
}

// Notes describes responses that failed after they were admitted.
func (l *LoadResult) Notes() []string {
	var notes []string
	for _, w := range l.workspaces {
		notes = append(notes, w.failures...)
	}
	return notes
}

// Workspaces returns the number of workspaces.
func (l *LoadResult) Workspaces() int { return len(l.workspaces) }

// Calibrate measures the capacity as the tokens per second generated with more
// concurrent requests than slots. Each worker sends its next request after the
// last response.
func (o *Overload) Calibrate(ctx context.Context) error {
	site, err := o.startSite(ctx, "fair", time.Minute)
	if err != nil {
		return err
	}
	defer site.Close()
	caller := NewCaller(site.EntryAddrs(), Token(0)).WithDial(o.dial)
	defer caller.Close()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	load.Go(func() {
		NewLoad(caller, 2*overloadSlots*len(site.Engines()), o.requestMaker(0)).Run(loadCtx, 0, NewResult(resumeThreshold))
	})
	sleep(ctx, warmupTime)
	before, began := site.Generated(), time.Now()
	sleep(ctx, calibrationTime)
	o.capacity = float64(site.Generated()-before) / time.Since(began).Seconds()
	stop()
	load.Wait()
	return ctx.Err()
}

// Run measures a load relative to the capacity, which Calibrate must have
// measured. The policy is "fair" or "plain", the baseline.
func (o *Overload) Run(ctx context.Context, policy string, load float64) (*LoadResult, error) {
	site, err := o.startSite(ctx, policy, overloadDeadline)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	result := &LoadResult{
		policy: policy,
		load:   load,
	}
	began := time.Now()
	sendCtx, stop := context.WithTimeout(ctx, warmupTime+o.window)
	defer stop()
	var all sync.WaitGroup
	for i := range smallWorkspaces + 1 {
		workspace := &workspaceResult{
			result:           NewResult(resumeThreshold),
			timeToFirstToken: hdrhistogram.New(minMicros, maxMicros, histogramDigits),
		}
		result.workspaces = append(result.workspaces, workspace)
		caller := NewCaller(site.EntryAddrs(), Token(i)).WithDial(o.dial)
		defer caller.Close()
		perSecond := load * o.requestShare(i) * o.capacity / overloadTokens
		workers := int(2*perSecond*overloadDeadline.Seconds()) + overloadSlots
		all.Go(func() {
			NewLoad(caller, workers, o.requestMaker(i)).WithRate(perSecond).Each(sendCtx, 0, func(r *Response) {
				workspace.add(r, began.Add(warmupTime), began.Add(warmupTime+o.window))
			})
		})
	}
	all.Wait()
	tokens := 0
	for _, workspace := range result.workspaces {
		tokens += workspace.tokens
		result.malformedRefusals += workspace.malformedRefusals
	}
	result.goodput = float64(tokens) / o.window.Seconds() / o.capacity
	return result, ctx.Err()
}

// requestShare returns the fraction of all requests that a workspace sends.
func (o *Overload) requestShare(workspace int) float64 {
	if workspace > 0 {
		return smallShare
	}
	return 1 - smallWorkspaces*smallShare
}

func (o *Overload) startSite(ctx context.Context, policy string, deadline time.Duration) (*Site, error) {
	site := NewSite([]Zone{
		NewZone("gab-mill", "gabrovo", 1, 2),
		NewZone("gab-annex", "gabrovo", 1, 2),
	}, o.log, simeng.WithGap(overloadGap, 0.5), simeng.WithSlots(overloadSlots, overloadSlots)).
		WithDelays(1500*time.Microsecond, 0).WithNetwork(o.listen, o.dial)
	site.baselineAdmission = policy == "plain"
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	site.Configure(ctx, 1, site.Declaration(deadline, smallWorkspaces+1))
	sleep(ctx, settleTime)
	return site, nil
}

func (o *Overload) requestMaker(workspace int) func(n int) *Request {
	return func(n int) *Request {
		prompt := fmt.Sprintf("appraisal %d of workspace %d", n, workspace)
		return NewRequest("draft", prompt, []string{"v1"}, uint64(n), overloadTokens)
	}
}

// add counts a response that ends now. Its tokens count if it ended between
// from and to.
func (w *workspaceResult) add(r *Response, from, to time.Time) {
	w.result.Add(r)
	now := r.sent.Add(r.Elapsed())
	switch {
	case r.Verdict() == Whole:
		record(w.timeToFirstToken, r.TimeToFirstToken())
		if now.After(from) && !now.After(to) {
			w.tokens += r.Tokens()
		}
	case r.Verdict() == Refused:
		w.refused++
		if r.RetryAfter() == "" {
			w.malformedRefusals++
		}
	case len(w.failures) < maxNotes:
		w.failures = append(w.failures, fmt.Sprintf("%s after %s: %s", r.Verdict(), r.Elapsed().Round(time.Millisecond), r.Note()))
	}
}

// LoadTable returns the results as aligned lines, one for each workspace.
func LoadTable(results []*LoadResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %5s %9s %-9s %8s %7s %8s %7s %7s %8s %9s %9s\n", "policy", "load", "goodput %", "workspace",
		"requests", "whole", "refused", "failed", "untrue", "share %", "p50 ms", "p99 ms")
	for _, r := range results {
		total := 0
		for _, w := range r.workspaces {
			total += w.tokens
		}
		for i, w := range r.workspaces {
			name := "large"
			if i > 0 {
				name = fmt.Sprintf("small %d", i)
			}
			failed := w.result.Requests() - w.result.Count(Whole) - w.refused
			fmt.Fprintf(&b, "%-6s %5.1f %9.1f %-9s %8d %7d %8d %7d %7d %8.1f %9.0f %9.0f\n", r.policy, r.load, 100*r.goodput, name,
				w.result.Requests(), w.result.Count(Whole), w.refused, failed, w.malformedRefusals, 100*float64(w.tokens)/float64(max(total, 1)),
				float64(w.timeToFirstToken.ValueAtQuantile(50))/1000, float64(w.timeToFirstToken.ValueAtQuantile(99))/1000)
		}
	}
	return b.String()
}
