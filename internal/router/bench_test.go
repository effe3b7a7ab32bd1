package router

import (
	"fmt"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// newBenchRouter returns a router that knows n live engines and 360 entry VMs.
func newBenchRouter(n int) *Router {
	rt := New("r0", 1, nil)
	m := world.NewModelService("draft", "v1", world.NewContract(time.Hour))
	rt.Step(epoch, NewConfig(world.NewConfig(1, nil, nil, []*world.Service{m}, nil)))
	var vms []*world.VM
	for i := range 360 {
		vms = append(vms, world.NewVM(fmt.Sprintf("v%d", i), world.Entry, "", "d0", "r0"))
	}
	for i := range n {
		vms = append(vms, world.NewVM(fmt.Sprintf("e%d", i), world.Engine, fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), "d0", "r0").WithService("draft"))
	}
	rt.Step(epoch, NewMembers(vms))
	for i := range n {
		rt.engines.recordLoad(epoch, fmt.Sprintf("e%d", i), fleet.NewLoad("a", 0, 0, 1<<20, []string{"v1"}, false, 0))
	}
	rt.engines.rebuild(epoch)
	return rt
}

func newRequest(i int) *relay.Request {
	return relay.NewRequest(fmt.Sprintf("r%d", i), "draft", "w", world.Interactive, epoch.Add(time.Hour)).
		WithPrompt("p", uint64(i)*0x9e3779b97f4a7c15).
		WithSampling(1<<20, 1, relay.NewSampling(-1, -1, nil))
}

// BenchmarkToken measures the handling of one token for different numbers of
// live responses.
func BenchmarkToken(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("responses=%d", n), func(b *testing.B) {
			rt := newBenchRouter(100)
			for i := range n {
				rt.Step(epoch, NewArrive(newRequest(i)))
			}
			now, next := epoch, make([]int, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := i % n
				now = now.Add(40 * time.Millisecond / time.Duration(n))
				rt.Step(now, NewToken(fmt.Sprintf("r%d", r), 1, next[r], 7, " word"))
				next[r]++
			}
		})
	}
}

// BenchmarkArrive measures the admission of one request and the choice of its
// engine for different fleet sizes.
func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			rt := newBenchRouter(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := newRequest(i)
				rt.Step(epoch, NewArrive(q))
				rt.Step(epoch, NewToken(q.ID(), 1, 0, 7, " word"))
				rt.Step(epoch, NewFinish(q.ID(), 1, 1, "stop", 1))
			}
		})
	}
}

// BenchmarkReport measures the handling of one load report for different fleet
// sizes.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			rt := newBenchRouter(n)
			l := fleet.NewLoad("a", 1, 0, 1<<20, []string{"v1"}, false, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				rt.Step(epoch, NewLoad(fmt.Sprintf("e%d", i%n), l))
			}
		})
	}
}

// BenchmarkMembers measures the handling of one VM list, including the rebuild
// of the pools, for different fleet sizes.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			rt := newBenchRouter(n)
			var vms []*world.VM
			for _, e := range rt.Engines() {
				vms = append(vms, e.VM())
			}
			b.ReportAllocs()
			for b.Loop() {
				rt.Step(epoch, NewMembers(vms))
			}
		})
	}
}
