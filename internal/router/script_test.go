package router

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// epoch is the start time of every script.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// script runs the commands of one data file against a router.
type script struct {
	router *Router
	now    time.Time
	vms    []*world.VM
	// served counts the requests of the serve command.
	served int
	// reports holds the report of each response that ended.
	reports []string
}

func newScript(seed uint64) *script {
	s := &script{now: epoch}
	s.router = New("gabrovo", seed, func(_ time.Time, r *relay.Response) {
		st := r.Stats()
		s.reports = append(s.reports, fmt.Sprintf("report %s attempts=%d resume=%s extra=%d suspicions=%d truncated=%d",
			r.Request().ID(), st.Attempts(), st.Resume(), st.DiscardedTokens(), st.Suspicions(), st.Truncated()))
	})
	return s
}

// TestScripts checks the exact actions for the events of each script. The
// scripts cover lost and silent attempts, mismatched and late output, overload
// and moves.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(1)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

// TestTraceRepeats guards against decisions that depend on map order or another
// source of randomness than the seed: equal seeds and events must produce equal
// traces.
func TestTraceRepeats(t *testing.T) {
	trace := func() string {
		var b strings.Builder
		s := newScript(7)
		datadriven.RunTestFromString(t, replayScript, func(t *testing.T, d *datadriven.TestData) string {
			b.WriteString(s.run(t, d))
			return d.Expected
		})
		return b.String()
	}
	if first, second := trace(), trace(); first != second || first == "" {
		t.Errorf("traces differ:\n%s\nand\n%s", first, second)
	}
}

const replayScript = `
config service=draft
----

engines count=20 slots=2
----

arrive count=60 service=draft
----

lost engine=e3 cause=reset
----

after d=1s
----
`

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	step := func(ev Event) {
		for _, a := range s.router.Step(s.now, ev) {
			b.WriteString(formatAction(a))
		}
		for _, e := range s.reports {
			b.WriteString(e + "\n")
		}
		s.reports = nil
	}
	switch d.Cmd {
	case "config":
		step(NewConfig(s.config(t, d)))
	case "engines":
		s.engines(t, d, step)
	case "arrive":
		s.arrive(t, d, step)
	case "load":
		step(NewLoad(stringArg(t, d, "engine", ""), s.load(t, d)))
	case "tokens":
		s.tokens(t, d, step)
	case "finish":
		step(NewFinish(stringArg(t, d, "id", "r1"), attemptArg(t, d), intArg(t, d, "index", 0), stringArg(t, d, "reason", "stop"), 3))
	case "lost":
		s.lost(t, d, step)
	case "caller-left":
		step(NewCallerLeft(stringArg(t, d, "id", "r1")))
	case "slow-reader":
		step(NewSlowReader(stringArg(t, d, "id", "r1")))
	case "limits":
		step(s.limits(t, d))
	case "serve":
		if d.HasArg("percent") || d.HasArg("done") {
			step(s.limits(t, d))
		}
		b.WriteString(s.serve(t, d))
	case "after":
		s.after(durationArg(t, d, "d", 0), step)
	case "unreachable":
		step(NewUnreachable(stringArg(t, d, "engine", "")))
	case "pause":
		s.now = s.now.Add(durationArg(t, d, "d", 0))
		step(NewTick())
	case "state":
		for _, e := range s.router.Engines() {
			fmt.Fprintf(&b, "%s %s outstanding=%d\n", e.Name(), e.State(), e.Outstanding())
		}
		fmt.Fprintf(&b, "live=%d queued=%d\n", s.router.Live(), s.router.Queued())
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return b.String()
}

func (s *script) config(t *testing.T, d *datadriven.TestData) *world.Config {
	m := world.NewModelService(stringArg(t, d, "service", "draft"), stringArg(t, d, "version", "v1"), world.NewContract(time.Minute))
	ws := []*world.Workspace{
		world.NewWorkspace("small", "k1", 1, world.Interactive),
		world.NewWorkspace("large", "k2", 1, world.Interactive),
	}
	if d.HasArg("move") {
		m = m.WithMove(world.NewMove("m", "v1", stringArg(t, d, "move", ""), epoch, epoch.Add(time.Hour), 0.05))
	}
	link := world.NewLink("gabrovo", "plovdiv", int64(intArg(t, d, "link", 3_750_000)))
	return world.NewConfig(s.router.Config().Revision()+1, nil, []*world.Link{link}, []*world.Service{m}, ws)
}

// limits returns the event that sets the limits of a version. They start at the
// epoch and end after an hour, like the move of the config command.
func (s *script) limits(t *testing.T, d *datadriven.TestData) Event {
	l := move.NewLimits(float64(intArg(t, d, "percent", 0))/100, float64(intArg(t, d, "max", math.MaxInt)), epoch, epoch.Add(time.Hour))
	if d.HasArg("done") {
		l = l.WithDone()
	}
	return NewMoveLimits("draft", stringArg(t, d, "version", "v2"), l, d.HasArg("ban"))
}

// serve runs requests one after the other and returns how many each version
// served.
func (s *script) serve(t *testing.T, d *datadriven.TestData) string {
	served := make(map[string]int)
	for range intArg(t, d, "count", 1) {
		s.served++
		q := relay.NewRequest(fmt.Sprintf("m%d", s.served), "draft", "small", world.Interactive, s.now.Add(time.Minute)).WithPrompt("p", 0)
		for _, a := range s.router.Step(s.now, NewArrive(q)) {
			served[a.Version()]++
		}
		s.router.Step(s.now, NewCallerLeft(q.ID()))
	}
	s.reports = nil
	return fmt.Sprintf("v1 %d, v2 %d\n", served["v1"], served["v2"])
}

// engines adds engines named e1, e2, ... and sends a load report for each.
func (s *script) engines(t *testing.T, d *datadriven.TestData, step func(Event)) {
	first := intArg(t, d, "first", 1)
	n := intArg(t, d, "count", 1)
	for i := first; i < first+n; i++ {
		vm := world.NewVM(fmt.Sprintf("e%d", i), world.Engine, fmt.Sprintf("10.0.0.%d:80", i), "gab-mill", stringArg(t, d, "region", "gabrovo"))
		s.vms = append(s.vms, vm.WithService("draft"))
	}
	step(NewMembers(s.vms))
	for i := first; i < first+n; i++ {
		step(NewLoad(fmt.Sprintf("e%d", i), s.load(t, d)))
	}
}

func (s *script) load(t *testing.T, d *datadriven.TestData) fleet.Load {
	return fleet.NewLoad(stringArg(t, d, "incarnation", "a"), intArg(t, d, "running", 0), intArg(t, d, "waiting", 0),
		intArg(t, d, "slots", 4), strings.Split(stringArg(t, d, "version", "v1"), "+"), d.HasArg("leaving"), durationArg(t, d, "age", 0))
}

func (s *script) arrive(t *testing.T, d *datadriven.TestData, step func(Event)) {
	n := intArg(t, d, "count", 1)
	for i := range n {
		id := stringArg(t, d, "id", "r1")
		if n > 1 {
			id = fmt.Sprintf("r%d", i+1)
		}
		q := relay.NewRequest(id, stringArg(t, d, "service", "draft"), stringArg(t, d, "workspace", "small"),
			world.Interactive, s.now.Add(durationArg(t, d, "deadline", time.Minute))).
			WithPrompt("p", uint64(i)<<60).
			WithSampling(intArg(t, d, "limit", 10), 1, relay.NewSampling(-1, -1, nil)).
			WithGrace(durationArg(t, d, "grace", 0))
		if d.HasArg("resume") {
			q.WithResume(relay.NewResume("v1", stringArg(t, d, "resume", ""), "10.0.0.9:80", 1, intArg(t, d, "offset", 0), s.digest(intArg(t, d, "offset", 0), intArg(t, d, "salt", 0))))
		}
		step(NewArrive(q))
	}
}

// digest returns the digest of the first n tokens that the tokens command sends.
func (s *script) digest(n, salt int) uint64 {
	r := relay.NewResponse(relay.NewRequest("d", "draft", "small", world.Batch, s.now.Add(time.Hour)).WithSampling(n, 1, relay.NewSampling(-1, -1, nil)), "v1",
		relay.NewPolicy(
			func(time.Time, *relay.Response, []*fleet.Engine) *fleet.Engine {
				return fleet.NewEngine(world.NewVM("d", world.Engine, "", "", ""))
			},
			nil, nil))
	out := r.Start(s.now, nil)
	for i := range n {
		out = r.Token(s.now, 1, i, uint32(100+i+salt), "", nil)
	}
	if n == 0 {
		return 0
	}
	return out[0].Output().At().Digest()
}

// tokens sends the tokens from..to of an attempt, spaced by gap.
func (s *script) tokens(t *testing.T, d *datadriven.TestData, step func(Event)) {
	from := intArg(t, d, "from", 0)
	for i := from; i <= intArg(t, d, "to", from); i++ {
		s.now = s.now.Add(durationArg(t, d, "gap", 40*time.Millisecond))
		step(NewToken(stringArg(t, d, "id", "r1"), attemptArg(t, d), i, uint32(100+i+intArg(t, d, "salt", 0)), fmt.Sprintf("t%d", i)))
	}
}

var causes = map[string]relay.Cause{
	"reset":       relay.Reset,
	"refused":     relay.Refused,
	"unreachable": relay.Unreachable,
	"departing":   relay.Departing,
	"absent":      relay.NotFound,
	"bad":         relay.InvalidResponse,
}

// lost reports the loss of one attempt, or of every attempt on an engine.
func (s *script) lost(t *testing.T, d *datadriven.TestData, step func(Event)) {
	cause, ok := causes[stringArg(t, d, "cause", "reset")]
	if !ok {
		t.Fatalf("%s: unknown cause", d.Pos)
	}
	if !d.HasArg("engine") {
		step(NewLost(stringArg(t, d, "id", "r1"), attemptArg(t, d), cause))
		return
	}
	for i := range 100 {
		id := fmt.Sprintf("r%d", i+1)
		if r := s.router.responses[id]; r != nil && r.AttemptOn(stringArg(t, d, "engine", "")) != 0 {
			step(NewLost(id, r.AttemptOn(stringArg(t, d, "engine", "")), cause))
		}
	}
}

// after advances the time by d and fires each timer at the time it is due.
func (s *script) after(d time.Duration, step func(Event)) {
	end := s.now.Add(d)
	for {
		at, ok := s.router.Next()
		if !ok || at.After(end) {
			break
		}
		if at.After(s.now) {
			s.now = at
		}
		step(NewTick())
	}
	s.now = end
}

func formatAction(a relay.Action) string {
	id := a.Request().ID()
	switch a.Kind() {
	case relay.Open:
		return fmt.Sprintf("open %s/%d on %s version=%s prefix=%d\n", id, a.Attempt(), a.Engine().Name(), a.Version(), len(a.Prefix()))
	case relay.Attach:
		return fmt.Sprintf("attach %s/%d on %s source=%d offset=%d\n", id, a.Attempt(), a.Engine().Name(), a.Source(), a.Offset())
	case relay.Cancel:
		return fmt.Sprintf("cancel %s/%d on %s\n", id, a.Attempt(), a.Engine().Name())
	case relay.Detach:
		return fmt.Sprintf("detach %s/%d on %s\n", id, a.Attempt(), a.Engine().Name())
	case relay.Emit:
		return fmt.Sprintf("emit %s %s\n", id, formatOutput(a.Output()))
	default:
		return fmt.Sprintf("end %s\n", id)
	}
}

func formatOutput(o relay.Output) string {
	at := "-"
	if o.At() != nil {
		at = fmt.Sprintf("%s/%d@%d", o.At().Engine(), o.At().Attempt(), o.At().Offset())
	}
	switch o.Kind() {
	case relay.Chunk:
		return o.Text() + " " + at
	case relay.Done:
		return "done " + o.Finish() + " " + at
	default:
		return fmt.Sprintf("failed %s outcome=%s retry=%s %s", o.Problem(), o.Problem().Outcome(), o.Problem().Retry(), at)
	}
}

func attemptArg(t *testing.T, d *datadriven.TestData) uint32 {
	return uint32(intArg(t, d, "attempt", 1))
}

func stringArg(t *testing.T, d *datadriven.TestData, key, def string) string {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &def)
	}
	return def
}

func intArg(t *testing.T, d *datadriven.TestData, key string, def int) int {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &def)
	}
	return def
}

func durationArg(t *testing.T, d *datadriven.TestData, key string, def time.Duration) time.Duration {
	if !d.HasArg(key) {
		return def
	}
	var s string
	d.ScanArgs(t, key, &s)
	v, err := time.ParseDuration(s)
	if err != nil {
		t.Fatalf("%s: %v", d.Pos, err)
	}
	return v
}
