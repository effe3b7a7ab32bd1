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
	// demoQuestions is the number of requests of the demo.
	demoQuestions = 72
	// demoWorkers is the number of callers at a time.
	demoWorkers = 24
	// demoTokens is the length of each response, about 4 s at the token gap.
	demoTokens = 80
	// demoGap is the engines' token gap.
	demoGap = 40 * time.Millisecond
	// demoBookings is the least number of bookings; about 300 fit in.
	demoBookings = 50
	// demoReset and demoKill are the times between the faults of plain services.
	demoReset = 1500 * time.Millisecond
	demoKill  = 2 * time.Second
	// resetCalls is the number of calls that the reset hits; half are bookings.
	resetCalls = 4
	// resumeLimit is the longest time that output may stop after a loss.
	resumeLimit = 4 * time.Second
	// settleTime lets the VM list and the first load reports come in.
	settleTime = 1500 * time.Millisecond
	// resumeGap is the token gap above which output counts as interrupted.
	resumeGap = 150 * time.Millisecond
)

// DemoZones returns two regions with three failure domains.
func DemoZones() []Zone {
	return []Zone{
		NewZone("gab-mill", "gabrovo", 1, 4).WithPlains(1),
		NewZone("gab-annex", "gabrovo", 1, 4).WithPlains(1),
		NewZone("plv-depot", "plovdiv", 1, 4).WithPlains(1),
	}
}

// Demo brings up a deployment, kills and hangs engines in the middle of
// responses, kills and resets plain services between bookings, and returns the measured result. The error tells which check
// failed. Progress goes to progress in plain lines.
func Demo(ctx context.Context, progress io.Writer, log zerolog.Logger) (*Result, error) {
	say := func(format string, args ...any) { fmt.Fprintf(progress, format+"\n", args...) }
	site := NewSite(DemoZones(), log, simeng.WithGap(demoGap, 0.2)).
		WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	say("started 2 regions, 3 failure domains, %d entry VMs, %d engines, %d plain services, the store and the VM list",
		len(site.Nodes()), len(site.Engines()), len(site.Plains()))
	began := time.Now()
	if err := site.Configure(ctx, 1, site.Declaration(time.Minute, 1)); err != nil {
		return nil, err
	}
	say("applied the declaration (model service draft, version v1, and plain service desk); in force on every VM after %s", time.Since(began).Round(time.Millisecond))
	time.Sleep(settleTime)

	caller := NewCaller(site.Entries(), Token(0))
	defer caller.Close()
	result := NewResult(resumeGap)
	load := NewLoad(caller, demoWorkers, func(n int) *Question {
		q := NewQuestion("draft", fmt.Sprintf("draft %d of a care label", n), []string{"v1"}, uint64(n), demoTokens)
		if n%3 == 2 {
			return q.WithChat()
		}
		return q
	})
	booker := NewBooker(site.Entries(), Token(0))
	defer booker.Close()
	orders := NewOrders(booker)
	ordering, stop := context.WithCancel(ctx)
	defer stop()
	orders.Start(ordering)
	faults := make(chan error, 2)
	go func() { faults <- demoFaults(ctx, site, say) }()
	go func() { faults <- plainFaults(ctx, site, say) }()
	load.Run(ctx, demoQuestions, result)
	stop()
	bookings, lookups, failed := orders.Wait()
	if err := errors.CombineErrors(<-faults, <-faults); err != nil {
		return nil, err
	}
	result.SetAudit(NewAudit(bookings, site.Ran()).WithLookups(lookups, len(failed)))
	result.SetGenerated(site.Generated())
	return result, demoCheck(result)
}

// demoFaults kills one busy engine, hangs a second and resets the streams of a
// third.
func demoFaults(ctx context.Context, site *Site, say func(format string, args ...any)) error {
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
			return errors.Newf("demo: no engine is busy to be %s", s.name)
		}
		used[e] = true
		if err := s.fault(e); err != nil {
			return errors.Wrapf(err, "demo: %s", e.Name())
		}
		say("%s %s in the middle of its responses", s.name, e.Name())
	}
	return nil
}

// plainFaults resets calls of one plain service after it ran them, and kills
// another.
func plainFaults(ctx context.Context, site *Site, say func(format string, args ...any)) error {
	steps := []struct {
		after time.Duration
		say   string
		fault simsvc.Fault
	}{
		{
			after: demoReset,
			say:   "reset calls after they ran",
			fault: simsvc.NewFault(simsvc.ResetAfter, 0).WithCount(resetCalls),
		},
		{
			after: demoKill,
			say:   "killed for 3 s",
			fault: simsvc.NewFault(simsvc.Kill, 3*time.Second),
		},
	}
	for i, s := range steps {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.after):
		}
		p := site.Plains()[i]
		if err := p.Inject(s.fault); err != nil {
			return errors.Wrapf(err, "demo: %s", p.Name())
		}
		say("%s: %s", p.Name(), s.say)
	}
	return nil
}

// busiest returns the engine that generates most over a short time, or nil.
func busiest(engines []*simeng.Engine, except map[*simeng.Engine]bool) *simeng.Engine {
	before := make(map[*simeng.Engine]uint64)
	for _, e := range engines {
		before[e] = e.Generated()
	}
	time.Sleep(4 * demoGap)
	var best *simeng.Engine
	var most uint64
	for _, e := range engines {
		if n := e.Generated() - before[e]; n > most && !except[e] {
			best, most = e, n
		}
	}
	return best
}

// demoCheck returns what the result breaks of the promises to callers.
func demoCheck(r *Result) error {
	if r.Count(Whole) != r.Requests() || r.Requests() != demoQuestions {
		return errors.Newf("demo: %d of %d responses are whole: %v", r.Count(Whole), demoQuestions, r.Notes())
	}
	if longest := r.Longest(); longest == 0 || longest > resumeLimit {
		return errors.Newf("demo: the longest interruption was %s, wanted one of at most %s", longest, resumeLimit)
	}
	if n := r.Audit().bookings; n < demoBookings {
		return errors.Newf("demo: %d bookings, wanted %d", n, demoBookings)
	}
	return r.Audit().Check()
}
