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

func newTestPool(n, slots int) *Pool {
	es := make([]*fleet.Engine, n)
	for i := range es {
		es[i] = fleet.NewEngine(world.NewVM(fmt.Sprintf("e%d", i), world.Engine, "", "", ""))
		es[i].ApplyLoad(now, fleet.NewLoad("a", 0, 0, slots, []string{"v1"}, false, 0))
	}
	return NewPool(es)
}

// TestEvenSpread guards against several VMs choosing the same idle engines before
// their load reports show the new work: no engine may get more than twice its
// even share.
func TestEvenSpread(t *testing.T) {
	const vms, engines, requests = 9, 36, 8
	counts := make(map[string]int)
	for vm := range vms {
		p := newTestPool(engines, 16)
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

// TestLocality guards the reuse of cached prefixes: requests with the same prefix
// go to at most two engines while those accept work.
func TestLocality(t *testing.T) {
	p := newTestPool(36, 16)
	rng := rand.New(rand.NewPCG(1, 1))
	used := make(map[string]bool)
	for range 100 {
		used[p.Pick(now, rng, 42, false, nil).Name()] = true
	}
	if len(used) > ringCandidates {
		t.Errorf("one prefix went to %d engines, want at most %d", len(used), ringCandidates)
	}
}

// TestUnavailable guards against choosing engines that are full, suspect or
// avoided.
func TestUnavailable(t *testing.T) {
	p := newTestPool(4, 2)
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

// BenchmarkPick measures one choice for different fleet sizes.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := newTestPool(n, 16)
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Pick(now, rng, uint64(i)*0x9e3779b97f4a7c15, false, nil)
			}
		})
	}
}

// BenchmarkPickFull measures a choice when every engine is full, so that the scan
// finds none.
func BenchmarkPickFull(b *testing.B) {
	for _, n := range []int{35, 170, 730, 2200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			p := newTestPool(n, 1)
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
