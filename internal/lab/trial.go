package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/simeng"
)

// baselineTimeout is the time without a token after which the baseline policy
// resumes a response elsewhere.
const baselineTimeout = 2 * time.Second

// Plan is the setup of a trial.
type Plan struct {
	zones       []Zone
	domainDelay time.Duration
	regionDelay time.Duration
	// callers is the number of concurrent requests, and requests the total.
	callers  int
	requests int
	tokens   int
	tokenGap time.Duration
	seed     uint64
}

// NewPlan returns a plan for one of the deployments, "gabrovo" or "brno", with
// the given numbers of concurrent requests and of requests in total.
func NewPlan(deployment string, callers, count int, seed uint64) Plan {
	p := Plan{
		zones: []Zone{
			NewZone("gab-mill", "gabrovo", 3, 12),
			NewZone("gab-annex", "gabrovo", 3, 12),
			NewZone("plv-depot", "plovdiv", 3, 11),
		},
		domainDelay: 1500 * time.Microsecond,
		regionDelay: 12 * time.Millisecond,
		callers:     callers,
		requests:    count,
		tokens:      100,
		tokenGap:    demoTokenGap,
		seed:        seed,
	}
	if deployment == "brno" {
		p.zones = []Zone{
			NewZone("brno-sklad", "moravia", 3, 7),
			NewZone("olomouc-dvur", "moravia", 3, 7),
			NewZone("kladno-hala", "bohemia", 3, 6),
		}
		p.domainDelay = 500 * time.Microsecond
	}
	return p
}

// Trial is the result of one fault under one policy.
type Trial struct {
	fault  string
	policy string
	result *Result
	// resumes holds the resume latencies measured on the entry VMs in
	// microseconds.
	resumes     *hdrhistogram.Histogram
	suspicions  int
	falseAlarms int
	crossBytes  int64
	took        time.Duration
}

// Result returns the callers' view of the responses.
func (t *Trial) Result() *Result { return t.result }

// Resumes returns the number of resumes measured on the entry VMs.
func (t *Trial) Resumes() int64 { return t.resumes.TotalCount() }

// Resume returns a percentile, from 0 to 100, of the resume latency.
func (t *Trial) Resume(percentile float64) time.Duration {
	return time.Duration(t.resumes.ValueAtQuantile(percentile)) * time.Microsecond
}

// Broken returns the number of responses with a missing, repeated or mixed
// token.
func (t *Trial) Broken() int {
	return t.result.Count(Missing) + t.result.Count(Repeated) + t.result.Count(Mixed)
}

// Run runs the plan under a fault. The policy is "cadence", or "simple" for the
// baseline.
func (p Plan) Run(ctx context.Context, f Fault, policy string, log zerolog.Logger) (*Trial, error) {
	t := &Trial{
		fault:   f.name,
		policy:  policy,
		result:  NewResult(resumeThreshold),
		resumes: hdrhistogram.New(minMicros, maxMicros, histogramDigits),
	}
	var mu sync.Mutex
	site := NewSite(p.zones, log, simeng.WithGap(p.tokenGap, 0)).WithDelays(p.domainDelay, p.regionDelay)
	site.onResponse = func(r *relay.Response) {
		mu.Lock()
		defer mu.Unlock()
		t.suspicions += r.Stats().Suspicions()
		t.falseAlarms += r.Stats().FalseAlarms()
		if d := r.Stats().Resume(); d > 0 {
			record(t.resumes, d)
		}
	}
	if policy == "simple" {
		site.baselineTimeout = baselineTimeout
	}
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Configure(ctx, 1, site.Declaration(time.Minute, 1)); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	caller := NewCaller(site.EntryAddrs(), Token(0))
	defer caller.Close()

	faultCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.run(faultCtx, site, rand.New(rand.NewPCG(p.seed, 1)))
	}()
	began := time.Now()
	NewLoad(caller, p.callers, p.makeRequest).Run(ctx, p.requests, t.result)
	t.took = time.Since(began)
	stop()
	<-done
	t.result.SetGenerated(site.Generated())
	t.crossBytes = site.CrossBytes()
	return t, nil
}

// makeRequest returns the n-th request. A quarter are chats and a quarter are
// not streamed, and some prompts share a prefix.
func (p Plan) makeRequest(n int) *Request {
	q := NewRequest("draft", fmt.Sprintf("pattern %d, draft %d", n%50, n), []string{"v1"}, p.seed+uint64(n), p.tokens)
	switch n % 4 {
	case 1:
		return q.WithChat()
	case 3:
		return q.WithoutStream()
	}
	return q
}

// Table returns the trials as aligned lines.
func Table(ts []*Trial) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %-8s %8s %7s %7s %8s %8s %9s %9s %9s %8s %7s %7s %9s\n", "fault", "policy", "requests", "whole",
		"broken", "refused", "resumes", "p50 ms", "p99 ms", "max ms", "extra %", "suspect", "false", "cross KB")
	for _, t := range ts {
		fmt.Fprintf(&b, "%-8s %-8s %8d %7d %7d %8d %8d %9.0f %9.0f %9.0f %8.2f %7d %7d %9d\n", t.fault, t.policy,
			t.result.Requests(), t.result.Count(Whole), t.Broken(), t.result.Count(Refused), t.Resumes(),
			ms(t.Resume(50)), ms(t.Resume(99)), ms(t.Resume(100)), 100*t.result.Extra(), t.suspicions, t.falseAlarms, t.crossBytes/1024)
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
