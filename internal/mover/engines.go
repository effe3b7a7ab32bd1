package mover

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// lossReports is the number of consecutive failed load reports that count
	// as the loss of an engine. A single one can be lost on the network.
	lossReports = 2
	// maxContenders is the number of VMs that contend for a move's lease. More
	// would only add reads of the store.
	maxContenders = 3
)

// engineState is the state of an engine according to its load reports.
type engineState struct {
	vm            *world.VM
	load          fleet.Load
	reported      time.Time
	failedReports int
}

// live reports whether the engine sends load reports and is not leaving.
func (h *engineState) live() bool {
	return !h.reported.IsZero() && h.failedReports < lossReports && !h.load.Leaving() && !h.vm.Leaving()
}

func (h *engineState) hasVersion(version string) bool {
	return slices.Contains(h.load.Versions(), version)
}

// incarnation returns the engine's incarnation, or a hash if it is not a number.
func (h *engineState) incarnation() uint64 {
	n, err := strconv.ParseUint(h.load.Incarnation(), 10, 64)
	if err != nil {
		return hashRank(h.load.Incarnation(), h.vm.Name())
	}
	return n
}

// setVMs applies the list of the platform's VMs. This VM is added to the entry VMs
// even if it is not listed yet.
func (d *Duty) setVMs(vms []*world.VM) {
	d.entries = d.entries[:0]
	d.leaving = false
	listed := make(map[string]*world.VM, len(vms))
	for _, vm := range vms {
		switch {
		case vm.Kind() == world.Engine:
			listed[vm.Name()] = vm
		case vm.Kind() != world.Entry:
		case vm.Name() == d.name && vm.Leaving():
			d.leaving = true
		case !vm.Leaving():
			d.entries = append(d.entries, vm.Name())
		}
	}
	if !slices.Contains(d.entries, d.name) {
		d.entries = append(d.entries, d.name)
	}
	for name, h := range d.engines {
		if vm := listed[name]; vm == nil {
			delete(d.engines, name)
		} else {
			h.vm = vm
		}
	}
}

// contends reports whether this VM contends for the lease of a move. These are the
// first maxContenders entry VMs by hashRank, which differ for each key.
func (d *Duty) contends(key string) bool {
	if len(d.entries) == 0 || d.leaving {
		return false
	}
	ahead := 0
	for _, name := range d.entries {
		if hashRank(key, name) < hashRank(key, d.name) {
			ahead++
		}
	}
	return ahead < maxContenders
}

// handleReport applies a load report and detects the loss of an engine.
func (d *Duty) handleReport(r loadReport) {
	h := d.engines[r.vm.Name()]
	if h == nil {
		h = &engineState{vm: r.vm}
		d.engines[r.vm.Name()] = h
	}
	h.vm = r.vm
	if r.err != nil {
		h.failedReports++
		if h.failedReports == lossReports {
			d.recordLoss(h, r.at)
		}
		return
	}
	if h.failedReports < lossReports && h.load.Incarnation() != r.load.Incarnation() {
		d.recordLoss(h, r.at)
	}
	h.failedReports = 0
	h.load = r.load
	h.reported = r.at.Add(-r.load.Age())
}

// recordLoss adds the loss of an engine to the evidence about its versions.
func (d *Duty) recordLoss(h *engineState, at time.Time) {
	t := d.trackers[h.vm.Service()]
	if t == nil || h.reported.IsZero() || h.load.Leaving() || h.vm.Leaving() {
		return
	}
	d.countDecision("engine-lost")
	for _, version := range []string{t.plan.From(), t.plan.To()} {
		if h.hasVersion(version) {
			k := move.NewKey(h.vm.Name(), h.incarnation(), t.service.Name(), version, move.LossRoute, "", at)
			d.set.Merge(k, move.NewCounts(1, 0, 0, 0, 0))
		}
	}
}

// countVersions returns how many live engines of a service have the old and the
// new version of a move loaded, and how many there are.
func (d *Duty) countVersions(service string, plan *world.Move) (from, to, all int) {
	for _, h := range d.engines {
		if h.vm.Service() != service || !h.live() {
			continue
		}
		all++
		if h.hasVersion(plan.From()) {
			from++
		}
		if h.hasVersion(plan.To()) {
			to++
		}
	}
	return from, to, all
}

// plannerEngines returns the live engines of a service for the planner. Load
// reports are delayed and do not contain the versions of streams, so an engine
// counts as busy with all its versions and unloads wait for the streams' deadline.
func (d *Duty) plannerEngines(s *world.Service) []order.Engine {
	var list []order.Engine
	for _, h := range d.engines {
		if h.vm.Service() != s.Name() || !h.live() {
			continue
		}
		e := order.NewEngine(h.vm.Name(), h.vm.Domain(), h.incarnation(), h.reported, h.load.Versions()...)
		if s.Fenced() {
			e = e.WithFencing()
		}
		list = append(list, e.WithBusy(h.load.Versions()...))
	}
	return list
}

// services returns the names of the services with a move, sorted.
func (d *Duty) services() []string {
	names := make([]string, 0, len(d.trackers))
	for name := range d.trackers {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
