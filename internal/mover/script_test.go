package mover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/lease"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/world"
)

// TestScripts guards a move over several VMs: done when good, rolled back when
// bad with few requests, on time without the store, after the death of the
// holder, a lost write answer and a restart. Commands:
//
//	plan vms=N span=D [fenced]         declares a move of v1 to v2 with a share of 5%
//	run for=D [bad=PERCENT] [down] [cut] [lose]
//	                                   20 requests/s on each VM; down is the store, cut the
//	                                   peers, lose the answer to the next write of a record
//	kill vm=N, restart vm=N            ends an entry VM, or puts a new one in its place
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *site
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			vm := 0
			d.MaybeScanArgs(t, "vm", &vm)
			switch d.Cmd {
			case "plan":
				s = newSite(t, d)
			case "run":
				return s.run(t, d)
			case "kill":
				s.vms[vm].duty = nil
			case "restart":
				s.start(vm)
			}
			return ""
		})
	})
}

// site holds the VMs, the store and the engines.
type site struct {
	now     time.Time
	config  *world.Map
	vms     []*entryVM
	engines []*simEngine
	// clock holds now for the store.
	clock atomic.Int64
	store *simkv.Server
	base  string
	down  bool
	lose  bool
	// decisions are those since the last command.
	decisions []string
}

type entryVM struct {
	name string
	duty *Duty
	gate *move.Gate
	// met counts the requests that the new version served.
	met int
}

// simEngine has v1, and v2 from the time that an order gave it on.
type simEngine struct {
	vm    *world.VM
	ready time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSite(t *testing.T, d *datadriven.TestData) *site {
	s := &site{
		now: epoch,
	}
	s.store = simkv.New().WithRates(1e6, 1e6).WithNow(func() time.Time { return epoch.Add(time.Duration(s.clock.Load())) })
	base, stop, err := s.store.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })
	s.base = base
	n := 0
	d.ScanArgs(t, "vms", &n)
	m := world.NewMove("m", "v1", "v2", epoch.Add(30*time.Second), epoch.Add(30*time.Second+span(t, d, "span")), 0.05)
	model := world.NewModel("draft", "v1", world.NewContract(time.Minute)).WithFencing(d.HasArg("fenced")).WithMove(m)
	s.config = world.NewMap(1, nil, nil, []*world.Service{model}, nil)
	for i := range 6 {
		vm := world.NewVM(fmt.Sprintf("e%d", i), world.Engine, "", fmt.Sprintf("d%d", i%2), "r").Serving("draft")
		s.engines = append(s.engines, &simEngine{vm: vm})
	}
	for i := range n {
		s.vms = append(s.vms, &entryVM{name: fmt.Sprintf("vm%d", i)})
		s.start(i)
	}
	return s
}

func span(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// start begins a new incarnation of a VM. Its operations end at once.
func (s *site) start(i int) {
	v := s.vms[i]
	v.gate = move.NewGate(uint64(i + 1))
	d := New(v.name, uint64(s.now.Unix()), zerolog.Nop()).WithOrders(s.order, time.Second).
		WithLimit(func(_ context.Context, _, _ string, l move.Limits, banned bool) {
			if banned {
				l = move.Limits{}
			}
			v.gate.Set(l)
		}).
		WithCount(func(decision string) {
			if slices.Contains([]string{"held", "lost", "write", "bad", "told"}, decision) {
				s.decisions = append(s.decisions, fmt.Sprintf("%s %s %s", s.now.Sub(epoch), v.name, decision))
			}
		})
	d.now = func() time.Time { return s.now }
	d.begin = func(run func()) { run() }
	s.connect(d)
	v.duty = d
	d.configure(context.Background(), s.config)
}

// connect joins a VM to the store, which is away while s.down.
func (s *site) connect(d *Duty) {
	d.WithStore(store.New(s.base, 1).WithBudget(1e6, 1e6))
	read, write, hold := d.read, d.write, d.hold
	d.read = func(ctx context.Context, key string) (store.Entry, error) {
		if s.down {
			return store.Entry{}, store.ErrUnavailable
		}
		return read(ctx, key)
	}
	d.write = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		if s.down {
			return 0, store.ErrUnavailable
		}
		if s.lose {
			s.lose = !s.store.Inject(simkv.Lose(1))
		}
		return write(ctx, key, value, expect)
	}
	d.hold = func(ctx context.Context, l lease.Settings, key, value string, a lease.Action) (lease.Event, bool) {
		if s.down {
			return lease.Failed(a.Op(), lease.Unavailable), true
		}
		return hold(ctx, l, key, value, a)
	}
}

func (s *site) order(_ context.Context, vm *world.VM, a order.Action) (order.Reply, error) {
	for _, e := range s.engines {
		if e.vm == vm && a.Op() == order.Load && e.ready.IsZero() {
			e.ready = s.now.Add(3 * time.Second)
		} else if e.vm == vm && a.Op() == order.Unload {
			e.ready = time.Time{}
		}
	}
	return order.Taken, nil
}

func (e *simEngine) versions(now time.Time) []string {
	if e.ready.IsZero() || now.Before(e.ready) {
		return []string{"v1"}
	}
	return []string{"v1", "v2"}
}

// run lets time pass and prints decisions, then each VM's record, stage and
// share.
func (s *site) run(t *testing.T, d *datadriven.TestData) string {
	bad := 0
	d.MaybeScanArgs(t, "bad", &bad)
	s.down, s.lose = d.HasArg("down"), s.lose || d.HasArg("lose")
	for end := s.now.Add(span(t, d, "for")); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.clock.Store(int64(s.now.Sub(epoch)))
		for _, v := range s.vms {
			if v.duty != nil {
				s.second(v, bad, d.HasArg("cut"))
			}
		}
	}
	met, loaded := 0, 0
	out := s.decisions
	s.decisions = nil
	for _, v := range s.vms {
		met += v.met
		if v.duty != nil {
			r := v.duty.Status()[0]
			out = append(out, fmt.Sprintf("%s %s %d %.2f", v.name, r.Record().State(), r.Record().Stage(), r.Share()))
		}
	}
	for _, e := range s.engines {
		if slices.Contains(e.versions(s.now), "v2") {
			loaded++
		}
	}
	return fmt.Sprintf("%s\nv2 met %d requests, is on %d engines\n", strings.Join(out, ", "), met, loaded)
}

// second is what one VM does in a second: lists, reports, peers and requests.
func (s *site) second(v *entryVM, bad int, cut bool) {
	ctx := context.Background()
	var vms []*world.VM
	for _, o := range s.vms {
		if o.duty != nil {
			vms = append(vms, world.NewVM(o.name, world.Entry, "", "", ""))
		}
		if o.duty != nil && o != v && !cut {
			v.duty.hear(news{
				evidence: o.duty.Evidence(64),
				verdicts: o.duty.Verdicts(),
			})
		}
	}
	for _, e := range s.engines {
		vms = append(vms, e.vm)
		v.duty.load(report{
			vm:   e.vm,
			load: fleet.NewLoad("1", 0, 0, 8, e.versions(s.now), false, 0),
			at:   s.now,
		})
	}
	v.duty.list(vms)
	v.duty.wake(ctx, s.now)
	for v.duty.answers.Len() > 0 {
		(<-v.duty.answers.Out())(ctx, s.now)
	}
	for i := range 20 {
		o := outcome{
			service: "draft",
			version: "v1",
			started: s.now,
			first:   time.Millisecond,
		}
		if v.gate.Admit(s.now) {
			v.met++
			o.version = "v2"
			o.errors = max(0, min(bad-(v.met+i)%100, 1))
		}
		v.duty.judge(o)
	}
}
