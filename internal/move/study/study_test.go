package study

import (
	"flag"
	"os"
	"runtime"
	"testing"
)

var (
	runs    = flag.Int("runs", 4, "runs of each case")
	workers = flag.Int("workers", min(4, runtime.GOMAXPROCS(0)), "goroutines of the study")
	seed    = flag.Uint64("seed", 1, "first seed")
	image   = flag.String("png", "", "file for the plot of the detection curve")
)

// TestGoals guards against bad versions that are not rolled back or receive too
// many requests, good ones that are not done on time, and VMs that do not follow
// the one final state at the deadline.
func TestGoals(t *testing.T) {
	var summaries []*Summary
	for b := range Behaviours {
		for f := range Faults {
			summaries = append(summaries, Repeat(NewCase(b, f, false), *seed, *runs, *workers))
		}
	}
	for b := range Behaviours {
		summaries = append(summaries, Repeat(NewCase(b, None, true), *seed, *runs, *workers))
	}
	for f := EngineLosses; f < Faults; f++ {
		summaries = append(summaries, Repeat(NewCase(Good, f, true), *seed, *runs, *workers))
	}
	if err := Print(os.Stdout, summaries); err != nil {
		t.Fatal(err)
	}
	var bad, rolledBack, good, done, falseRollbacks int
	for _, c := range summaries {
		if c.Case().baseline {
			continue
		}
		if c.Late() > 0 || c.Inconsistent() > 0 {
			t.Errorf("%s: %d late, %d not one final record", c.Case(), c.Late(), c.Inconsistent())
		}
		switch {
		case c.Case().Behaviour().Bad():
			bad += c.Runs()
			rolledBack += c.RolledBack()
			if c.Case().Behaviour() == FailsAtOnce && c.BadRequests(0.5) >= 20 {
				t.Errorf("%s: median of %d bad requests", c.Case(), c.BadRequests(0.5))
			}
		case c.Case().Fault() != Outage:
			good += c.Runs()
			done += c.Done()
			falseRollbacks += c.RolledBack()
		case c.RolledBack() != c.Runs():
			t.Errorf("%s: %d rolled back", c.Case(), c.RolledBack())
		}
	}
	t.Logf("bad rolled back %d of %d, good done %d of %d, false roll-backs %d", rolledBack, bad, done, good, falseRollbacks)
	if rolledBack*100 < bad*99 || done*100 < good*99 || falseRollbacks*100 >= max(good, 100) {
		t.Error("goals missed")
	}
}

// TestCurve writes the detection curve to the file given with -png.
func TestCurve(t *testing.T) {
	if *image == "" {
		t.Skip("no -png file")
	}
	points := Curve(*seed, *runs, *workers)
	for _, p := range points {
		t.Log(p)
	}
	if err := Plot(points, *image); err != nil {
		t.Fatal(err)
	}
}
