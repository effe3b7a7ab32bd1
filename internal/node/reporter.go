package node

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/engine"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// listEvery is the time between two fetches of the VM list.
	listEvery = time.Second
	// listTimeout bounds one fetch of the VM list.
	listTimeout = 2 * time.Second
	// pollsPerSecond bounds the load reports fetched by one VM; at about 300
	// bytes each they use 3 KB/s of the 4 KB/s allowed for control.
	pollsPerSecond = 10
	// pollTimeout bounds one load report.
	pollTimeout = time.Second
	// pollers is the number of goroutines that fetch load reports, so that
	// silent engines do not hold up the others.
	pollers = 8
)

// members is the duty that follows the platform's list of VMs.
type members struct {
	// fetch returns the platform's list.
	fetch func(ctx context.Context) ([]*world.VM, error)
	// publish hands a list to the dispatcher and the other duties.
	publish func(ctx context.Context, vms []*world.VM)
	// failed is called when the list can't be fetched.
	failed func(err error)
}

// run fetches the list until ctx ends. A failed fetch changes nothing.
func (m *members) run(ctx context.Context) {
	tick := time.NewTicker(listEvery)
	defer tick.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (m *members) poll(ctx context.Context) {
	limited, stop := context.WithTimeout(ctx, listTimeout)
	defer stop()
	vms, err := m.fetch(limited)
	if err != nil {
		m.failed(err)
		return
	}
	m.publish(ctx, vms)
}

// reporter is the duty that schedules load reports.
type reporter struct {
	lists *ring.Ring[[]*world.VM]
	jobs  *ring.Ring[*world.VM]
	// fetch returns one engine's load report.
	fetch  func(ctx context.Context, vm *world.VM) (fleet.Load, error)
	events *ring.Ring[message]
	// observe is called with each report, or the error instead of one.
	observe func(ctx context.Context, vm *world.VM, l fleet.Load, err error)
}

func newReporter(events *ring.Ring[message], fetch func(ctx context.Context, vm *world.VM) (fleet.Load, error)) *reporter {
	return &reporter{
		lists:   ring.New[[]*world.VM](1, ring.DropOldest),
		jobs:    ring.New[*world.VM](pollers, ring.Refuse),
		fetch:   fetch,
		events:  events,
		observe: func(context.Context, *world.VM, fleet.Load, error) {},
	}
}

// run polls engines in turn until ctx ends. Engines that were not listed
// before are polled at once, so that they can be given work.
func (r *reporter) run(ctx context.Context) {
	tick := time.NewTicker(time.Second / pollsPerSecond)
	defer tick.Stop()
	var engines []*world.VM
	known := make(map[string]bool)
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case vms := <-r.lists.Out():
			engines = engines[:0]
			seen := make(map[string]bool, len(vms))
			for _, vm := range vms {
				if vm.Kind() != world.Engine {
					continue
				}
				engines = append(engines, vm)
				seen[vm.Address()] = true
				if !known[vm.Address()] {
					seen[vm.Address()] = r.jobs.Put(ctx, vm)
				}
			}
			known = seen
		case <-tick.C:
			if len(engines) > 0 {
				r.jobs.Put(ctx, engines[next%len(engines)])
				next++
			}
		}
	}
}

// poll fetches load reports until ctx ends.
func (r *reporter) poll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-r.jobs.Out():
			limited, stop := context.WithTimeout(ctx, pollTimeout)
			l, err := r.fetch(limited, vm)
			stop()
			r.observe(ctx, vm, l, err)
			switch {
			case err == nil:
				r.events.Put(ctx, message{event: router.NewLoad(vm.Name(), l)})
			case engine.Unreachable(err):
				r.events.Put(ctx, message{event: router.NewMissed(vm.Name())})
			}
		}
	}
}
