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
	// randomFaultInterval is the time between two faults, and
	// randomFaultDuration how long each lasts, so that several faults overlap.
	randomFaultInterval = 150 * time.Millisecond
	randomFaultDuration = 700 * time.Millisecond
	// randomFaultTokenGap is short so that many responses meet a fault.
	randomFaultTokenGap = 5 * time.Millisecond
	// randomFaultTokens makes a response last about 0.3 s.
	randomFaultTokens = 60
)

// NewRandomFaultPlan returns a plan for a small deployment with short token
// gaps, in which many faults hit running responses.
func NewRandomFaultPlan(callers, count int, seed uint64) Plan {
	p := NewPlan("gabrovo", callers, count, seed)
	p.zones = []Zone{
		NewZone("gab-mill", "gabrovo", 2, 5),
		NewZone("gab-annex", "gabrovo", 2, 5),
		NewZone("plv-depot", "plovdiv", 2, 5),
	}
	p.tokens = randomFaultTokens
	p.tokenGap = randomFaultTokenGap
	return p
}

// RandomFaults injects faults of random kinds and counts them by kind.
type RandomFaults struct {
	counts map[string]int
	// kinds holds the kinds of fault to choose from.
	kinds []weightedFault
}

// NewRandomFaults returns random faults of engines, entry VMs, links, failure
// domains and regions.
func NewRandomFaults() *RandomFaults {
	return &RandomFaults{
		counts: make(map[string]int),
		kinds:  responseFaults,
	}
}

// Fault returns the random faults as the fault of a trial.
func (f *RandomFaults) Fault() Fault {
	return Fault{
		name:     "storm",
		interval: randomFaultInterval,
		inject:   f.inject,
		duration: randomFaultDuration,
	}
}

// Print writes the number of injected faults of each kind.
func (f *RandomFaults) Print(w io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(f.counts)) {
		if _, err := fmt.Fprintf(w, "strikes %-10s %d\n", kind, f.counts[kind]); err != nil {
			return err
		}
	}
	return nil
}

// weightedFault is a kind of fault that is chosen with a probability
// proportional to its weight.
type weightedFault struct {
	kind   string
	weight int
	inject func(*Site, *rand.Rand) func()
}

// responseFaults lists the kinds of fault for generations. Faults of a whole
// failure domain or region have a lower weight because they affect many
// responses at once.
var responseFaults = []weightedFault{
	{
		kind:   "kill",
		weight: 4,
		inject: killEngine,
	},
	{
		kind:   "hang",
		weight: 3,
		inject: engineFault(simeng.Hang, randomFaultDuration),
	},
	{
		kind:   "pause",
		weight: 3,
		inject: engineFault(simeng.Pause, randomFaultDuration),
	},
	{
		kind:   "stall",
		weight: 2,
		inject: engineFault(simeng.Stall, 0),
	},
	{
		kind:   "reset",
		weight: 4,
		inject: engineFault(simeng.Reset, 0),
	},
	{
		kind:   "slow",
		weight: 2,
		inject: slowEngine,
	},
	{
		kind:   "bad",
		weight: 4,
		inject: badOutput,
	},
	{
		kind:   "leave",
		weight: 1,
		inject: drainEngine,
	},
	{
		kind:   "cut",
		weight: 2,
		inject: cutLink,
	},
	{
		kind:   "entry",
		weight: 3,
		inject: crashEntry,
	},
	{
		kind:   "both",
		weight: 2,
		inject: func(s *Site, rng *rand.Rand) func() { return stopBoth(killEngine(s, rng), crashEntry(s, rng)) },
	},
	{
		kind:   "domain",
		weight: 1,
		inject: killDomain,
	},
	{
		kind:   "region",
		weight: 1,
		inject: cutRegion,
	},
}

func (f *RandomFaults) inject(s *Site, rng *rand.Rand) func() {
	sum := 0
	for _, kind := range f.kinds {
		sum += kind.weight
	}
	n := rng.IntN(sum)
	for _, kind := range f.kinds {
		if n -= kind.weight; n < 0 {
			f.counts[kind.kind]++
			return kind.inject(s, rng)
		}
	}
	return nil
}

// stopBoth returns a function that ends two faults.
func stopBoth(a, b func()) func() {
	return func() {
		a()
		b()
	}
}

// crashEntry crashes an entry VM unless more than half of them are down,
// because callers need one to reconnect to.
func crashEntry(s *Site, rng *rand.Rand) func() {
	i := rng.IntN(len(s.nodes))
	if len(s.down) > len(s.nodes)/2 || !s.Crash(i) {
		return func() {}
	}
	return func() {
		if err := s.Restart(i); err != nil {
			s.log.Error().Err(err).Msg("lab: Restart of a crashed entry VM failed.")
		}
	}
}

// badOutput makes an engine return a random kind of invalid output.
func badOutput(s *Site, rng *rand.Rand) func() {
	kinds := []string{simeng.BadError, simeng.BadTruncate, simeng.BadRepeat, simeng.BadSkip, simeng.BadCross, simeng.BadFinish}
	_ = randomEngine(s, rng).Inject(simeng.NewFault(simeng.Bad, randomFaultDuration).WithKind(kinds[rng.IntN(len(kinds))]))
	return nil
}

// drainEngine makes an engine refuse new work and restarts it when the fault
// ends.
func drainEngine(s *Site, rng *rand.Rand) func() {
	e := randomEngine(s, rng)
	_ = e.Inject(simeng.NewFault(simeng.Leaving, 0))
	return func() {
		e.Kill()
		_ = e.Restart()
	}
}

// cutLink cuts the link between two random failure domains.
func cutLink(s *Site, rng *rand.Rand) func() {
	a := rng.IntN(len(s.zones))
	b := (a + 1 + rng.IntN(len(s.zones)-1)) % len(s.zones)
	l := s.Link(s.zones[a].name, s.zones[b].name)
	l.Cut(true)
	return func() { l.Cut(false) }
}
