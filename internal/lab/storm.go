package lab

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/simeng"
)

const (
	// stormEvery is the time between two strikes of a storm, and stormLasts that
	// from a strike to its end, so that several faults overlap.
	stormEvery = 150 * time.Millisecond
	stormLasts = 700 * time.Millisecond
	// stormGap is short so that many responses meet a fault.
	stormGap = 5 * time.Millisecond
	// stormTokens makes a response last about 0.3 s.
	stormTokens = 60
)

// NewStorm returns a plan of a small deployment with short token gaps.
func NewStorm(callers, count int, seed uint64) Plan {
	p := NewPlan("gabrovo", callers, count, seed)
	p.zones = []Zone{
		NewZone("gab-mill", "gabrovo", 2, 5),
		NewZone("gab-annex", "gabrovo", 2, 5),
		NewZone("plv-depot", "plovdiv", 2, 5),
	}
	p.tokens = stormTokens
	p.gap = stormGap
	return p
}

// Storm is a fault that draws among all kinds of fault, and counts them.
type Storm struct {
	strikes map[string]int
	// gales are the kinds that it draws among.
	gales []gale
}

// NewStormFault returns a storm that has not struck yet.
func NewStormFault() *Storm {
	return &Storm{
		strikes: make(map[string]int),
		gales:   gales,
	}
}

// Fault returns the storm as the fault of a trial.
func (t *Storm) Fault() Fault {
	return Fault{
		name:   "storm",
		every:  stormEvery,
		strike: t.strike,
		lasts:  stormLasts,
	}
}

// Print writes the number of strikes of each kind.
func (t *Storm) Print(w io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(t.strikes)) {
		if _, err := fmt.Fprintf(w, "strikes %-10s %d\n", kind, t.strikes[kind]); err != nil {
			return err
		}
	}
	return nil
}

// gale is one kind of fault in a storm; weight is its part of the strikes.
type gale struct {
	kind   string
	weight int
	strike func(*Site, *rand.Rand) func()
}

// gales lists the kinds. What hits a whole failure domain or region is drawn
// less often, because it hits many responses at once.
var gales = []gale{
	{
		kind:   "kill",
		weight: 4,
		strike: kill,
	},
	{
		kind:   "hang",
		weight: 3,
		strike: inject(simeng.Hang, stormLasts),
	},
	{
		kind:   "pause",
		weight: 3,
		strike: inject(simeng.Pause, stormLasts),
	},
	{
		kind:   "stall",
		weight: 2,
		strike: inject(simeng.Stall, 0),
	},
	{
		kind:   "reset",
		weight: 4,
		strike: inject(simeng.Reset, 0),
	},
	{
		kind:   "slow",
		weight: 2,
		strike: slow,
	},
	{
		kind:   "bad",
		weight: 4,
		strike: bad,
	},
	{
		kind:   "leave",
		weight: 1,
		strike: leave,
	},
	{
		kind:   "cut",
		weight: 2,
		strike: cut,
	},
	{
		kind:   "entry",
		weight: 3,
		strike: crash,
	},
	{
		kind:   "both",
		weight: 2,
		strike: func(s *Site, rng *rand.Rand) func() { return join(kill(s, rng), crash(s, rng)) },
	},
	{
		kind:   "domain",
		weight: 1,
		strike: domain,
	},
	{
		kind:   "region",
		weight: 1,
		strike: region,
	},
}

func (t *Storm) strike(s *Site, rng *rand.Rand) func() {
	sum := 0
	for _, g := range t.gales {
		sum += g.weight
	}
	n := rng.IntN(sum)
	for _, g := range t.gales {
		if n -= g.weight; n < 0 {
			t.strikes[g.kind]++
			return g.strike(s, rng)
		}
	}
	return nil
}

// join returns the end of two faults.
func join(a, b func()) func() {
	return func() {
		a()
		b()
	}
}

// crash kills an entry VM, unless too few others run: callers need one to go
// on with.
func crash(s *Site, rng *rand.Rand) func() {
	i := rng.IntN(len(s.nodes))
	if len(s.down) > len(s.nodes)/2 || !s.Crash(i) {
		return func() {}
	}
	return func() {
		if err := s.Restart(i); err != nil {
			s.log.Error().Err(err).Msg("lab: An entry VM stays down.")
		}
	}
}

// bad makes an engine answer wrongly in one of the ways of the stand-in.
func bad(s *Site, rng *rand.Rand) func() {
	kinds := []string{simeng.BadError, simeng.BadTruncate, simeng.BadRepeat, simeng.BadSkip, simeng.BadCross, simeng.BadFinish}
	_ = victim(s, rng).Inject(simeng.NewFault(simeng.Bad, stormLasts).WithKind(kinds[rng.IntN(len(kinds))]))
	return nil
}

// leave makes an engine refuse new work, and replaces it afterwards.
func leave(s *Site, rng *rand.Rand) func() {
	e := victim(s, rng)
	_ = e.Inject(simeng.NewFault(simeng.Leaving, 0))
	return func() {
		e.Kill()
		_ = e.Restart()
	}
}

// cut partitions two failure domains.
func cut(s *Site, rng *rand.Rand) func() {
	a := rng.IntN(len(s.zones))
	b := (a + 1 + rng.IntN(len(s.zones)-1)) % len(s.zones)
	l := s.Link(s.zones[a].name, s.zones[b].name)
	l.Cut(true)
	return func() { l.Cut(false) }
}
