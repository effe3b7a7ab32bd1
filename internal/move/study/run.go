package study

import (
	"fmt"
	"math"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/world"
)

// store simulates the platform's store with the record of the move.
type store struct {
	record       move.Record
	revision     uint64
	down         bool
	finalRecords map[string]bool
	finalAt      int
}

// swap replaces the record by compare-and-swap. A write with an old revision, or
// while the store is down, is lost.
func (s *store) swap(second int, a move.Action) {
	if s.down || a.Revision() != s.revision {
		return
	}
	s.record = a.Record()
	s.revision++
	if s.record.State() != move.Running {
		s.finalRecords[fmt.Sprint(s.record)] = true
		s.finalAt = second
	}
}

// run is one simulated move under the controller.
type run struct {
	*fleet
	store store
	plan  *world.Move
	gates [fleetVMs]*move.Gate
	// regional holds a controller without the lease for each region, which
	// sets the gates of the region's VMs.
	regional [2]*move.Controller
	// records and revisions are what each region last read from the store.
	records   [2]move.Record
	revisions [2]uint64
	// failures holds the reason of failure that each region knows, or "".
	failures [2]string
	holder   *move.Controller
	// holderRegion is the region of the holder.
	holderRegion int
	fence        uint64
	// holderFaultAt is the second at which the holder stops or pauses.
	holderFaultAt int
	delayedWrite  *move.Action
	limits        [2]move.Limits
	wantedEngines int
}

// initialShare is the maximum share of an unproven version.
const initialShare = 0.05

// Run simulates one move. The same case and seed give the same result.
func Run(c Case, seed uint64) Result {
	f := newFleet(c, seed)
	if c.baseline {
		return runBaseline(f)
	}
	r := &run{
		fleet:         f,
		plan:          world.NewMove("m", "v1", "v2", timeAt(0), timeAt(moveSeconds), initialShare),
		holderFaultAt: f.faultSecond(moveSeconds * 9 / 10),
		fence:         1,
		store:         store{finalRecords: make(map[string]bool)},
	}
	for i := range r.gates {
		r.gates[i] = move.NewGate(f.rng.Uint64())
	}
	for i := range r.regional {
		r.regional[i] = move.NewController("model", r.plan, f.sets[i])
	}
	r.holder = move.NewController("model", r.plan, f.sets[0])
	onTime := true
	for second := range moveSeconds + extraSeconds {
		r.step(second)
		if second == moveSeconds {
			onTime = r.servesAllOrNone()
		}
		if r.store.record.State() == move.RolledBack && second > r.store.finalAt+5 && second > moveSeconds {
			break
		}
	}
	return r.result(onTime)
}

func (r *run) result(onTime bool) Result {
	final := r.store.record.State()
	for i := range r.limits {
		share := 0.0
		if final == move.Done {
			share = 1
		}
		onTime = onTime && (r.c.fault == Partition || r.limits[i].Share() == share)
	}
	return Result{
		state:        final.String(),
		finalAt:      float64(r.store.finalAt),
		onTime:       onTime,
		badRequests:  r.badRequests,
		served:       r.served,
		finalRecords: len(r.store.finalRecords),
		reason:       r.store.record.Reason(),
	}
}

// servesAllOrNone reports whether, at the deadline, the new version serves either
// all traffic of each VM, after Done, or none of it.
func (r *run) servesAllOrNone() bool {
	for vm, g := range r.gates {
		l := r.limits[region(vm < homeVMs)]
		if l.Done() {
			continue
		}
		if g.Admit(timeAt(moveSeconds)) {
			return false
		}
	}
	return true
}

func (r *run) step(second int) {
	r.startSecond(second)
	r.gossip(second)
	r.store.down = r.c.fault == Outage && second >= moveSeconds*70/100 && second < moveSeconds+60
	r.loadEngines()
	r.refreshRegions(second)
	for i, c := range r.regional {
		for _, a := range c.Step(timeAt(second), r.input(i)) {
			r.applyRegional(i, a)
		}
	}
	r.stepHolder(second)
	r.restartVM(second)
	if r.store.record.State() == move.RolledBack && r.limits[0].Share()+r.limits[1].Share() == 0 {
		return
	}
	for vm, g := range r.gates {
		share := r.limits[region(vm < homeVMs)].Share()
		for n := r.poisson(requestRate / fleetVMs); n > 0; n-- {
			version := 0
			if g.Admit(timeAt(second)) {
				version = 1
			}
			r.serve(second, vm, version, share)
		}
	}
}

// refreshRegions updates the record and the failure that each region knows. The
// store is in the home region.
func (r *run) refreshRegions(second int) {
	for i := range r.records {
		if !r.store.down && (i == 0 || !r.partitioned(second)) {
			r.records[i], r.revisions[i] = r.store.record, r.store.revision
		}
	}
	if !r.partitioned(second) {
		for i := range r.failures {
			if r.failures[i] == "" {
				r.failures[i] = r.failures[1-i]
			}
		}
	}
}

func (r *run) input(region int) move.Input {
	return move.NewInput(fleetVMs).
		WithRecord(r.records[region], r.revisions[region]).
		WithFailure(r.failures[region]).
		WithEngines(fleetEngines-r.newEngines, r.newEngines, fleetEngines)
}

func (r *run) applyRegional(region int, a move.Action) {
	switch a.Kind() {
	case move.Limit:
		r.limits[region] = a.Limits()
		for vm, g := range r.gates {
			if (vm < homeVMs) == (region == 0) {
				g.Set(a.Limits())
			}
		}
	case move.AnnounceFailure:
		r.failures[region] = a.Reason()
	case move.Load:
		if region == 0 {
			r.wantedEngines = int(math.Ceil(a.Fraction() * fleetEngines))
		}
	case move.Stop:
		r.wantedEngines = 0
	}
}

// loadEngines loads the new version on one more engine per second up to the
// wanted number, and unloads it from one per second after a roll-back.
func (r *run) loadEngines() {
	switch {
	case r.newEngines < r.wantedEngines:
		r.newEngines++
	case r.wantedEngines == 0 && r.newEngines > 0 && r.store.record.State() == move.RolledBack:
		r.newEngines--
	}
}

// stepHolder steps the controller that holds the lease, and injects the faults of
// the holder.
func (r *run) stepHolder(second int) {
	holderFails := r.c.fault == HolderDead || r.c.fault == HolderPaused
	if holderFails && second == r.holderFaultAt {
		r.holder = nil
	}
	if holderFails && second == r.holderFaultAt+leaseSeconds {
		r.holderRegion = 1
		r.fence++
		r.holder = move.NewController("model", r.plan, r.sets[1])
	}
	if r.delayedWrite != nil && second == r.holderFaultAt+60 {
		r.store.swap(second, *r.delayedWrite)
	}
	if r.holder == nil {
		return
	}
	in := r.input(r.holderRegion).WithLease(r.fence)
	for _, a := range r.holder.Step(timeAt(second), in) {
		r.applyHolder(second, a)
	}
}

func (r *run) applyHolder(second int, a move.Action) {
	switch a.Kind() {
	case move.AnnounceFailure:
		r.failures[r.holderRegion] = a.Reason()
	case move.Write:
		if r.c.fault == HolderPaused && second >= r.holderFaultAt-30 && r.holderRegion == 0 && r.delayedWrite == nil {
			r.delayedWrite = &a
			return
		}
		if a.Before().IsZero() || timeAt(second).Before(a.Before()) {
			r.store.swap(second, a)
		}
	}
}

// restartVM replaces an entry VM every 20 seconds. Its gate starts anew.
func (r *run) restartVM(second int) {
	if r.c.fault != Restarts || second%20 != 0 {
		return
	}
	vm := second / 20 % fleetVMs
	r.incarnations[vm]++
	r.gates[vm] = move.NewGate(r.rng.Uint64())
	r.gates[vm].Set(r.limits[region(vm < homeVMs)])
}
