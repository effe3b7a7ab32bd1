package proxy

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/stand"
	"clementinelink.example/clementinelink/internal/table"
	"github.com/cockroachdb/datadriven"
)

// script runs the commands of one data file against a core.
type script struct {
	t    *testing.T
	core *Core
	now  time.Time
	base time.Time
	// stops holds the latest order to stop each run, by its text.
	stops map[string]reap.Order
	// showsRetry is true if the time to come back of refusals is printed.
	showsRetry bool
	// showsRank is true if the ranks of attempts are printed.
	showsRank bool
	// hedges counts the results of hedges.
	hedges map[hedge.Result]int
}

// TestScripts guards the decisions about forwarded requests. The head of each
// data file states the failures that it guards against. Times are in
// milliseconds since the start of the file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s := &script{
			t:      t,
			core:   New(pool.New("r1", "a", 1), budget.NewLimits(0.8, 180, 10*time.Second), 1).WithExposure(move.NewExposure(0.1, 50)),
			now:    base,
			base:   base,
			stops:  make(map[string]reap.Order),
			hedges: make(map[hedge.Result]int),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(_ *testing.T, d *datadriven.TestData) string {
	if at := s.number(d, "at", -1); at >= 0 {
		s.now = s.base.Add(time.Duration(at) * time.Millisecond)
	}
	number := uint64(s.number(d, "n", 1))
	attempt := s.number(d, "try", 1)
	switch d.Cmd {
	case "table":
		return s.step(NewConfigure(s.table(d)))
	case "list":
		return s.step(NewMembers(s.entries(d), nil))
	case "unlist":
		return s.step(NewMembers(nil, strings.Fields(d.Input)))
	case "arrive":
		return s.step(NewArrive(NewRequest(RequestSpec{
			Number:   number,
			ID:       "q" + strconv.FormatUint(number, 10),
			Host:     s.text(d, "host", "h"),
			Path:     s.text(d, "path", "/"),
			Key:      s.text(d, "key", ""),
			Prompt:   s.number(d, "prompt", 0),
			Output:   s.number(d, "output", 0),
			Session:  s.text(d, "session", ""),
			Parts:    s.list(d, "parts"),
			Position: s.number(d, "position", 0),
			Wait:     time.Duration(s.number(d, "wait", 0)) * time.Millisecond,
		})))
	case "head":
		return s.step(NewHead(number, attempt, NewAnswer(http.StatusOK, http.Header{}, nil), Load{}.WithSlowDown(s.number(d, "speed", 0))))
	case "piece":
		return s.step(NewPiece(number, attempt, s.number(d, "index", 1), []byte("x")))
	case "held-back":
		return s.step(NewHeldBack(number, attempt, !d.HasArg("ended")))
	case "copied":
		return s.step(NewCopied(number, attempt, s.text(d, "handle", "")))
	case "finish":
		return s.step(NewFinish(number, attempt))
	case "reply":
		return s.step(NewReply(number, attempt, NewAnswer(s.number(d, "status", 200), http.Header{}, nil), s.load(d)))
	case "lost":
		return s.step(NewLost(number, attempt, s.cause(d), ""))
	case "misdirected":
		return s.step(NewMisdirected(number, attempt, s.text(d, "to", "")))
	case "id-reported":
		return s.step(NewIDReported(s.text(d, "id", ""), s.text(d, "as", "")))
	case "move":
		l := move.NewLimits(float64(s.number(d, "percent", 0))/100, math.Inf(1), s.base, s.base.Add(time.Hour))
		if d.HasArg("done") {
			l = l.WithDone()
		}
		return s.step(NewMoveLimits("desk", "v2", l, d.HasArg("banned"), s.number(d, "seed", 1)))
	case "peers":
		names := make([]string, s.number(d, "count", 1))
		for i := range names {
			names[i] = "vm" + strconv.Itoa(i)
		}
		return s.step(NewPeers("vm"+strconv.Itoa(s.number(d, "self", 0)), names))
	case "charges":
		return s.step(NewCharges(s.charges(d)))
	case "prompt-reported":
		return s.step(NewPromptReported(number, s.text(d, "id", ""), s.number(d, "tokens", 0)))
	case "stop-reported":
		return s.step(NewStopReported(s.stops["q"+strconv.FormatUint(number, 10)+" at "+s.text(d, "id", "")], s.stopOutcome(d)))
	case "caller-left":
		return s.step(NewCallerLeft(number))
	case "state-reported":
		id, instance := s.text(d, "id", ""), s.text(d, "instance", "")
		if d.HasArg("silent") {
			return s.step(NewStateTimeout(id, instance, "", d.HasArg("refused")).Late(time.Duration(s.number(d, "late", 0)) * time.Millisecond))
		}
		return s.step(NewStateReported(id, instance, pool.NewState(pool.StateSpec{
			Running:    s.number(d, "running", 0),
			Prefilling: s.number(d, "prefilling", 0),
			Waiting:    s.number(d, "waiting", 0),
			Used:       s.number(d, "used", 0),
			Memory:     s.number(d, "memory", 55000),
			Models:     []string{s.text(d, "model", "m")},
			StartedAt:  int64(s.number(d, "started", 0)),
		})))
	case "begin":
		// Requests arrive one after the other, and each takes the same time from its
		// sending to its first piece. Their actions are not printed.
		for i := range s.number(d, "times", 1) {
			n := uint64(s.number(d, "first", 1) + i)
			arrived := s.now
			s.step(NewArrive(NewRequest(RequestSpec{
				Number: n,
				ID:     "q" + strconv.FormatUint(n, 10),
				Host:   "h",
				Path:   "/",
				Prompt: 5000,
				Output: 1100,
				Wait:   25 * time.Second,
			})))
			s.now = s.now.Add(placementTimeout)
			s.step(Event{})
			s.now = s.now.Add(time.Duration(s.number(d, "took", 0)) * time.Millisecond)
			s.step(NewPiece(n, 1, 1, []byte("x")))
			s.step(NewFinish(n, 1))
			s.now = arrived.Add(4 * time.Second)
		}
		return ""
	case "show-rank":
		s.showsRank = true
		return ""
	case "hedges":
		s.core.WithHedges(hedge.NewLimit(float64(s.number(d, "percent", 0))/100, s.number(d, "burst", 0)), func(r hedge.Result) { s.hedges[r]++ })
		return ""
	case "hedge-counts":
		return fmt.Sprintf("sent %d, denied by limit %d, by budget %d, won %d\n", s.hedges[hedge.Sent], s.hedges[hedge.OverLimit], s.hedges[hedge.OverBudget], s.hedges[hedge.Won])
	case "lookups":
		// Lookups arrive one after the other and are answered. Their actions are not
		// printed.
		for i := range s.number(d, "times", 1) {
			n := uint64(s.number(d, "first", 1) + i)
			s.step(NewArrive(NewRequest(RequestSpec{
				Number: n,
				ID:     "q" + strconv.FormatUint(n, 10),
				Host:   "h",
				Path:   "/",
				Wait:   1500 * time.Millisecond,
			})))
			s.now = s.now.Add(time.Duration(s.number(d, "took", 0)) * time.Millisecond)
			s.step(NewReply(n, 1, NewAnswer(http.StatusOK, http.Header{}, nil), s.load(d)))
		}
		return ""
	case "show-retry":
		s.showsRetry = true
		return ""
	case "heard":
		return s.step(s.heard(d))
	case "drain":
		return s.step(NewDrain(s.base.Add(time.Duration(s.number(d, "until", 0)) * time.Millisecond)))
	case "tick":
		return s.step(Event{}.Late(time.Duration(s.number(d, "late", 0)) * time.Millisecond))
	case "old-in-flight":
		return fmt.Sprintf("%d in flight\n", s.core.OldInFlight("desk"))
	case "pool":
		return s.pool()
	default:
		s.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	}
}

func (s *script) step(e Event) string {
	var b strings.Builder
	for _, a := range s.core.Step(s.now, e) {
		fmt.Fprintf(&b, "%d %s", a.Number(), a.Kind())
		switch a.Kind() {
		case Send:
			fmt.Fprintf(&b, " try=%d to=%s", a.Attempt(), a.Instance())
			if a.Holder() != nil {
				fmt.Fprintf(&b, " holder=%s", a.Holder().Entry().Domain())
			}
			if a.Copied() {
				b.WriteString(" copied")
			}
			if address, handle := a.Source(); handle != "" {
				fmt.Fprintf(&b, " from=%s/%s", address, handle)
			}
			if a.Position() > 0 {
				fmt.Fprintf(&b, " after=%d", a.Position())
			}
			fmt.Fprintf(&b, " left=%d", a.Deadline().Sub(s.now).Milliseconds())
			if s.showsRank {
				fmt.Fprintf(&b, " rank=%d", a.Rank())
			}
			if a.Workspace() != "" {
				fmt.Fprintf(&b, " workspace=%s", a.Workspace())
			}
		case Cancel:
			fmt.Fprintf(&b, " try=%d", a.Attempt())
		case Copy:
			fmt.Fprintf(&b, " %s to %s", a.Upstream().ID(), a.Holder().ID())
		case QueryState, QueryPrompt, QueryID:
			fmt.Fprintf(&b, " %s", a.Upstream().ID())
		case StopRun:
			r := a.Stop().Run()
			s.stops[r.Request+" at "+r.Instance] = a.Stop()
			if u := s.core.Pool().Get(r.Instance); a.Upstream() != u {
				s.t.Errorf("stop-run of %s: upstream is %v, want the listed %s", r.Request, a.Upstream(), r.Instance)
			}
			fmt.Fprintf(&b, " %s at %s other=%s", r.Request, r.Instance, a.Stop().Other())
		case Refuse:
			fmt.Fprintf(&b, " %d %s", a.Problem().Status(), a.Problem().Outcome())
			if s.showsRetry {
				fmt.Fprintf(&b, " retry=%d", a.Problem().Retry().Milliseconds())
			}
		case ReportOutcome:
			fmt.Fprintf(&b, " new-version=%v good=%v", a.Judged().NewVersion(), a.Judged().Outcome() == move.NewOutcome())
		case ReportCrash, ReportSurvival:
			fmt.Fprintf(&b, " engine=%s version=%s session=%s parts=%s", a.Run().Engine(), a.Run().Version(), a.Run().Session(), strings.Join(a.Run().Parts(), "+"))
		case Deliver:
			fmt.Fprintf(&b, " %d", a.Answer().Status())
		}
		if a.Reason() != "" {
			fmt.Fprintf(&b, " (%s)", a.Reason())
		}
		b.WriteByte('\n')
	}
	if at, ok := s.core.Next(); ok {
		fmt.Fprintf(&b, "next %d\n", at.Sub(s.base).Milliseconds())
	}
	return b.String()
}

// heard returns the event of a statement of an upstream.
func (s *script) heard(d *datadriven.TestData) Event {
	id := s.text(d, "id", "")
	st := stand.NewStatement(s.text(d, "by", ""))
	if d.HasArg("leaving") {
		st = st.WithLeaving()
	}
	st = st.WithLimit(float64(s.number(d, "limit", 0)))
	if since := s.number(d, "unlimited-since", -1); since >= 0 {
		st = st.WithoutLimit(s.base.Add(time.Duration(since) * time.Millisecond))
	}
	st = st.WithRest(time.Duration(s.number(d, "rest", 0)) * time.Millisecond)
	return NewHeard(s.core.Pool().Get(id), id, st, "answer")
}

// load returns the load that an upstream reports with its response, if any.
func (s *script) load(d *datadriven.TestData) Load {
	l := Load{}.WithSlowDown(s.number(d, "speed", 0))
	if d.HasArg("running") {
		l = l.WithCounts(s.number(d, "running", 0), s.number(d, "waiting", 0))
	}
	return l
}

// table builds a routing table from lines "route NAME KIND SERVICE [OPTION]",
// "engine SERVICE MEMORY" and "workspace NAME KEY".
func (s *script) table(d *datadriven.TestData) *table.Table {
	t := table.New(int64(s.number(d, "version", 1)), table.Limits{})
	for _, l := range strings.Split(d.Input, "\n") {
		f := strings.Fields(l)
		switch f[0] {
		case "route":
			t.AddRoute(table.NewRoute(s.route(f)))
		case "engine":
			memory, err := strconv.Atoi(f[2])
			if err != nil {
				s.t.Fatalf("%s: %v", d.Pos, err)
			}
			t.AddService(table.NewService(f[1], "/healthz", table.NewEngine(32, memory, true, "m").WithCopyRetention(4*time.Second)))
		case "workspace":
			t.AddWorkspace(table.NewWorkspace(f[1], -1), f[2:])
		default:
			s.t.Fatalf("%s: unknown line %q", d.Pos, l)
		}
	}
	return t
}

func (s *script) route(f []string) table.RouteSpec {
	r := table.RouteSpec{
		Name:     f[1],
		Host:     "h",
		Prefix:   "/",
		Attempts: 1,
		Shares:   []table.Share{table.NewShare(f[3], 1)},
	}
	switch f[2] {
	case "lookup":
		r.Kind, r.Attempts, r.Timeout, r.Goal = table.Lookup, 2, 800*time.Millisecond, 150*time.Millisecond
	case "booking":
		r.Timeout, r.Goal = 800*time.Millisecond, 150*time.Millisecond
	case "stream":
		r.Kind, r.Attempts, r.Resumable = table.Stream, 5, true
		r.Timeout, r.Goal, r.Gap = 25*time.Second, 4500*time.Millisecond, 700*time.Millisecond
	}
	for _, o := range f[4:] {
		name, value, _ := strings.Cut(o, "=")
		switch name {
		case "prefix":
			r.Prefix = value
		case "public":
			r.Public = true
		case "single":
			r.Resumable = false
		case "timeout":
			ms, err := strconv.Atoi(value)
			if err != nil {
				s.t.Fatal(err)
			}
			r.Timeout = time.Duration(ms) * time.Millisecond
		case "attempts":
			attempts, err := strconv.Atoi(value)
			if err != nil {
				s.t.Fatal(err)
			}
			r.Attempts = attempts
		case "priority":
			priority, err := strconv.Atoi(value)
			if err != nil {
				s.t.Fatal(err)
			}
			r.Priority = priority
		}
	}
	return r
}

// entries parses lines "ID SERVICE DOMAIN [started=N] [version=V] [leaving]".
// The region is r2 for the domains c and d and r1 for all others.
func (s *script) entries(d *datadriven.TestData) []pool.Entry {
	var list []pool.Entry
	for _, l := range strings.Split(d.Input, "\n") {
		f := strings.Fields(l)
		region := "r1"
		if f[2] == "c" || f[2] == "d" {
			region = "r2"
		}
		list = append(list, pool.NewEntry(pool.EntrySpec{
			ID:        f[0],
			Service:   f[1],
			Address:   "10.0.0." + f[0][1:] + ":80",
			Domain:    f[2],
			Region:    region,
			Slots:     6,
			StartedAt: startedAt(f),
			Version:   version(f),
			Leaving:   f[len(f)-1] == "leaving",
		}))
	}
	return list
}

// version returns V of the field "version=V", or "v1" if there is none.
func version(f []string) string {
	for _, word := range f {
		if text, ok := strings.CutPrefix(word, "version="); ok {
			return text
		}
	}
	return "v1"
}

// startedAt returns N of the field "started=N", or 0 if there is none.
func startedAt(f []string) int64 {
	for _, word := range f {
		if text, ok := strings.CutPrefix(word, "started="); ok {
			n, _ := strconv.ParseInt(text, 10, 64)
			return n
		}
	}
	return 0
}

// charges parses lines "SERVICE VERSION PARTS [restricted]", where plus signs
// separate the parts.
func (s *script) charges(d *datadriven.TestData) []blame.Charge {
	var list []blame.Charge
	for l := range strings.Lines(d.Input) {
		f := strings.Fields(l)
		list = append(list, blame.NewCharge(f[0], strings.Split(f[2], "+"), f[1], f[len(f)-1] == "restricted"))
	}
	return list
}

func (s *script) pool() string {
	var b strings.Builder
	for _, id := range s.core.Pool().IDs() {
		u := s.core.Pool().Get(id)
		fmt.Fprintf(&b, "%s attempts=%d tokens=%d backing-off=%v usable=%v\n", id, u.Attempts(), u.Tokens(), u.BackingOff(s.now), u.Usable())
	}
	return b.String()
}

func (s *script) cause(d *datadriven.TestData) Cause {
	name := s.text(d, "cause", "broken")
	for c := Unsent; c <= Stalled; c++ {
		if c.String() == name {
			return c
		}
	}
	s.t.Fatalf("%s: unknown cause %q", d.Pos, name)
	return 0
}

func (s *script) stopOutcome(d *datadriven.TestData) reap.Outcome {
	name := s.text(d, "is", "")
	for o := reap.Unanswered; o <= reap.Replaced; o++ {
		if o.String() == name {
			return o
		}
	}
	s.t.Fatalf("%s: unknown outcome %q", d.Pos, name)
	return 0
}

func (s *script) number(d *datadriven.TestData, key string, fallback int) int {
	if !d.HasArg(key) {
		return fallback
	}
	var n int
	d.ScanArgs(s.t, key, &n)
	return n
}

// list returns the words of an argument, which plus signs separate.
func (s *script) list(d *datadriven.TestData, key string) []string {
	return strings.FieldsFunc(s.text(d, key, ""), func(r rune) bool { return r == '+' })
}

func (s *script) text(d *datadriven.TestData, key, fallback string) string {
	if !d.HasArg(key) {
		return fallback
	}
	var v string
	d.ScanArgs(s.t, key, &v)
	return v
}
