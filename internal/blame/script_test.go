package blame

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// script runs the commands of one data file against the core of one VM.
type script struct {
	t    *testing.T
	core *Core
	base time.Time
	// accusations holds those that have not been answered, by part.
	accusations map[string]Accusation
}

// TestScripts guards against prompt parts that crash engine after engine, and
// against the refusal of sound prompts. The head of each data file states the
// failures that it guards against. Times are in milliseconds since the start of the
// file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/core", func(t *testing.T, path string) {
		s := &script{
			t:           t,
			core:        New("vm1"),
			base:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
			accusations: make(map[string]Accusation),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(_ *testing.T, d *datadriven.TestData) string {
	now := s.base.Add(time.Duration(s.number(d, "at")) * time.Millisecond)
	switch d.Cmd {
	case "vms":
		s.core.SetVMs(strings.Fields(d.Input))
		return ""
	case "lost":
		return s.print(s.core.Lost(now, s.runOf(d, now)))
	case "collect":
		return s.print(s.core.Collect(now, s.runOf(d, now)))
	case "survived":
		return s.print(s.core.Survived(now, s.runOf(d, now)))
	case "seen":
		var b strings.Builder
		for _, sight := range s.core.Seen("llm", s.list(d, "parts"), s.base.Add(time.Duration(s.number(d, "after"))*time.Millisecond)) {
			fmt.Fprintf(&b, "%s version=%s at=%d\n", sight.Part(), sight.Version(), sight.At().Sub(s.base).Milliseconds())
		}
		return b.String()
	case "answered":
		// Each line of the input holds a part, a version and a time.
		a, ok := s.accusations[s.text(d, "part", "")]
		if !ok {
			s.t.Fatalf("%s: no accusation of %q", d.Pos, s.text(d, "part", ""))
		}
		delete(s.accusations, a.Part())
		sights := s.core.Seen(a.Service(), a.Parts(), a.Since())
		for _, l := range strings.Split(d.Input, "\n") {
			var part, version string
			var at int
			if n, _ := fmt.Sscan(l, &part, &version, &at); n == 3 {
				sights = append(sights, NewSight(part, version, s.base.Add(time.Duration(at)*time.Millisecond)))
			}
		}
		return s.print(s.core.Answered(now, a, sights, s.number(d, "silent")))
	case "learn":
		return s.print(s.core.Learn(now, NewCharge("llm", s.list(d, "parts"), s.text(d, "version", "v1"), d.HasArg("restricted"))))
	case "lift":
		return s.print(s.core.Lift(now, NewCharge("llm", s.list(d, "parts"), s.text(d, "version", "v1"), d.HasArg("restricted")).ID()))
	case "stored":
		return s.print(s.core.Stored(now, NewCharge("llm", s.list(d, "parts"), s.text(d, "version", "v1"), false), d.HasArg("again")))
	case "missing":
		return s.print(s.core.Missing(now, NewCharge("llm", s.list(d, "parts"), s.text(d, "version", "v1"), false).ID(), d.HasArg("confirmed")))
	case "restored":
		// Each word of the input holds the parts of a charge that the store lists.
		var listed []Charge
		for parts := range strings.FieldsSeq(d.Input) {
			listed = append(listed, NewCharge("llm", strings.Split(parts, "+"), "v1", false))
		}
		return s.print(s.core.Restored(now, listed))
	case "expire":
		return s.print(s.core.Expire(now))
	case "match":
		for _, c := range s.core.Charges() {
			if c.Matches(s.text(d, "service", "llm"), s.list(d, "parts")) {
				return "charged\n"
			}
		}
		return "free\n"
	default:
		s.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	}
}

func (s *script) runOf(d *datadriven.TestData, now time.Time) Run {
	return NewRun(now, RunSpec{
		Service: s.text(d, "service", "llm"),
		Version: s.text(d, "version", "v1"),
		Engine:  s.text(d, "engine", ""),
		Domain:  s.text(d, "domain", "a"),
		Session: s.text(d, "session", ""),
		Parts:   s.list(d, "parts"),
	})
}

func (s *script) print(actions []Action) string {
	var b strings.Builder
	for _, a := range actions {
		fmt.Fprint(&b, a.Kind())
		switch a.Kind() {
		case Report:
			fmt.Fprintf(&b, " %s to %v", strings.Join(a.Run().Parts(), ","), a.Targets())
		case Ask:
			s.accusations[a.Accusation().Part()] = a.Accusation()
			fmt.Fprintf(&b, " %s: %s since %d", a.Accusation().Part(), strings.Join(a.Accusation().Parts(), ","), a.Accusation().Since().Sub(s.base).Milliseconds())
		default:
			fmt.Fprintf(&b, " %s", strings.Join(a.Charge().Parts(), ","))
			if a.Charge().Restricted() {
				fmt.Fprintf(&b, " only %s", a.Charge().Struck())
			}
			if a.Lifted() {
				b.WriteString(" lifted")
			}
			if a.Again() {
				fmt.Fprintf(&b, " again for %s", a.Left())
			}
			if a.Reason() != "" {
				fmt.Fprintf(&b, " (%s)", a.Reason())
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func (s *script) number(d *datadriven.TestData, key string) int {
	var n int
	if d.HasArg(key) {
		d.ScanArgs(s.t, key, &n)
	}
	return n
}

func (s *script) text(d *datadriven.TestData, key, fallback string) string {
	if !d.HasArg(key) {
		return fallback
	}
	var v string
	d.ScanArgs(s.t, key, &v)
	return v
}

// list returns the words of an argument, which plus signs separate.
func (s *script) list(d *datadriven.TestData, key string) []string {
	return strings.FieldsFunc(s.text(d, key, ""), func(r rune) bool { return r == '+' })
}
