package reap

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// lifetime is the time after which an engine ends a run by itself.
const lifetime = 15 * time.Second

// script runs the commands of one data file against a set.
type script struct {
	t    *testing.T
	set  *Set
	base time.Time
	// ended holds the runs that have ended since the latest output.
	ended []Ended
	// orders holds the latest order about each run, by its text.
	orders map[string]Order
}

// TestScripts guards against runs that go on at an engine after their requests
// went on elsewhere, and against orders without end. Times are in milliseconds
// since the start of the file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			t:      t,
			set:    New(),
			base:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
			orders: make(map[string]Order),
		}
		s.set.WithObserver(func(e Ended) { s.ended = append(s.ended, e) })
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(_ *testing.T, d *datadriven.TestData) string {
	now := s.base
	if d.HasArg("at") {
		var ms int
		d.ScanArgs(s.t, "at", &ms)
		now = now.Add(time.Duration(ms) * time.Millisecond)
	}
	r := Run{
		Begun: !d.HasArg("queued"),
		Until: now.Add(lifetime),
	}
	if len(d.CmdArgs) > 0 {
		r.Address, r.Request, _ = strings.Cut(d.CmdArgs[0].Key, "/")
		r.Instance = r.Address
	}
	for _, a := range d.CmdArgs {
		if a.Key == "others" {
			r.Others = a.Vals
		}
	}
	if d.HasArg("until") {
		var ms int
		d.ScanArgs(s.t, "until", &ms)
		r.Until = s.base.Add(time.Duration(ms) * time.Millisecond)
	}
	if d.HasArg("instance") {
		d.ScanArgs(s.t, "instance", &r.Instance)
	}
	switch d.Cmd {
	case "add":
		s.set.Add(now, r, d.HasArg("silent"))
	case "suspend":
		s.set.Suspend(r.Address, r.Request)
	case "resume":
		s.set.Resume(now, r.Address, r.Request)
	case "answer":
		s.set.Answer(now, s.orders[d.CmdArgs[0].Key], s.outcome(d))
	case "absent":
		return s.absent(d, r)
	case "refuse":
		return s.refuse(d, now)
	case "due":
	default:
		s.t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.state(now)
}

// absent answers the orders between two times that there is no such run, and prints
// their times.
func (s *script) absent(d *datadriven.TestData, r Run) string {
	var from, to int
	d.ScanArgs(s.t, "from", &from)
	d.ScanArgs(s.t, "to", &to)
	var b strings.Builder
	for at := from; at <= to; at++ {
		now := s.base.Add(time.Duration(at) * time.Millisecond)
		for _, o := range s.set.Due(now) {
			if o.Run().Address != r.Address || o.Run().Request != r.Request {
				s.t.Fatalf("%s: an order about %s", d.Pos, o.Run().Request)
			}
			fmt.Fprintf(&b, "stop %s/%s at %d\n", r.Address, r.Request, at)
			s.set.Answer(now, o, Absent)
		}
	}
	fmt.Fprintf(&b, "%d tracked\n", s.set.Len())
	return b.String()
}

// state prints the orders that are due, and the time of the next one.
// refuse refuses all orders until the time of the argument to, and prints the pauses
// between them and their number.
func (s *script) refuse(d *datadriven.TestData, now time.Time) string {
	var to, n int
	d.ScanArgs(s.t, "to", &to)
	end := s.base.Add(time.Duration(to) * time.Millisecond)
	var b strings.Builder
	for at, ok := s.set.Next(); ok && !at.After(end); at, ok = s.set.Next() {
		for _, o := range s.set.Due(at) {
			n++
			if n <= 6 {
				fmt.Fprintf(&b, "after %d ms\n", at.Sub(now).Milliseconds())
			}
			s.set.Answer(at, o, Refused)
		}
		now = at
	}
	fmt.Fprintf(&b, "%d orders\n", n)
	return b.String() + s.state(end)
}

func (s *script) state(now time.Time) string {
	var b strings.Builder
	for _, o := range s.set.Due(now) {
		name := o.Run().Address + "/" + o.Run().Request
		s.orders[name] = o
		fmt.Fprintf(&b, "stop %s, cancelled at %d", name, o.Cancelled().Sub(s.base).Milliseconds())
		if o.Other() != "" {
			fmt.Fprintf(&b, ", memory to %s", o.Other())
		}
		b.WriteByte('\n')
	}
	for _, e := range s.ended {
		fmt.Fprintf(&b, "ended %s/%s, %s after %d orders\n", e.Run().Address, e.Run().Request, e.Outcome(), e.Orders())
	}
	s.ended = nil
	if at, ok := s.set.Next(); ok {
		fmt.Fprintf(&b, "next %d\n", at.Sub(s.base).Milliseconds())
	}
	fmt.Fprintf(&b, "%d tracked\n", s.set.Len())
	return b.String()
}

func (s *script) outcome(d *datadriven.TestData) Outcome {
	var name string
	d.ScanArgs(s.t, "is", &name)
	for o := Unanswered; o <= Replaced; o++ {
		if o.String() == name {
			return o
		}
	}
	s.t.Fatalf("%s: unknown outcome %q", d.Pos, name)
	return 0
}

// TestBound guards against memory that grows with the number of cancelled runs.
func TestBound(t *testing.T) {
	s := New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range 2 * maxRuns {
		s.Add(now, Run{
			Instance: "e1",
			Address:  "e1",
			Request:  fmt.Sprint(i),
			Until:    now.Add(lifetime),
		}, false)
	}
	if s.Len() != maxRuns {
		t.Errorf("%d runs are tracked, want %d", s.Len(), maxRuns)
	}
}
