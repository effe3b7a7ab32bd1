package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simeng"
)

const (
	// drillTokens and drillTokenGap make a response last 0.6 s, so that an
	// engine can recover before its end.
	drillTokens   = 60
	drillTokenGap = 10 * time.Millisecond
	// drillPrefill delays the first token enough to inject a fault before it.
	drillPrefill = 2 * time.Millisecond
	// drillMaxDuration is longer than any drill. It is the duration of lasting
	// faults and the deadline of responses.
	drillMaxDuration = 30 * time.Second
	// drillPollInterval is the time between two reads of the engines' counters.
	drillPollInterval = time.Millisecond
)

// The positions in a response at which a drill injects its fault.
const (
	BeforeFirstToken = "first"
	MidResponse      = "middle"
	BeforeLastToken  = "last"
)

// positions holds how many tokens of the response an engine has generated at
// each position, except before the first token.
var positions = map[string]uint64{
	MidResponse:     drillTokens / 2,
	BeforeLastToken: drillTokens - 1,
}

// Drill runs one response and injects one fault at a known position in it.
type Drill struct {
	fault    drillFault
	position string
	stream   bool
	// injectDelay delays the injection, as the scheduler of a busy machine may
	// do.
	injectDelay time.Duration
}

// drillFault is a fault of a drill.
type drillFault struct {
	name string
	// onlyDomain, if not "", is the failure domain whose engines are the only
	// ones running when the response starts. The others are restarted before
	// the fault.
	onlyDomain string
	// fatal is true if the fault leaves no engine running. The response then
	// has a short deadline, because it can only fail.
	fatal bool
	// inject injects the fault; e is the engine that generates the response.
	inject func(d *drillRun, e *simeng.Engine) error
}

// drillRun is the state of a running drill.
type drillRun struct {
	ctx  context.Context
	site *Site
	// generatedBefore and startedBefore hold each engine's counters before the
	// response.
	generatedBefore map[*simeng.Engine]uint64
	startedBefore   map[*simeng.Engine]uint64
}

// drillFaults lists the faults. Faults of invalid output also kill the engine,
// so that the response resumes on engines of which all but one return invalid
// output.
var drillFaults = []drillFault{
	{
		name: "kill",
		inject: func(_ *drillRun, e *simeng.Engine) error {
			e.Kill()
			return nil
		},
	},
	{
		name:   "pause",
		inject: injectFault(simeng.NewFault(simeng.Pause, drillMaxDuration)),
	},
	{
		// The engine continues after the response moved to another one and
		// before the response ends.
		name:   "late",
		inject: injectFault(simeng.NewFault(simeng.Pause, 450*time.Millisecond)),
	},
	{
		name:   "hang",
		inject: injectFault(simeng.NewFault(simeng.Hang, drillMaxDuration)),
	},
	{
		name:   "stall",
		inject: injectFault(simeng.NewFault(simeng.Stall, 0)),
	},
	{
		name:   "reset",
		inject: injectFault(simeng.NewFault(simeng.Reset, 0)),
	},
	{
		name:   "slow",
		inject: injectFault(simeng.NewFault(simeng.Slow, drillMaxDuration).WithFactor(3)),
	},
	{
		name:       "partition",
		onlyDomain: "gab-annex",
		inject: func(d *drillRun, _ *simeng.Engine) error {
			d.site.Link("gab-mill", "gab-annex").Cut(true)
			return nil
		},
	},
	{
		name:       "region",
		onlyDomain: "plv-depot",
		inject: func(d *drillRun, _ *simeng.Engine) error {
			d.site.CutRegion("plovdiv", true)
			return nil
		},
	},
	{
		name: "domain",
		inject: func(d *drillRun, e *simeng.Engine) error {
			for _, o := range d.site.Engines() {
				if d.site.Domain(o.Name()) == d.site.Domain(e.Name()) {
					o.Kill()
				}
			}
			return nil
		},
	},
	{
		name:   "second",
		inject: killResumedEngine,
	},
	{
		name: "entry",
		inject: func(d *drillRun, _ *simeng.Engine) error {
			d.site.Crash(1)
			return nil
		},
	},
	{
		name: "both",
		inject: func(d *drillRun, e *simeng.Engine) error {
			e.Kill()
			d.site.Crash(1)
			return nil
		},
	},
	{
		name:   "error",
		inject: corruptResume(simeng.BadError),
	},
	{
		name:   "truncate",
		inject: corruptResume(simeng.BadTruncate),
	},
	{
		name:   "repeat",
		inject: corruptResume(simeng.BadRepeat),
	},
	{
		name:   "skip",
		inject: corruptResume(simeng.BadSkip),
	},
	{
		name:   "cross",
		inject: corruptResume(simeng.BadCross),
	},
	{
		name:   "finish",
		inject: corruptResume(simeng.BadFinish),
	},
	{
		name:  "all",
		fatal: true,
		inject: func(d *drillRun, _ *simeng.Engine) error {
			for _, e := range d.site.Engines() {
				e.Kill()
			}
			return nil
		},
	},
}

// DrillFaults returns the names of the faults in the order of the tables.
func DrillFaults() []string {
	names := make([]string, len(drillFaults))
	for i, f := range drillFaults {
		names[i] = f.name
	}
	return names
}

// NewDrill returns the drill of the named fault at a position, for a response
// that is streamed or sent in one body. An unknown fault is an error.
func NewDrill(fault, position string, stream bool) (*Drill, error) {
	for _, f := range drillFaults {
		if f.name == fault {
			return &Drill{
				fault:    f,
				position: position,
				stream:   stream,
			}, nil
		}
	}
	return nil, errors.Newf("lab: unknown fault %q", fault)
}

// Run starts a deployment, injects the fault while one response runs and
// returns the response. The error says that the fault could not be injected.
func (d *Drill) Run(ctx context.Context, log zerolog.Logger) (*Response, error) {
	site := NewSite([]Zone{
		NewZone("gab-mill", "gabrovo", 2, 2),
		NewZone("gab-annex", "gabrovo", 0, 2),
		NewZone("plv-depot", "plovdiv", 0, 1),
	}, log, simeng.WithGap(drillTokenGap, 0), simeng.WithPrefill(drillPrefill)).
		WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	deadline := drillMaxDuration
	if d.fault.fatal {
		deadline = 2 * time.Second
	}
	site.Configure(ctx, 1, site.Declaration(deadline, 1))
	time.Sleep(settleTime)
	for _, e := range site.Engines() {
		if d.fault.onlyDomain != "" && site.Domain(e.Name()) != d.fault.onlyDomain {
			e.Kill()
		}
	}
	run := &drillRun{
		ctx:             ctx,
		site:            site,
		generatedBefore: make(map[*simeng.Engine]uint64),
		startedBefore:   make(map[*simeng.Engine]uint64),
	}
	for _, e := range site.Engines() {
		run.generatedBefore[e] = e.Generated()
		run.startedBefore[e] = e.Started()
		// The engine stops at the position until the fault is injected, because
		// the last two tokens are only 10 ms apart.
		if n := positions[d.position]; n > 0 {
			e.HoldAfter(n)
		}
	}
	// The caller's first request goes to the second address, that of the entry
	// VM that Crash(1) stops.
	caller := NewCaller(site.EntryAddrs(), Token(0))
	defer caller.Close()
	injected := make(chan error, 1)
	go func() { injected <- run.inject(d) }()
	q := NewRequest("draft", "a pattern of oak leaves for a table runner, two repeats", []string{"v1"}, rand.Uint64()>>1, drillTokens)
	if !d.stream {
		q.WithoutStream()
	}
	response := caller.Call(ctx, q)
	return response, <-injected
}

// Summary returns the verdict on a response as a word. A whole response whose
// output was interrupted for too long is "late", and the outcome stated in a
// problem is appended.
func (d *Drill) Summary(r *Response) string {
	limit := maxInterruption
	if !d.stream {
		limit += 2 * drillTokens * drillTokenGap
	}
	switch {
	case r.Verdict() == Whole && max(r.TimeToFirstToken(), r.LargestGap()) > limit:
		return "late"
	case r.Outcome() != "":
		return fmt.Sprintf("%s:%s", r.Verdict(), r.Outcome())
	}
	return r.Verdict().String()
}

// inject waits for the position and injects the fault.
func (r *drillRun) inject(d *Drill) error {
	defer func() {
		for _, other := range r.site.Engines() {
			other.Release()
		}
	}()
	e, err := r.awaitPosition(d.position)
	if err != nil {
		return err
	}
	time.Sleep(d.injectDelay)
	for _, other := range r.site.Engines() {
		if d.fault.onlyDomain != "" && r.site.Domain(other.Name()) != d.fault.onlyDomain {
			if err := other.Restart(); err != nil {
				return err
			}
		}
	}
	return d.fault.inject(r, e)
}

// awaitPosition waits until the response is at the position and returns the
// engine that generates it.
func (r *drillRun) awaitPosition(position string) (*simeng.Engine, error) {
	return r.awaitEngine(func(e *simeng.Engine) bool {
		n := e.Generated() - r.generatedBefore[e]
		if position == BeforeFirstToken {
			return e.Started() > r.startedBefore[e]
		}
		return n >= positions[position]
	})
}

// awaitEngine polls until ready holds for an engine and returns that engine.
func (r *drillRun) awaitEngine(ready func(e *simeng.Engine) bool) (*simeng.Engine, error) {
	end := time.Now().Add(2 * maxInterruption)
	for time.Now().Before(end) && r.ctx.Err() == nil {
		for _, e := range r.site.Engines() {
			if ready(e) {
				return e, nil
			}
		}
		time.Sleep(drillPollInterval)
	}
	return nil, errors.New("lab: no engine reached the position of the fault")
}

func injectFault(f simeng.Fault) func(*drillRun, *simeng.Engine) error {
	return func(_ *drillRun, e *simeng.Engine) error { return e.Inject(f) }
}

// killResumedEngine kills the engine, and then the one on which the response
// resumes.
func killResumedEngine(r *drillRun, e *simeng.Engine) error {
	e.Kill()
	next, err := r.awaitEngine(func(o *simeng.Engine) bool { return o != e && o.Started() > r.startedBefore[o] })
	if err != nil {
		return err
	}
	next.Kill()
	return nil
}

// corruptResume makes all other engines but one return invalid output and kills
// the engine that generates the response.
func corruptResume(kind string) func(*drillRun, *simeng.Engine) error {
	return func(r *drillRun, e *simeng.Engine) error {
		others := 0
		for _, o := range r.site.Engines() {
			if o == e {
				continue
			}
			if others++; others == 1 {
				continue
			}
			if err := o.Inject(simeng.NewFault(simeng.Bad, drillMaxDuration).WithKind(kind)); err != nil {
				return err
			}
		}
		e.Kill()
		return nil
	}
}
