package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"clementinelink.example/clementinelink/internal/simeng"
)

// Fault is a named way to trouble a deployment while it serves.
type Fault struct {
	name string
	// every is the time between two strikes; 0 strikes once.
	every time.Duration
	// strike brings the fault about and returns what ends it, or nil.
	strike func(s *Site, rng *rand.Rand) func()
	// lasts is the time from a strike to its end.
	lasts time.Duration
}

// Name returns the fault's name in tables.
func (f Fault) Name() string { return f.name }

// Faults returns the known faults in the order of the tables.
func Faults() []Fault {
	return []Fault{
		{
			name:   "none",
			strike: func(*Site, *rand.Rand) func() { return nil },
		},
		{
			name:   "reset",
			every:  250 * time.Millisecond,
			strike: inject(simeng.Reset, 0),
		},
		{
			name:   "kill",
			every:  time.Second,
			strike: kill,
			lasts:  3 * time.Second,
		},
		{
			name:   "hang",
			every:  time.Second,
			strike: inject(simeng.Hang, 3*time.Second),
		},
		{
			name:   "pause",
			every:  time.Second,
			strike: inject(simeng.Pause, 3*time.Second),
		},
		{
			name:   "stall",
			every:  500 * time.Millisecond,
			strike: inject(simeng.Stall, 0),
		},
		{
			name:   "slow",
			every:  time.Second,
			strike: slow,
		},
		{
			name:   "domain",
			strike: domain,
			lasts:  8 * time.Second,
		},
		{
			name:   "region",
			strike: region,
			lasts:  6 * time.Second,
		},
		{
			name:   "mixed",
			every:  400 * time.Millisecond,
			strike: mixed,
			lasts:  3 * time.Second,
		},
	}
}

// run strikes until ctx ends, and then ends what still lasts.
func (f Fault) run(ctx context.Context, s *Site, rng *rand.Rand) {
	type end struct {
		at   time.Time
		stop func()
	}
	var ends []end
	defer func() {
		for _, e := range ends {
			e.stop()
		}
	}()
	next := time.Now().Add(strikeAfter)
	for {
		at := next
		if len(ends) > 0 && (at.IsZero() || ends[0].at.Before(at)) {
			at = ends[0].at
		}
		if at.IsZero() {
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		if len(ends) > 0 && at.Equal(ends[0].at) {
			ends[0].stop()
			ends = ends[1:]
			continue
		}
		if stop := f.strike(s, rng); stop != nil {
			ends = append(ends, end{
				at:   time.Now().Add(f.lasts),
				stop: stop,
			})
		}
		next = time.Time{}
		if f.every > 0 {
			next = at.Add(f.every)
		}
	}
}

// strikeAfter is the time from the start of the load to the first strike.
const strikeAfter = 2 * time.Second

// victim draws an engine. At most one engine in ten is drawn at a time, because
// faults that last strike different engines in turn.
func victim(s *Site, rng *rand.Rand) *simeng.Engine {
	return s.engines[rng.IntN(len(s.engines))]
}

// inject returns a strike that gives one engine a fault of the stand-in.
func inject(mode string, d time.Duration) func(*Site, *rand.Rand) func() {
	return func(s *Site, rng *rand.Rand) func() {
		_ = victim(s, rng).Inject(simeng.NewFault(mode, d))
		return nil
	}
}

func kill(s *Site, rng *rand.Rand) func() {
	e := victim(s, rng)
	e.Kill()
	return func() { _ = e.Restart() }
}

func slow(s *Site, rng *rand.Rand) func() {
	_ = victim(s, rng).Inject(simeng.NewFault(simeng.Slow, 3*time.Second).WithFactor(3))
	return nil
}

// domain kills every engine of the first failure domain.
func domain(s *Site, _ *rand.Rand) func() {
	var gone []*simeng.Engine
	for _, e := range s.engines {
		if s.Domain(e.Name()) == s.zones[0].name {
			e.Kill()
			gone = append(gone, e)
		}
	}
	return func() {
		for _, e := range gone {
			_ = e.Restart()
		}
	}
}

// region cuts the last failure domain's region off.
func region(s *Site, _ *rand.Rand) func() {
	name := s.zones[len(s.zones)-1].region
	s.CutRegion(name, true)
	return func() { s.CutRegion(name, false) }
}

func mixed(s *Site, rng *rand.Rand) func() {
	switch rng.IntN(4) {
	case 0:
		return kill(s, rng)
	case 1:
		return inject(simeng.Hang, 3*time.Second)(s, rng)
	case 2:
		return inject(simeng.Reset, 0)(s, rng)
	default:
		return slow(s, rng)
	}
}
