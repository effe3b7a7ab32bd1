package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/cursor"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/router"
	"clementinelink.example/clementinelink/internal/world"
)

// epoch is the time at which simulated time starts. The measured cores read no
// clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// engineSlots is so large that no request waits for a slot of an engine.
	engineSlots = 1 << 20
	// modelVersion is the version that all engines have loaded.
	modelVersion = "v1"
)

// engineSizes are the numbers of engines to measure at, from the present fleet
// to the target size.
var engineSizes = []int{35, 170, 730, 2200}

// routerFleet is a router that has the VM list and the load reports of a fleet.
type routerFleet struct {
	router *router.Router
	vms    []*world.VM
	now    time.Time
}

// newRouterFleet returns a router that knows a number of live engines, and entry
// VMs in the same proportion as at the target size.
func newRouterFleet(engines int) *routerFleet {
	f := &routerFleet{
		router: router.New("region-0", 1, nil),
		vms:    newVMs(engines, max(engines*360/2200, 1)),
		now:    epoch,
	}
	m := world.NewModelService("draft", modelVersion, world.NewContract(time.Hour))
	f.router.Step(f.now, router.NewConfig(world.NewConfig(1, nil, nil, []*world.Service{m}, nil)))
	f.router.Step(f.now, router.NewMembers(f.vms))
	for i := range engines {
		f.reportLoad(i, modelVersion)
	}
	f.triggerRebuild()
	return f
}

// newVMs returns a VM list over nine failure domains in three regions.
func newVMs(engines, entries int) []*world.VM {
	var vms []*world.VM
	for i := range engines {
		vms = append(vms, world.NewVM(engineName(i), world.Engine, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)).WithService("draft"))
	}
	for i := range entries {
		vms = append(vms, world.NewVM(fmt.Sprintf("entry-%d", i), world.Entry, fmt.Sprintf("10.2.%d.%d:8082", i/250, i%250),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)))
	}
	return vms
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// reportLoad passes a load report of the i-th engine to the router.
func (f *routerFleet) reportLoad(i int, versions ...string) {
	f.router.Step(f.now, router.NewLoad(engineName(i), fleet.NewLoad("a", 1, 0, engineSlots, versions, false, 0)))
}

// triggerRebuild advances the time by the shortest interval between two rebuilds
// of the pools, so that the router rebuilds stale pools.
func (f *routerFleet) triggerRebuild() {
	f.now = f.now.Add(time.Second)
	f.router.Step(f.now, router.NewTick())
}

// newRequest returns the i-th request.
func (f *routerFleet) newRequest(i int) *relay.Request {
	return relay.NewRequest(requestName(i), "draft", "workspace", world.Interactive, epoch.Add(1000*time.Hour)).
		WithPrompt("prompt", uint64(i)*0x9e3779b97f4a7c15).
		WithSampling(1<<30, 1, relay.NewSampling(-1, -1, nil))
}

func requestName(i int) string { return fmt.Sprintf("request-%d", i) }

// routerProbes returns the probes of the decisions about generations, and of
// cursors.
func routerProbes() []*Probe {
	return []*Probe{
		{
			name:      "router/token",
			dimension: "live responses",
			unit:      "µs",
			sizes:     []int{10, 100, 1000, 10000},
			target:    123,
			measure:   tokenCost,
		},
		{
			name:      "router/arrive",
			dimension: "engines",
			unit:      "µs",
			sizes:     engineSizes,
			target:    2200,
			measure:   arrivalCost,
		},
		{
			name:      "router/load",
			dimension: "engines",
			unit:      "µs",
			sizes:     engineSizes,
			target:    2200,
			measure:   loadReportCost,
		},
		{
			name:      "router/members",
			dimension: "engines",
			unit:      "µs",
			sizes:     engineSizes,
			target:    2200,
			measure:   membersCost,
		},
		{
			name:      "router/rebuild",
			dimension: "engines",
			unit:      "µs",
			sizes:     engineSizes,
			target:    2200,
			measure:   rebuildCost,
		},
		{
			name:      "router/resume",
			dimension: "lost streams",
			unit:      "µs",
			sizes:     []int{10, 40, 120, 400},
			target:    41,
			measure:   resumeCost,
		},
		{
			name:      "cursor/encode",
			dimension: "cursors",
			unit:      "µs",
			sizes:     []int{100, 400, 1200, 1917},
			target:    1917,
			measure:   encodeCost,
		},
		{
			name:      "router/heap",
			dimension: "engines",
			unit:      "bytes",
			sizes:     engineSizes,
			target:    2200,
			once:      true,
			measure: func(_ context.Context, _ *Bench, size int) (float64, error) {
				return retainedHeap(func() any { return newRouterFleet(size) }), nil
			},
		},
	}
}

// tokenCost returns the CPU time of one token while size responses are live.
func tokenCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(100)
	for i := range size {
		f.router.Step(f.now, router.NewArrive(f.newRequest(i)))
	}
	ids, next := make([]string, size), make([]int, size)
	for i := range ids {
		ids[i] = requestName(i)
	}
	return b.cpuPerCall(ctx, func(i int) {
		r := i % size
		f.now = f.now.Add(40 * time.Millisecond / time.Duration(size))
		f.router.Step(f.now, router.NewToken(ids[r], 1, next[r], 7, " word"))
		next[r]++
	})
}

// arrivalCost returns the CPU time of a request with a response of one token.
func arrivalCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(size)
	var drainErr error
	cost, err := b.cpuPerCall(ctx, func(i int) {
		request := f.newRequest(i)
		f.now = f.now.Add(time.Millisecond)
		f.router.Step(f.now, router.NewArrive(request))
		f.router.Step(f.now, router.NewToken(request.ID(), 1, 0, 7, " word"))
		f.router.Step(f.now, router.NewFinish(request.ID(), 1, 1, "stop", 1))
		drainErr = f.checkDrained(drainErr)
	})
	return cost, errors.CombineErrors(err, drainErr)
}

// checkDrained returns err, or an error if the router still has responses. Each
// measured sequence must end all of its responses, because responses that are
// left over make later calls more expensive.
func (f *routerFleet) checkDrained(err error) error {
	if n := f.router.Live() + f.router.Queued(); err == nil && n > 0 {
		return errors.Newf("%d responses did not end", n)
	}
	return err
}

// loadReportCost returns the CPU time of one load report.
func loadReportCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(size)
	return b.cpuPerCall(ctx, func(i int) { f.reportLoad(i%size, modelVersion) })
}

// membersCost returns the CPU time of one unchanged VM list.
func membersCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(size)
	return b.cpuPerCall(ctx, func(int) { f.router.Step(f.now, router.NewMembers(f.vms)) })
}

// rebuildCost returns the CPU time of one rebuild of the pools. It alternates
// the versions of one engine, which makes the pools stale.
func rebuildCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(size)
	return b.cpuPerCall(ctx, func(i int) {
		f.now = f.now.Add(time.Second)
		f.reportLoad(0, []string{"v2", modelVersion}[i%2])
	})
}

// resumeCost returns the CPU time of the loss of size streams at once, as when
// the VM's engines in a failure domain are lost. Each stream is resumed, loses
// its second attempt as well, and then its caller disconnects. The cost includes
// the arrivals.
func resumeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	f := newRouterFleet(2200)
	var drainErr error
	cost, err := b.cpuPerCall(ctx, func(i int) {
		f.now = f.now.Add(time.Millisecond)
		for r := range size {
			request := f.newRequest(i*size + r)
			f.router.Step(f.now, router.NewArrive(request))
			f.router.Step(f.now, router.NewToken(request.ID(), 1, 0, 7, " word"))
		}
		for r := range size {
			f.router.Step(f.now, router.NewLost(requestName(i*size+r), 1, relay.Reset))
		}
		for r := range size {
			f.router.Step(f.now, router.NewLost(requestName(i*size+r), 2, relay.Reset))
		}
		for r := range size {
			f.router.Step(f.now, router.NewCallerLeft(requestName(i*size+r)))
		}
		drainErr = f.checkDrained(drainErr)
	})
	return cost, errors.CombineErrors(err, drainErr)
}

// encodeCost returns the CPU time of encoding and signing size cursors of the
// usual length.
func encodeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	c, err := cursor.Parse(entryKey)
	if err != nil {
		return 0, err
	}
	w := c.Writer("01980000-0000-7000-8000-000000000001", "draft", 1, 2)
	var text []byte
	return b.cpuPerCall(ctx, func(int) {
		for i := range size {
			if text, err = w.Append(text[:0], relay.NewResume(modelVersion, "gab-mill-engine-17", "10.1.2.3:8000", 1, i, uint64(i))); err != nil {
				return
			}
		}
	})
}
