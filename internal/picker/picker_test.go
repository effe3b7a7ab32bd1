package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/world"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func pool(n, slots int) *Pool {
	es := make([]*fleet.Engine, n)
	for i := range es {
		es[i] = fleet.NewEngine(world.NewVM(fmt.Sprintf("e%d", i), world.Engine, "", "", ""))
		es[i].ApplyLoad(now, fleet.NewLoad("a", 0, 0, slots, []string{"v1"}, false, 0))
	}
	return NewPool(es)
}

// TestHerd guards against nine VMs choosing the same idle engines while their
// load reports lag: no engine may get more than twice its even share.
func TestHerd(t *testing.T) {
	const vms, engines, requests = 9, 36, 8
	counts := make(map[string]int)
	for vm := range vms {
		p := pool(engines, 16)
		rng := rand.New(rand.NewPCG(uint64(vm), 1))
		for range requests * engines / vms {
			e := p.Pick(now, rng, rng.Uint64(), false, nil)
			e.BeginAttempt(false)
			counts[e.Name()]++
		}
	}
	for name, n := range counts {
		if n > 2*requests {
			t.Errorf("%s got %d requests, even share is %d", name, n, requests)
		}
	}
}

// TestLocality guards the reuse of cached prefixes: equal prefixes go to at
// most two engines while those have room.
func TestLocality(t *testing.T) {
	p := pool(36, 16)
	rng := rand.New(rand.NewPCG(1, 1))
	used := make(map[string]bool)
	for range 100 {
		used[p.Pick(now, rng, 42, false, nil).Name()] = true
	}
	if len(used) > near {
		t.Errorf("one prefix went to %d engines, want at most %d", len(used), near)
	}
}

// TestFull guards against work on engines that are full, suspect or avoided.
func TestFull(t *testing.T) {
	p := pool(4, 2)
	rng := rand.New(rand.NewPCG(1, 1))
	free := p.Engines()[2]
	for _, e := range p.Engines() {
		for range 3 {
			if e != free {
				e.BeginAttempt(false)
			}
		}
	}
	if e := p.Pick(now, rng, 7, false, nil); e != free {
		t.Errorf("picked %v, want the only engine with room", e)
	}
	if e := p.Pick(now, rng, 7, false, []*fleet.Engine{free}); e != nil {
		t.Errorf("picked %s although all are full or avoided", e.Name())
	}
	free.MarkSuspect(now)
	if e := p.Pick(now, rng, 7, false, nil); e != nil {
		t.Errorf("picked the suspect engine %s", e.Name())
	}
}

// BenchmarkPick measures one choice at today's and at full size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := pool(n, 16)
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Pick(now, rng, uint64(i)*0x9e3779b97f4a7c15, false, nil)
			}
		})
	}
}

// BenchmarkPickFull measures a choice that looks at every engine.
func BenchmarkPickFull(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := pool(n, 1)
			for _, e := range p.Engines() {
				e.BeginAttempt(false)
				e.BeginAttempt(false)
			}
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Pick(now, rng, uint64(i)*0x9e3779b97f4a7c15, false, nil)
			}
		})
	}
}
