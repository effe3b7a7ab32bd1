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

// TestGoals guards the goals of moves: bad versions are rolled back and meet
// few requests, good ones are done on time, every VM follows one final state.
func TestGoals(t *testing.T) {
	var cells []*Cell
	for b := range Behaviours {
		for f := range Faults {
			cells = append(cells, Repeat(NewCase(b, f, false), *seed, *runs, *workers))
		}
	}
	for b := range Behaviours {
		cells = append(cells, Repeat(NewCase(b, None, true), *seed, *runs, *workers))
	}
	for f := Deaths; f < Faults; f++ {
		cells = append(cells, Repeat(NewCase(Good, f, true), *seed, *runs, *workers))
	}
	if err := Print(os.Stdout, cells); err != nil {
		t.Fatal(err)
	}
	var bad, back, good, done, reverted int
	for _, c := range cells {
		if c.Case().baseline {
			continue
		}
		if c.Late() > 0 || c.Splits() > 0 {
			t.Errorf("%s: %d late, %d not one final record", c.Case(), c.Late(), c.Splits())
		}
		switch {
		case c.Case().Behaviour().Bad():
			bad += c.Runs()
			back += c.RolledBack()
			if c.Case().Behaviour() == FailsAtOnce && c.Met(0.5) >= 20 {
				t.Errorf("%s: median of %d bad requests", c.Case(), c.Met(0.5))
			}
		case c.Case().Fault() != Outage:
			good += c.Runs()
			done += c.Done()
			reverted += c.RolledBack()
		case c.RolledBack() != c.Runs():
			t.Errorf("%s: %d rolled back", c.Case(), c.RolledBack())
		}
	}
	t.Logf("bad rolled back %d of %d, good done %d of %d, false roll-backs %d", back, bad, done, good, reverted)
	if back*100 < bad*99 || done*100 < good*99 || reverted*100 >= max(good, 100) {
		t.Error("goals missed")
	}
}

// TestCurve writes the detection curve when a file is named.
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
