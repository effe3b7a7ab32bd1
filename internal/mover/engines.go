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
	// lossAfter is the number of failed load reports in a row that count as
	// the loss of an engine; a single one can be lost on the network.
	lossAfter = 2
	// contenders is the number of VMs that contend for a move's lease. More
	// would only cost reads of the store.
	contenders = 3
)

// host is an engine as its load reports show it.
type host struct {
	vm       *world.VM
	load     fleet.Load
	reported time.Time
	misses   int
}

// live reports whether the engine answers and stays.
func (h *host) live() bool {
	return !h.reported.IsZero() && h.misses < lossAfter && !h.load.Leaving() && !h.vm.Leaving()
}

func (h *host) holds(version string) bool { return slices.Contains(h.load.Versions(), version) }

func (h *host) incarnation() uint64 {
	n, err := strconv.ParseUint(h.load.Incarnation(), 10, 64)
	if err != nil {
		return rank(h.load.Incarnation(), h.vm.Name())
	}
	return n
}

// list takes the platform's list. An entry VM that is not listed yet counts
// itself.
func (d *Duty) list(vms []*world.VM) {
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

// contends reports whether this VM is among those that contend for the lease
// of a move: the first of the listed VMs in an order that the key gives.
func (d *Duty) contends(key string) bool {
	if len(d.entries) == 0 || d.leaving {
		return false
	}
	ahead := 0
	for _, name := range d.entries {
		if rank(key, name) < rank(key, d.name) {
			ahead++
		}
	}
	return ahead < contenders
}

// load takes a load report and notices the loss of an engine.
func (d *Duty) load(r report) {
	h := d.engines[r.vm.Name()]
	if h == nil {
		h = &host{vm: r.vm}
		d.engines[r.vm.Name()] = h
	}
	h.vm = r.vm
	if r.err != nil {
		h.misses++
		if h.misses == lossAfter {
			d.lose(h, r.at)
		}
		return
	}
	if h.misses < lossAfter && h.load.Incarnation() != r.load.Incarnation() {
		d.lose(h, r.at)
	}
	h.misses = 0
	h.load = r.load
	h.reported = r.at.Add(-r.load.Age())
}

// lose adds the loss of an engine to the evidence on the versions it held.
func (d *Duty) lose(h *host, at time.Time) {
	t := d.tracks[h.vm.Service()]
	if t == nil || h.reported.IsZero() || h.load.Leaving() || h.vm.Leaving() {
		return
	}
	d.count("engine-lost")
	for _, version := range []string{t.plan.From(), t.plan.To()} {
		if h.holds(version) {
			k := move.NewKey(h.vm.Name(), h.incarnation(), t.service.Name(), version, move.LossRoute, "", at)
			d.set.Merge(k, move.NewCounts(1, 0, 0, 0, 0))
		}
	}
}

// holding returns the numbers of live engines of a service that hold the old
// and the new version of a move, and of all.
func (d *Duty) holding(service string, plan *world.Move) (from, to, all int) {
	for _, h := range d.engines {
		if h.vm.Service() != service || !h.live() {
			continue
		}
		all++
		if h.holds(plan.From()) {
			from++
		}
		if h.holds(plan.To()) {
			to++
		}
	}
	return from, to, all
}

// orderable returns the live engines of a service for the planner. Reports lag
// and do not tell the version of a stream, so an engine always counts as busy
// with all its versions, and unloads wait for the streams' deadline.
func (d *Duty) orderable(s *world.Service) []order.Engine {
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

// services returns the services with a move in a fixed order.
func (d *Duty) services() []string {
	names := make([]string, 0, len(d.tracks))
	for name := range d.tracks {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
