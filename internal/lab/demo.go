package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simsvc"
)

const (
	// demoRequests is the number of generation requests.
	demoRequests = 72
	// demoWorkers is the number of concurrent requests.
	demoWorkers = 24
	// demoTokens is the length of each response, about 4 s at the token gap.
	demoTokens = 80
	// demoTokenGap is the engines' token gap.
	demoTokenGap = 40 * time.Millisecond
	// demoBookings is the smallest number of bookings required; about 300 are
	// sent.
	demoBookings = 50
	// demoResetDelay and demoKillDelay are the times before the two faults of
	// plain services.
	demoResetDelay = 1500 * time.Millisecond
	demoKillDelay  = 2 * time.Second
	// resetCalls is the number of calls that the reset hits. Half of them are
	// bookings.
	resetCalls = 4
	// maxInterruption is the longest time that output may stop after a loss.
	maxInterruption = 4 * time.Second
	// settleTime lets the entry VMs receive the VM list and the first load
	// reports.
	settleTime = 1500 * time.Millisecond
	// resumeThreshold is the token gap above which output counts as
	// interrupted.
	resumeThreshold = 150 * time.Millisecond
)

// DemoZones returns the three failure domains of the demo, in two regions.
func DemoZones() []Zone {
	return []Zone{
		NewZone("gab-mill", "gabrovo", 1, 4).WithPlainServices(1),
		NewZone("gab-annex", "gabrovo", 1, 4).WithPlainServices(1),
		NewZone("plv-depot", "plovdiv", 1, 4).WithPlainServices(1),
	}
}

// Demo starts a deployment and sends generations and bookings. Meanwhile, it
// kills, hangs and resets engines, and resets and kills plain services. It
// returns the measured result, and an error if a check failed. Progress is
// written as plain lines.
func Demo(ctx context.Context, progress io.Writer, log zerolog.Logger) (*Result, error) {
	logf := func(format string, args ...any) { fmt.Fprintf(progress, format+"\n", args...) }
	site := NewSite(DemoZones(), log, simeng.WithGap(demoTokenGap, 0.2)).
		WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	logf("started 2 regions, 3 failure domains, %d entry VMs, %d engines, %d plain services, the store and the VM list",
		len(site.Nodes()), len(site.Engines()), len(site.PlainServices()))
	began := time.Now()
	if err := site.Configure(ctx, 1, site.Declaration(time.Minute, 1)); err != nil {
		return nil, err
	}
	logf("applied the declaration (model service draft, version v1, and plain service desk); in force on every VM after %s", time.Since(began).Round(time.Millisecond))
	time.Sleep(settleTime)

	caller := NewCaller(site.EntryAddrs(), Token(0))
	defer caller.Close()
	result := NewResult(resumeThreshold)
	load := NewLoad(caller, demoWorkers, func(n int) *Request {
		q := NewRequest("draft", fmt.Sprintf("draft %d of a care label", n), []string{"v1"}, uint64(n), demoTokens)
		if n%3 == 2 {
			return q.WithChat()
		}
		return q
	})
	bookingClient := NewBookingClient(site.EntryAddrs(), Token(0))
	defer bookingClient.Close()
	bookingLoad := NewBookingLoad(bookingClient)
	bookingCtx, stop := context.WithCancel(ctx)
	defer stop()
	bookingLoad.Start(bookingCtx)
	faults := make(chan error, 2)
	go func() { faults <- demoEngineFaults(ctx, site, logf) }()
	go func() { faults <- demoPlainServiceFaults(ctx, site, logf) }()
	load.Run(ctx, demoRequests, result)
	stop()
	bookings, lookups, failed := bookingLoad.Wait()
	if err := errors.CombineErrors(<-faults, <-faults); err != nil {
		return nil, err
	}
	result.SetAudit(NewAudit(bookings, site.RunCounts()).WithLookups(lookups, len(failed)))
	result.SetGenerated(site.Generated())
	return result, checkDemo(result)
}

// demoEngineFaults kills one busy engine, hangs a second one and resets the
// streams of a third.
func demoEngineFaults(ctx context.Context, site *Site, logf func(format string, args ...any)) error {
	steps := []struct {
		name  string
		fault func(e *simeng.Engine) error
	}{
		{
			name: "killed",
			fault: func(e *simeng.Engine) error {
				e.Kill()
				return nil
			},
		},
		{
			name:  "hung",
			fault: func(e *simeng.Engine) error { return e.Inject(simeng.NewFault(simeng.Hang, time.Minute)) },
		},
		{
			name:  "reset the streams of",
			fault: func(e *simeng.Engine) error { return e.Inject(simeng.NewFault(simeng.Reset, 0)) },
		},
	}
	used := make(map[*simeng.Engine]bool)
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(2 * time.Second):
		}
		e := busiest(site.Engines(), used)
		if e == nil {
			return errors.Newf("demo: no busy engine to be %s", s.name)
		}
		used[e] = true
		if err := s.fault(e); err != nil {
			return errors.Wrapf(err, "demo: %s", e.Name())
		}
		logf("%s %s in the middle of its responses", s.name, e.Name())
	}
	return nil
}

// demoPlainServiceFaults resets calls of one plain service after they ran, and
// kills another plain service.
func demoPlainServiceFaults(ctx context.Context, site *Site, logf func(format string, args ...any)) error {
	steps := []struct {
		after   time.Duration
		message string
		fault   simsvc.Fault
	}{
		{
			after:   demoResetDelay,
			message: "reset calls after they ran",
			fault:   simsvc.NewFault(simsvc.ResetAfter, 0).WithCount(resetCalls),
		},
		{
			after:   demoKillDelay,
			message: "killed for 3 s",
			fault:   simsvc.NewFault(simsvc.Kill, 3*time.Second),
		},
	}
	for i, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.after):
		}
		p := site.PlainServices()[i]
		if err := p.Inject(s.fault); err != nil {
			return errors.Wrapf(err, "demo: %s", p.Name())
		}
		logf("%s: %s", p.Name(), s.message)
	}
	return nil
}

// busiest returns the engine that generates the most tokens over a short time,
// or nil if all are idle or excluded.
func busiest(engines []*simeng.Engine, except map[*simeng.Engine]bool) *simeng.Engine {
	before := make(map[*simeng.Engine]uint64)
	for _, e := range engines {
		before[e] = e.Generated()
	}
	time.Sleep(4 * demoTokenGap)
	var best *simeng.Engine
	var most uint64
	for _, e := range engines {
		if n := e.Generated() - before[e]; n > most && !except[e] {
			best, most = e, n
		}
	}
	return best
}

// checkDemo returns an error if the result breaks a guarantee to callers.
func checkDemo(r *Result) error {
	if r.Count(Whole) != r.Requests() || r.Requests() != demoRequests {
		return errors.Newf("demo: %d of %d responses are whole: %v", r.Count(Whole), demoRequests, r.Notes())
	}
	if longest := r.LongestResume(); longest == 0 || longest > maxInterruption {
		return errors.Newf("demo: the longest interruption was %s, wanted one of at most %s", longest, maxInterruption)
	}
	if n := r.Audit().bookings; n < demoBookings {
		return errors.Newf("demo: %d bookings, wanted %d", n, demoBookings)
	}
	return r.Audit().Check()
}
