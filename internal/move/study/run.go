package study

import (
	"fmt"
	"math"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/world"
)

// store is the record of the move with a revision.
type store struct {
	record   move.Record
	revision uint64
	down     bool
	finals   map[string]bool
	settled  int
}

// swap replaces the record by compare-and-swap.
func (s *store) swap(second int, a move.Action) {
	if s.down || a.Revision() != s.revision {
		return
	}
	s.record = a.Record()
	s.revision++
	if s.record.State() != move.Running {
		s.finals[fmt.Sprint(s.record)] = true
		s.settled = second
	}
}

// run is one simulated move under the controller.
type run struct {
	*fleet
	store store
	plan  *world.Move
	gates [fleetVMs]*move.Gate
	// locals set the gates of each region and hold no lease.
	locals [2]*move.Controller
	// views are the records that each region saw last.
	views     [2]move.Record
	revisions [2]uint64
	// failed are the verdicts that each region knows.
	failed [2]string
	holder *move.Controller
	// seat is the region of the holder.
	seat  int
	fence uint64
	// strikes is the second at which the holder dies or pauses.
	strikes int
	stale   *move.Action
	limits  [2]move.Limits
	wanted  int
}

// trial is the largest share of an unproven version.
const trial = 0.05

// Run simulates one move. The same case and seed give the same result.
func Run(c Case, seed uint64) Result {
	f := newFleet(c, seed)
	if c.baseline {
		return runBaseline(f)
	}
	r := &run{
		fleet:   f,
		plan:    world.NewMove("m", "v1", "v2", clock(0), clock(window), trial),
		strikes: f.early(window * 9 / 10),
		fence:   1,
		store:   store{finals: make(map[string]bool)},
	}
	for i := range r.gates {
		r.gates[i] = move.NewGate(f.rng.Uint64())
	}
	for i := range r.locals {
		r.locals[i] = move.NewController("model", r.plan, f.sets[i])
	}
	r.holder = move.NewController("model", r.plan, f.sets[0])
	onTime := true
	for second := range window + after {
		r.second(second)
		if second == window {
			onTime = r.agreed()
		}
		if r.store.record.State() == move.RolledBack && second > r.store.settled+5 && second > window {
			break
		}
	}
	return r.result(onTime)
}

func (r *run) result(onTime bool) Result {
	final := r.store.record.State()
	for i := range r.limits {
		want := 0.0
		if final == move.Done {
			want = 1
		}
		onTime = onTime && (r.c.fault == Partition || r.limits[i].Share() == want)
	}
	return Result{
		state:   final.String(),
		settled: float64(r.store.settled),
		onTime:  onTime,
		met:     r.met,
		served:  r.served,
		finals:  len(r.store.finals),
		reason:  r.store.record.Reason(),
	}
}

// agreed reports whether no VM sends a part of its traffic to the new version
// at the deadline: it serves all of it, after Done, or none.
func (r *run) agreed() bool {
	for vm, g := range r.gates {
		l := r.limits[region(vm < homeVMs)]
		if l.Done() {
			continue
		}
		if g.Admit(clock(window)) {
			return false
		}
	}
	return true
}

func (r *run) second(second int) {
	r.begin(second)
	r.gossip(second)
	r.store.down = r.c.fault == Outage && second >= window*70/100 && second < window+60
	r.load()
	r.spread(second)
	for i, c := range r.locals {
		for _, a := range c.Step(clock(second), r.input(i)) {
			r.local(i, a)
		}
	}
	r.hold(second)
	r.restart(second)
	if r.store.record.State() == move.RolledBack && r.limits[0].Share()+r.limits[1].Share() == 0 {
		return
	}
	for vm, g := range r.gates {
		share := r.limits[region(vm < homeVMs)].Share()
		for n := r.poisson(requestRate / fleetVMs); n > 0; n-- {
			version := 0
			if g.Admit(clock(second)) {
				version = 1
			}
			r.serve(second, vm, version, share)
		}
	}
}

// spread refreshes what each region knows of the record and of verdicts. The
// store stands in the home region.
func (r *run) spread(second int) {
	for i := range r.views {
		if !r.store.down && (i == 0 || !r.parted(second)) {
			r.views[i], r.revisions[i] = r.store.record, r.store.revision
		}
	}
	if !r.parted(second) {
		for i := range r.failed {
			if r.failed[i] == "" {
				r.failed[i] = r.failed[1-i]
			}
		}
	}
}

func (r *run) input(region int) move.Input {
	return move.NewInput(fleetVMs).
		WithRecord(r.views[region], r.revisions[region]).
		WithFailed(r.failed[region]).
		WithEngines(fleetEngines-r.newEngines, r.newEngines, fleetEngines)
}

func (r *run) local(region int, a move.Action) {
	switch a.Kind() {
	case move.Limit:
		r.limits[region] = a.Limits()
		for vm, g := range r.gates {
			if (vm < homeVMs) == (region == 0) {
				g.Set(a.Limits())
			}
		}
	case move.Tell:
		r.failed[region] = a.Reason()
	case move.Load:
		if region == 0 {
			r.wanted = int(math.Ceil(a.Fraction() * fleetEngines))
		}
	case move.Stop:
		r.wanted = 0
	}
}

// load brings the engines towards the wanted number, one each two seconds.
func (r *run) load() {
	switch {
	case r.newEngines < r.wanted:
		r.newEngines++
	case r.wanted == 0 && r.newEngines > 0 && r.store.record.State() == move.RolledBack:
		r.newEngines--
	}
}

// hold steps the holder of the lease, and kills or pauses it.
func (r *run) hold(second int) {
	struck := r.c.fault == HolderDead || r.c.fault == HolderPaused
	if struck && second == r.strikes {
		r.holder = nil
	}
	if struck && second == r.strikes+leaseSeconds {
		r.seat = 1
		r.fence++
		r.holder = move.NewController("model", r.plan, r.sets[1])
	}
	if r.stale != nil && second == r.strikes+60 {
		r.store.swap(second, *r.stale)
	}
	if r.holder == nil {
		return
	}
	in := r.input(r.seat).WithLease(r.fence)
	for _, a := range r.holder.Step(clock(second), in) {
		r.act(second, a)
	}
}

func (r *run) act(second int, a move.Action) {
	switch a.Kind() {
	case move.Tell:
		r.failed[r.seat] = a.Reason()
	case move.Write:
		if r.c.fault == HolderPaused && second >= r.strikes-30 && r.seat == 0 && r.stale == nil {
			r.stale = &a
			return
		}
		if a.Before().IsZero() || clock(second).Before(a.Before()) {
			r.store.swap(second, a)
		}
	}
}

// restart replaces an entry VM, which forgets all that its gate knew.
func (r *run) restart(second int) {
	if r.c.fault != Restarts || second%20 != 0 {
		return
	}
	vm := second / 20 % fleetVMs
	r.incarnations[vm]++
	r.gates[vm] = move.NewGate(r.rng.Uint64())
	r.gates[vm].Set(r.limits[region(vm < homeVMs)])
}
