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
	// listInterval is the time between two fetches of the VM list.
	listInterval = time.Second
	// listTimeout bounds one fetch of the VM list.
	listTimeout = 2 * time.Second
	// pollsPerSecond bounds the rate at which one VM fetches load reports. At
	// about 300 bytes each, they use 3 KB/s of the 4 KB/s allowed for control
	// traffic.
	pollsPerSecond = 10
	// pollTimeout bounds the fetch of one load report.
	pollTimeout = time.Second
	// pollWorkers is the number of goroutines that fetch load reports. With
	// several, unresponsive engines do not block the others.
	pollWorkers = 8
)

// members is the duty that regularly fetches the platform's list of VMs.
type members struct {
	// fetch returns the platform's list.
	fetch func(ctx context.Context) ([]*world.VM, error)
	// publish passes a list to the dispatcher and the other duties.
	publish func(ctx context.Context, vms []*world.VM)
	// fetchFailed is called when the list can't be fetched.
	fetchFailed func(err error)
}

// run fetches the list until ctx ends. After a failed fetch the old list stays
// in use.
func (m *members) run(ctx context.Context) {
	tick := time.NewTicker(listInterval)
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
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := m.fetch(limited)
	if err != nil {
		m.fetchFailed(err)
		return
	}
	m.publish(ctx, vms)
}

// loadPoller is the duty that fetches the load reports of engines.
type loadPoller struct {
	// lists holds the latest VM list until schedule reads it.
	lists *ring.Ring[[]*world.VM]
	// jobs holds the engines to poll.
	jobs *ring.Ring[*world.VM]
	// fetch returns one engine's load report.
	fetch  func(ctx context.Context, vm *world.VM) (fleet.Load, error)
	events *ring.Ring[message]
	// report is called with each load report, or with the error of its fetch.
	report func(ctx context.Context, vm *world.VM, l fleet.Load, err error)
}

func newLoadPoller(events *ring.Ring[message], fetch func(ctx context.Context, vm *world.VM) (fleet.Load, error)) *loadPoller {
	return &loadPoller{
		lists:  ring.New[[]*world.VM](1, ring.DropOldest),
		jobs:   ring.New[*world.VM](pollWorkers, ring.Refuse),
		fetch:  fetch,
		events: events,
		report: func(context.Context, *world.VM, fleet.Load, error) {},
	}
}

// schedule queues the engines for polling in turn until ctx ends. Newly listed
// engines are queued at once, so that they can get work.
func (p *loadPoller) schedule(ctx context.Context) {
	tick := time.NewTicker(time.Second / pollsPerSecond)
	defer tick.Stop()
	var engines []*world.VM
	known := make(map[string]bool)
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case vms := <-p.lists.Out():
			engines = engines[:0]
			seen := make(map[string]bool, len(vms))
			for _, vm := range vms {
				if vm.Kind() != world.Engine {
					continue
				}
				engines = append(engines, vm)
				seen[vm.Address()] = true
				if !known[vm.Address()] {
					seen[vm.Address()] = p.jobs.Put(ctx, vm)
				}
			}
			known = seen
		case <-tick.C:
			if len(engines) > 0 {
				p.jobs.Put(ctx, engines[next%len(engines)])
				next++
			}
		}
	}
}

// poll fetches the load reports of queued engines until ctx ends. Several
// goroutines may call it.
func (p *loadPoller) poll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-p.jobs.Out():
			limited, cancel := context.WithTimeout(ctx, pollTimeout)
			l, err := p.fetch(limited, vm)
			cancel()
			p.report(ctx, vm, l, err)
			switch {
			case err == nil:
				p.events.Put(ctx, message{event: router.NewLoad(vm.Name(), l)})
			case engine.Unreachable(err):
				p.events.Put(ctx, message{event: router.NewUnreachable(vm.Name())})
			}
		}
	}
}
