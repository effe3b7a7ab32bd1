package move

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/world"
)

// TestScripts guards against wrong decisions of the gate, the evaluator and the
// controller, and against evidence that is merged wrongly. Commands:
//
//	plan trial=SHARE [for=T]        starts a move of 20 minutes with an empty store
//	     [share=S slack=N]          and bounds the exposure, divided among 9 VMs
//	rows                            merges "VM INC VERSION ROUTE MINUTE N ERR TRUNC FIRST GAPS
//	                                [ENGINE]"
//	step at=T [lease=FENCE]         steps the controller and stores what it writes,
//	     [engines=(FROM,TO)]        with TO of 20 engines that have the new version,
//	     [store=down] [failed]      unless the store is down; failed is a peer's verdict
//	stale at=T                      repeats the last write, as a paused holder does
//	gate seed=N requests=N at=T     admits requests by a new gate with the last limits
//	assess at=T                     prints the assessment of the evidence since T
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

var planStart = time.Unix(1_700_000_040, 0).UTC()

type script struct {
	set        *EvidenceSet
	controller *Controller
	record     Record
	revision   uint64
	lastWrite  Action
	limits     Limits
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	out := &strings.Builder{}
	at := planStart
	if d.HasArg("at") {
		var text string
		d.ScanArgs(t, "at", &text)
		after, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		at = planStart.Add(after)
	}
	switch d.Cmd {
	case "plan":
		unprovenShare := 0.0
		d.ScanArgs(t, "trial", &unprovenShare)
		length := "20m"
		if d.HasArg("for") {
			d.ScanArgs(t, "for", &length)
		}
		duration, err := time.ParseDuration(length)
		if err != nil {
			t.Fatal(err)
		}
		plan := world.NewMove("m", "v1", "v2", planStart, planStart.Add(duration), unprovenShare)
		*s = script{set: NewEvidenceSet()}
		s.controller = NewController("draft", plan, s.set)
		if d.HasArg("slack") {
			share, slack := 0.0, 0.0
			d.ScanArgs(t, "share", &share)
			d.ScanArgs(t, "slack", &slack)
			s.controller.WithExposure(NewExposure(share, slack))
			s.controller.evaluator.live = MinVMs
		}
	case "quota":
		return runQuotas(t, d)
	case "rows":
		s.rows(t, d, out)
	case "step":
		s.step(t, d, at, out)
	case "stale":
		s.write(s.lastWrite, out)
	case "gate":
		s.gate(t, d, at, out)
	case "assess":
		f := s.controller.evaluator.Assess(at)
		fmt.Fprintf(out, "bad %v, proven %v, %s\n", f.Bad(), f.Proven(), f.Reason())
		fmt.Fprintln(out, strings.Join(f.Lines(), "\n"))
	}
	return out.String()
}

func (s *script) rows(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
	changed := 0
	for line := range strings.Lines(d.Input) {
		var vm, version, route string
		var inc, n, errors, truncated, first, gaps uint64
		var minute int
		if _, err := fmt.Sscan(line, &vm, &inc, &version, &route, &minute, &n, &errors, &truncated, &first, &gaps); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		k := NewKey(vm, inc, "draft", version, route, "batch", planStart.Add(time.Duration(minute)*time.Minute))
		if f := strings.Fields(line); len(f) > 10 {
			k = k.WithEngine(f[10])
		}
		if s.set.Merge(k, NewCounts(n, errors, truncated, first, gaps)) {
			changed++
		}
	}
	fmt.Fprintf(out, "%d of %d rows changed, %d held\n", changed, strings.Count(d.Input, "\n")+1, s.set.Len())
}

func (s *script) step(t *testing.T, d *datadriven.TestData, at time.Time, out *strings.Builder) {
	from, to := 20, 20
	in := NewInput(9).WithRecord(s.record, s.revision)
	if d.HasArg("engines") {
		d.ScanArgs(t, "engines", &from, &to)
	}
	if d.HasArg("lease") {
		fence := 0
		d.ScanArgs(t, "lease", &fence)
		in = in.WithLease(uint64(fence))
	}
	if d.HasArg("failed") {
		in = in.WithFailure("verdict of a peer")
	}
	for _, a := range s.controller.Step(at, in.WithEngines(from, to, 20)) {
		switch a.Kind() {
		case Limit:
			s.limits = a.Limits()
			fmt.Fprintf(out, "limit share %.2f count %.2f done %v\n", s.limits.Share(), s.limits.Count(), s.limits.Done())
		case Write:
			s.lastWrite = a
			fmt.Fprintf(out, "write %s stage %d over revision %d: %s\n", a.Record().State(), a.Record().Stage(), a.Revision(), a.Record().Reason())
			if !d.HasArg("store") {
				s.write(a, out)
			}
		case AnnounceFailure:
			fmt.Fprintf(out, "announce %s\n", a.Reason())
		case Load:
			fmt.Fprintf(out, "load %s on %.2f by %s\n", a.Version(), a.Fraction(), a.Before().Sub(planStart))
		case Stop:
			fmt.Fprintf(out, "stop %s\n", a.Version())
		}
	}
}

// write simulates the store's compare-and-swap.
func (s *script) write(a Action, out *strings.Builder) {
	if a.Revision() != s.revision {
		fmt.Fprintln(out, "conflict")
		return
	}
	value, err := a.Record().Encode()
	if err == nil {
		s.record, err = DecodeRecord(value)
	}
	s.revision++
	fmt.Fprintf(out, "stored revision %d, error %v\n", s.revision, err)
}

func (s *script) gate(t *testing.T, d *datadriven.TestData, at time.Time, out *strings.Builder) {
	var seed, requests int
	d.ScanArgs(t, "seed", &seed)
	d.ScanArgs(t, "requests", &requests)
	g := NewGate(uint64(seed))
	g.Set(s.limits)
	for range requests {
		g.Admit(at)
	}
	fmt.Fprintf(out, "admitted %d\n", g.Admitted())
}
