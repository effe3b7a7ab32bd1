package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinelink.example/clementinelink/internal/budget"
)

const (
	fleetRatio = 0.05
	fleetStep  = 250 * time.Millisecond
)

// fleetVM is one VM of a fleet.
type fleetVM struct {
	control *Control
	budget  *budget.Window
	// lag is the age of its number of VMs.
	lag time.Duration
	// first and hedges hold the times of its first attempts and hedges.
	first  []time.Time
	hedges []time.Time
}

// fleet is a number of VMs that start and stop. Each sees their number as it was some time
// ago, and wrong by up to one.
type fleet struct {
	now     time.Time
	limit   Limit
	running []*fleetVM
	// all includes those that have stopped.
	all []*fleetVM
	// sizes holds the number of running VMs by step.
	sizes []int
}

func (f *fleet) start(lag time.Duration) {
	v := &fleetVM{
		control: New(f.limit, 9, nil),
		budget:  budget.NewWindow(0, 1e9, span),
		lag:     lag,
	}
	f.running, f.all = append(f.running, v), append(f.all, v)
}

// view returns the number of VMs that a VM sees, which is too large by off.
func (f *fleet) view(v *fleetVM, off int) int {
	at := max(len(f.sizes)-1-int(v.lag/fleetStep), 0)
	return max(f.sizes[at]+off, 0)
}

// arrive counts first attempts at a VM and makes it send as many hedges as it may.
func (f *fleet) arrive(v *fleetVM, first, hedges int) {
	a := Attempt{
		Service: "desk",
		Route:   "find",
	}
	for range first {
		v.control.CountFirst(f.now, a.Service)
		v.first = append(v.first, f.now)
	}
	for range hedges {
		sent, _ := v.control.Take(f.now, a, v.budget, 0)
		if !sent {
			return
		}
		v.hedges = append(v.hedges, f.now)
	}
}

// burst returns the hedges of the last 10 s of all VMs that are not due to the ratio. The
// first attempts of a VM count over the 10 s before its latest hedge, and for up to one slot
// of its window longer.
func (f *fleet) burst() float64 {
	excess := 0.0
	for _, v := range f.all {
		hedges := within(v.hedges, f.now, span)
		if hedges == 0 {
			continue
		}
		latest := v.hedges[len(v.hedges)-1]
		excess += max(float64(hedges)-f.limit.ratio*float64(within(v.first, latest, span+span/19)), 0)
	}
	return excess
}

func within(times []time.Time, now time.Time, length time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(now) && now.Sub(at) < length {
			n++
		}
	}
	return n
}

// TestFleetLimit guards against VMs that exceed the limit together: while VMs start, stop or
// restart, while they see different numbers of VMs, and while those are late. All VMs try to
// hedge as much as they may.
func TestFleetLimit(t *testing.T) {
	most := 0.0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			now:   time.Unix(0, 0),
			limit: NewLimit(rapid.SampledFrom([]float64{0, fleetRatio}).Draw(t, "ratio"), rapid.SampledFrom([]int{0, 7, 30, 100}).Draw(t, "burst")),
		}
		// By how much all VMs are wrong, or 2 if each is wrong by chance.
		off := rapid.IntRange(-1, 2).Draw(t, "off")
		// One change of the fleet in so many steps.
		changes := rapid.SampledFrom([]int{5, 40, 150}).Draw(t, "changes")
		// Draws of rapid tend to the ends of their range, so that the fleet would change in
		// most steps.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lag := func() time.Duration { return time.Duration(random.IntN(int(viewLag/fleetStep)+1)) * fleetStep }
		for range rapid.IntRange(1, 12).Draw(t, "vms") {
			f.start(lag())
		}
		for range 360 {
			f.now = f.now.Add(fleetStep)
			switch random.IntN(3 * changes) {
			case 0:
				for range 1 + random.IntN(6) {
					f.start(lag())
				}
			case 1:
				if len(f.running) > 1 {
					f.running = f.running[1+random.IntN(len(f.running)-1):]
				}
			case 2:
				f.running = f.running[1:]
				f.start(lag())
			}
			f.sizes = append(f.sizes, len(f.running))
			for _, v := range f.running {
				wrong := off
				if off == 2 {
					wrong = random.IntN(3) - 1
				}
				v.control.SetVMs(f.now, f.view(v, wrong))
				f.arrive(v, random.IntN(4), random.IntN(9))
			}
			if got := f.burst(); got > f.limit.burst+1e-6 {
				t.Fatalf("%.2f hedges beyond the ratio in 10 s, want %.0f at most", got, f.limit.burst)
			} else if f.limit.burst > 0 {
				most = max(most, got/f.limit.burst)
			}
		}
	})
	if most < 0.5 {
		t.Errorf("the VMs used %.2f of the burst at most, so that the check shows nothing", most)
	}
}

// TestFleetUse guards against a limit that leaves most of the burst unused in a fleet that
// does not change, and against a sum beyond the plain limit at constant load.
func TestFleetUse(t *testing.T) {
	f := &fleet{
		now:   time.Unix(0, 0),
		limit: NewLimit(fleetRatio, 240),
	}
	const vms = 120
	for range vms {
		f.start(0)
	}
	for range 200 {
		f.now = f.now.Add(fleetStep)
		f.sizes = append(f.sizes, vms)
		for _, v := range f.running {
			v.control.SetVMs(f.now, vms)
			f.arrive(v, 5, 8)
		}
	}
	hedges := 0
	for _, v := range f.all {
		hedges += within(v.hedges, f.now, span)
	}
	// 200 first attempts of each VM in 10 s.
	limit := fleetRatio*200*vms + 240
	if float64(hedges) > limit || float64(hedges) < 0.9*limit {
		t.Errorf("%d hedges in 10 s, want 0.9 to 1 of %.0f", hedges, limit)
	}
}
