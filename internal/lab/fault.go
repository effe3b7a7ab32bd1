package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"clementinelink.example/clementinelink/internal/simeng"
)

// Fault is a named kind of fault that is injected into a deployment under load.
type Fault struct {
	name string
	// interval is the time between two injections; 0 injects once.
	interval time.Duration
	// inject starts the fault and returns a function that ends it, or nil if
	// the fault ends by itself.
	inject func(s *Site, rng *rand.Rand) func()
	// duration is the time after which the function returned by inject is
	// called.
	duration time.Duration
}

// Name returns the fault's name in tables and on the command line.
func (f Fault) Name() string { return f.name }

// Faults returns the known faults in the order of the tables.
func Faults() []Fault {
	return []Fault{
		{
			name:   "none",
			inject: func(*Site, *rand.Rand) func() { return nil },
		},
		{
			name:     "reset",
			interval: 250 * time.Millisecond,
			inject:   engineFault(simeng.Reset, 0),
		},
		{
			name:     "kill",
			interval: time.Second,
			inject:   killEngine,
			duration: 3 * time.Second,
		},
		{
			name:     "hang",
			interval: time.Second,
			inject:   engineFault(simeng.Hang, 3*time.Second),
		},
		{
			name:     "pause",
			interval: time.Second,
			inject:   engineFault(simeng.Pause, 3*time.Second),
		},
		{
			name:     "stall",
			interval: 500 * time.Millisecond,
			inject:   engineFault(simeng.Stall, 0),
		},
		{
			name:     "slow",
			interval: time.Second,
			inject:   slowEngine,
		},
		{
			name:     "domain",
			inject:   killDomain,
			duration: 8 * time.Second,
		},
		{
			name:     "region",
			inject:   cutRegion,
			duration: 6 * time.Second,
		},
		{
			name:     "mixed",
			interval: 400 * time.Millisecond,
			inject:   mixedFault,
			duration: 3 * time.Second,
		},
	}
}

// run injects the fault repeatedly until ctx is canceled, and then ends the
// faults that are still active.
func (f Fault) run(ctx context.Context, s *Site, rng *rand.Rand) {
	type activeFault struct {
		endsAt time.Time
		stop   func()
	}
	var active []activeFault
	defer func() {
		for _, fault := range active {
			fault.stop()
		}
	}()
	next := time.Now().Add(firstFaultDelay)
	for {
		wakeAt := next
		if len(active) > 0 && (wakeAt.IsZero() || active[0].endsAt.Before(wakeAt)) {
			wakeAt = active[0].endsAt
		}
		if wakeAt.IsZero() {
			<-ctx.Done()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(wakeAt)):
		}
		if len(active) > 0 && wakeAt.Equal(active[0].endsAt) {
			active[0].stop()
			active = active[1:]
			continue
		}
		if stop := f.inject(s, rng); stop != nil {
			active = append(active, activeFault{
				endsAt: time.Now().Add(f.duration),
				stop:   stop,
			})
		}
		next = time.Time{}
		if f.interval > 0 {
			next = wakeAt.Add(f.interval)
		}
	}
}

// firstFaultDelay is the time from the start of the load to the first fault.
const firstFaultDelay = 2 * time.Second

// randomEngine returns a random engine. Each injection affects one engine, so
// that with a fault of 3 s every second about one engine in ten is affected at a
// time.
func randomEngine(s *Site, rng *rand.Rand) *simeng.Engine {
	return s.engines[rng.IntN(len(s.engines))]
}

// engineFault returns an injection of the given fault into a random engine.
func engineFault(mode string, d time.Duration) func(*Site, *rand.Rand) func() {
	return func(s *Site, rng *rand.Rand) func() {
		_ = randomEngine(s, rng).Inject(simeng.NewFault(mode, d))
		return nil
	}
}

func killEngine(s *Site, rng *rand.Rand) func() {
	e := randomEngine(s, rng)
	e.Kill()
	return func() { _ = e.Restart() }
}

func slowEngine(s *Site, rng *rand.Rand) func() {
	_ = randomEngine(s, rng).Inject(simeng.NewFault(simeng.Slow, 3*time.Second).WithFactor(3))
	return nil
}

// killDomain kills every engine of the first failure domain.
func killDomain(s *Site, _ *rand.Rand) func() {
	var killed []*simeng.Engine
	for _, e := range s.engines {
		if s.Domain(e.Name()) == s.zones[0].name {
			e.Kill()
			killed = append(killed, e)
		}
	}
	return func() {
		for _, e := range killed {
			_ = e.Restart()
		}
	}
}

// cutRegion cuts the links to the region of the last failure domain.
func cutRegion(s *Site, _ *rand.Rand) func() {
	name := s.zones[len(s.zones)-1].region
	s.CutRegion(name, true)
	return func() { s.CutRegion(name, false) }
}

func mixedFault(s *Site, rng *rand.Rand) func() {
	switch rng.IntN(4) {
	case 0:
		return killEngine(s, rng)
	case 1:
		return engineFault(simeng.Hang, 3*time.Second)(s, rng)
	case 2:
		return engineFault(simeng.Reset, 0)(s, rng)
	default:
		return slowEngine(s, rng)
	}
}
