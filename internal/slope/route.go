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

// epoch is the time at which measured cores start; they read no clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// slots is large, so that admission never waits for a slot.
	slots = 1 << 20
	// version is the one that all engines have loaded.
	version = "v1"
)

// engineSizes are the fleets to measure: today's, and steps up to full size.
var engineSizes = []int{35, 170, 730, 2200}

// estate is a router that knows a fleet.
type estate struct {
	router *router.Router
	vms    []*world.VM
	now    time.Time
}

// newEstate returns a router that knows live engines, and entry VMs in the
// proportion of the full size.
func newEstate(engines int) *estate {
	e := &estate{
		router: router.New("region-0", 1, nil),
		vms:    listOf(engines, max(engines*360/2200, 1)),
		now:    epoch,
	}
	m := world.NewModel("draft", version, world.NewContract(time.Hour))
	e.router.Step(e.now, router.NewConfig(world.NewMap(1, nil, nil, []*world.Service{m}, nil)))
	e.router.Step(e.now, router.NewMembers(e.vms))
	for i := range engines {
		e.report(i, version)
	}
	e.rebuild()
	return e
}

// listOf returns a VM list over nine failure domains in three regions.
func listOf(engines, entries int) []*world.VM {
	var vms []*world.VM
	for i := range engines {
		vms = append(vms, world.NewVM(engineName(i), world.Engine, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)).Serving("draft"))
	}
	for i := range entries {
		vms = append(vms, world.NewVM(fmt.Sprintf("entry-%d", i), world.Entry, fmt.Sprintf("10.2.%d.%d:8082", i/250, i%250),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)))
	}
	return vms
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// report steps the load report of an engine.
func (e *estate) report(i int, versions ...string) {
	e.router.Step(e.now, router.NewLoad(engineName(i), fleet.NewLoad("a", 1, 0, slots, versions, false, 0)))
}

// rebuild lets the shortest time between two rebuilds of the pools pass.
func (e *estate) rebuild() {
	e.now = e.now.Add(time.Second)
	e.router.Step(e.now, router.NewTick())
}

// ask returns the i-th request.
func (e *estate) ask(i int) *relay.Request {
	return relay.NewRequest(requestName(i), "draft", "workspace", world.Interactive, epoch.Add(1000*time.Hour)).
		WithPrompt("prompt", uint64(i)*0x9e3779b97f4a7c15).
		WithSampling(1<<30, 1, relay.NewSampling(-1, -1, nil))
}

func requestName(i int) string { return fmt.Sprintf("request-%d", i) }

// routerProbes are the decisions about generations.
func routerProbes() []*Probe {
	return []*Probe{
		{
			name:    "router/token",
			size:    "live responses",
			unit:    "µs",
			sizes:   []int{10, 100, 1000, 10000},
			target:  123,
			measure: token,
		},
		{
			name:    "router/arrive",
			size:    "engines",
			unit:    "µs",
			sizes:   engineSizes,
			target:  2200,
			measure: arrive,
		},
		{
			name:    "router/load",
			size:    "engines",
			unit:    "µs",
			sizes:   engineSizes,
			target:  2200,
			measure: loadReport,
		},
		{
			name:    "router/members",
			size:    "engines",
			unit:    "µs",
			sizes:   engineSizes,
			target:  2200,
			measure: members,
		},
		{
			name:    "router/rebuild",
			size:    "engines",
			unit:    "µs",
			sizes:   engineSizes,
			target:  2200,
			measure: rebuild,
		},
		{
			name:    "router/resume",
			size:    "lost streams",
			unit:    "µs",
			sizes:   []int{10, 40, 120, 400},
			target:  41,
			measure: resume,
		},
		{
			name:    "cursor/encode",
			size:    "cursors",
			unit:    "µs",
			sizes:   []int{100, 400, 1200, 1917},
			target:  1917,
			measure: encode,
		},
		{
			name:   "router/heap",
			size:   "engines",
			unit:   "bytes",
			sizes:  engineSizes,
			target: 2200,
			once:   true,
			measure: func(_ context.Context, _ *Bench, size int) (float64, error) {
				return heap(func() any { return newEstate(size) }), nil
			},
		},
	}
}

func token(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(100)
	for i := range size {
		e.router.Step(e.now, router.NewArrive(e.ask(i)))
	}
	ids, next := make([]string, size), make([]int, size)
	for i := range ids {
		ids[i] = requestName(i)
	}
	return b.loop(ctx, func(i int) {
		r := i % size
		e.now = e.now.Add(40 * time.Millisecond / time.Duration(size))
		e.router.Step(e.now, router.NewToken(ids[r], 1, next[r], 7, " word"))
		next[r]++
	})
}

func arrive(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(size)
	var failed error
	cost, err := b.loop(ctx, func(i int) {
		q := e.ask(i)
		e.now = e.now.Add(time.Millisecond)
		e.router.Step(e.now, router.NewArrive(q))
		e.router.Step(e.now, router.NewToken(q.ID(), 1, 0, 7, " word"))
		e.router.Step(e.now, router.NewFinish(q.ID(), 1, 1, "stop", 1))
		failed = e.settled(failed)
	})
	return cost, errors.CombineErrors(err, failed)
}

// settled returns err, or an error when the router still has responses: a
// measured sequence must end all of its responses, or later ones cost more.
func (e *estate) settled(err error) error {
	if n := e.router.Live() + e.router.Queued(); err == nil && n > 0 {
		return errors.Newf("%d responses did not end", n)
	}
	return err
}

func loadReport(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(size)
	return b.loop(ctx, func(i int) { e.report(i%size, version) })
}

func members(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(size)
	return b.loop(ctx, func(int) { e.router.Step(e.now, router.NewMembers(e.vms)) })
}

// rebuild alternates the versions of one engine, which makes the pools stale.
func rebuild(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(size)
	return b.loop(ctx, func(i int) {
		e.now = e.now.Add(time.Second)
		e.report(0, []string{"v2", version}[i%2])
	})
}

// resume loses every stream at once, as when the VM's engines in a failure
// domain are lost, and steps the actions of the resumes. The cost includes the
// arrivals.
func resume(ctx context.Context, b *Bench, size int) (float64, error) {
	e := newEstate(2200)
	var failed error
	cost, err := b.loop(ctx, func(i int) {
		e.now = e.now.Add(time.Millisecond)
		for r := range size {
			q := e.ask(i*size + r)
			e.router.Step(e.now, router.NewArrive(q))
			e.router.Step(e.now, router.NewToken(q.ID(), 1, 0, 7, " word"))
		}
		for r := range size {
			e.router.Step(e.now, router.NewLost(requestName(i*size+r), 1, relay.Reset))
		}
		for r := range size {
			e.router.Step(e.now, router.NewLost(requestName(i*size+r), 2, relay.Reset))
		}
		for r := range size {
			e.router.Step(e.now, router.NewGone(requestName(i*size+r)))
		}
		failed = e.settled(failed)
	})
	return cost, errors.CombineErrors(err, failed)
}

// encode signs cursors of the usual length.
func encode(ctx context.Context, b *Bench, size int) (float64, error) {
	c, err := cursor.Parse(entryKey)
	if err != nil {
		return 0, err
	}
	w := c.Writer("01980000-0000-7000-8000-000000000001", "draft", 1, 2)
	var text []byte
	return b.loop(ctx, func(int) {
		for i := range size {
			if text, err = w.Append(text[:0], relay.NewResume(version, "gab-mill-engine-17", "10.1.2.3:8000", 1, i, uint64(i))); err != nil {
				return
			}
		}
	})
}
