package call

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/world"
	"github.com/cockroachdb/datadriven"
)

// TestCore guards against a booking that is sent again although it may have run,
// more than one hedge, retries over the budget, and a call with no outcome or
// more than one.
func TestCore(t *testing.T) {
	datadriven.Walk(t, "testdata/core", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := newCoreScript(t, d)
			for line := range strings.Lines(d.Input) {
				s.line(t, strings.TrimSpace(line))
			}
			return s.out.String()
		})
	})
}

type coreScript struct {
	d       *datadriven.TestData
	core    *Core
	start   time.Time
	now     time.Time
	live    []*world.VM
	service *world.Service
	out     strings.Builder
}

func newCoreScript(t *testing.T, d *datadriven.TestData) *coreScript {
	s := &coreScript{
		d:       d,
		start:   time.Unix(1_700_000_000, 0),
		service: world.NewPlainService("bookings", world.NewContract(time.Second)),
	}
	s.now = s.start
	tokens := 10
	d.MaybeScanArgs(t, "budget", &tokens)
	// A floor of 0 keeps the budget from growing over time, so that it has just the
	// tokens of the script.
	b := budget.NewRetry(float64(tokens), 0, float64(tokens))
	b.CountFirst(s.now)
	s.core = New(func(string) []*world.VM { return s.live }, b)
	return s
}

func (s *coreScript) line(t *testing.T, line string) {
	cmd, args, err := datadriven.ParseLine(line)
	if err != nil {
		s.d.Fatalf(t, "%v", err)
	}
	l := &datadriven.TestData{
		Pos:     s.d.Pos,
		Cmd:     cmd,
		CmdArgs: args,
	}
	if l.HasArg("at") {
		var at string
		l.ScanArgs(t, "at", &at)
		v, err := time.ParseDuration(at)
		if err != nil {
			s.d.Fatalf(t, "%v", err)
		}
		s.until(s.start.Add(v))
	}
	number, attempt := 1, 1
	l.MaybeScanArgs(t, "n", &number)
	l.MaybeScanArgs(t, "attempt", &attempt)
	switch cmd {
	case "live":
		s.live = nil
		for _, a := range args {
			s.live = append(s.live, world.NewVM(a.Key, world.Plain, a.Key+":1", "d", "r").WithService("bookings"))
		}
	case "lookup", "booking":
		rt := world.NewRoute("r", "GET", "/", cmd == "lookup", time.Second)
		s.step(Begin(uint64(number), s.service, rt, s.now.Add(time.Second)))
	case "warm":
		// Runs lookups that take 10 to 41 ms, to fill the route's latencies. Their
		// actions are not printed.
		for i := range 32 {
			n := uint64(1000 + i)
			rt := world.NewRoute("r", "GET", "/", true, time.Second)
			s.core.Step(s.now, Begin(n, s.service, rt, s.now.Add(time.Second)))
			s.core.Step(s.now.Add(time.Duration(10+i)*time.Millisecond), Ended(n, 1, claim.NewAnswer(200, "", nil), nil))
		}
	case "answer":
		s.step(Ended(uint64(number), attempt, claim.NewAnswer(200, "", nil), nil))
	case "not-run":
		s.step(Ended(uint64(number), attempt, nil, errs.New(errs.Unavailable, errs.NotRun, "refused").WithRetry(time.Second)))
	case "leaving":
		s.step(Ended(uint64(number), attempt, nil, errs.New(errs.Unavailable, errs.NotRun, "leaving").WithRetry(time.Second)).Leaving())
	case "unknown":
		s.step(Ended(uint64(number), attempt, nil, errs.New(errs.Upstream, errs.Unknown, "broken")))
	case "leave":
		s.step(CallerLeft(uint64(number)))
	case "calls":
		fmt.Fprintf(&s.out, "%v calls %d\n", s.now.Sub(s.start), s.core.Calls())
	case "wait":
	default:
		s.d.Fatalf(t, "unknown line %q", line)
	}
}

// until advances the clock to a time and delivers the ticks that are due.
func (s *coreScript) until(at time.Time) {
	for next := s.core.Next(); !next.IsZero() && !next.After(at); next = s.core.Next() {
		s.now = next
		s.step(Tick())
	}
	s.now = at
}

func (s *coreScript) step(e Event) {
	for _, a := range s.core.Step(s.now, e) {
		at := s.now.Sub(s.start)
		switch a.Kind() {
		case Open:
			fmt.Fprintf(&s.out, "%v open %d.%d %s\n", at, a.Number(), a.Attempt(), a.Upstream().Name())
		case Cancel:
			fmt.Fprintf(&s.out, "%v cancel %d.%d\n", at, a.Number(), a.Attempt())
		default:
			text := "answer"
			if p := a.Problem(); p != nil {
				text = fmt.Sprintf("%s outcome=%s retry=%v", p.Kind().Slug(), p.Outcome(), p.Retry())
			}
			fmt.Fprintf(&s.out, "%v finish %d %s\n", at, a.Number(), text)
		}
	}
}
