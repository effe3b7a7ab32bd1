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

// TestScripts guards against a move over several VMs that does not end in the
// right state on all of them, or that sends too many requests to a bad version:
// while the store is down, after the holder stops, after a write whose answer is
// lost, and after a restart. Commands:
//
//	plan vms=N span=D [fenced]         declares a move of v1 to v2 with a share of 5%
//	run for=D [bad=PERCENT] [down] [cut] [lose]
//	                                   sends 20 requests/s to each VM, of which the new
//	                                   version fails PERCENT; down stops the store, cut
//	                                   disconnects the peers, and lose drops the answer to
//	                                   the next write of a record
//	restore back=D                     restores the store from a copy of that age
//	kill vm=N, restart vm=N            stops an entry VM, or starts a new incarnation
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			vm := 0
			d.MaybeScanArgs(t, "vm", &vm)
			switch d.Cmd {
			case "plan":
				s = newSimulation(t, d)
			case "run":
				return s.run(t, d)
			case "kill":
				s.vms[vm].duty = nil
			case "restart":
				s.start(vm)
			case "restore":
				s.store.Inject(simkv.Restore(span(t, d, "back")))
			}
			return ""
		})
	})
}

// simulation holds the entry VMs, the store and the engines of one script.
type simulation struct {
	now     time.Time
	config  *world.Config
	vms     []*entryVM
	engines []*simEngine
	// clock is now as an offset from epoch, for the store's goroutines.
	clock     atomic.Int64
	store     *simkv.Server
	base      string
	storeDown bool
	loseWrite bool
	// decisions are those since the last command.
	decisions []string
}

type entryVM struct {
	name string
	duty *Duty
	gate *move.Gate
	// served counts the requests that the new version served.
	served int
}

// simEngine has v1 loaded, and v2 from readyAt on unless that is zero.
type simEngine struct {
	vm      *world.VM
	readyAt time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(t *testing.T, d *datadriven.TestData) *simulation {
	s := &simulation{
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
	model := world.NewModelService("draft", "v1", world.NewContract(time.Minute)).WithFencing(d.HasArg("fenced")).WithMove(m)
	s.config = world.NewConfig(1, nil, nil, []*world.Service{model}, nil)
	for i := range 6 {
		vm := world.NewVM(fmt.Sprintf("e%d", i), world.Engine, "", fmt.Sprintf("d%d", i%2), "r").WithService("draft")
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

// start starts a new incarnation of a VM. Its asynchronous operations run
// synchronously.
func (s *simulation) start(i int) {
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
	d.runAsync = func(run func()) { run() }
	s.connectStore(d)
	v.duty = d
	d.configure(context.Background(), s.config)
}

// connectStore connects a VM to the store, which is unavailable while
// s.storeDown.
func (s *simulation) connectStore(d *Duty) {
	d.WithStore(store.New(s.base, 1).WithBudget(1e6, 1e6))
	read, write, hold := d.read, d.write, d.leaseOp
	d.read = func(ctx context.Context, key string) (store.Entry, error) {
		if s.storeDown {
			return store.Entry{}, store.ErrUnavailable
		}
		return read(ctx, key)
	}
	d.write = func(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
		if s.storeDown {
			return 0, store.ErrUnavailable
		}
		if s.loseWrite {
			s.loseWrite = !s.store.Inject(simkv.LoseWriteAnswers(1))
		}
		return write(ctx, key, value, expect)
	}
	d.leaseOp = func(ctx context.Context, l lease.Settings, key, value string, a lease.Action) (lease.Event, bool) {
		if s.storeDown {
			return lease.Failed(a.Op(), lease.Unavailable), true
		}
		return hold(ctx, l, key, value, a)
	}
}

func (s *simulation) order(_ context.Context, vm *world.VM, a order.Action) (order.Reply, error) {
	for _, e := range s.engines {
		if e.vm == vm && a.Op() == order.Load && e.readyAt.IsZero() {
			e.readyAt = s.now.Add(3 * time.Second)
		} else if e.vm == vm && a.Op() == order.Unload {
			e.readyAt = time.Time{}
		}
	}
	return order.Accepted, nil
}

func (e *simEngine) versions(now time.Time) []string {
	if e.readyAt.IsZero() || now.Before(e.readyAt) {
		return []string{"v1"}
	}
	return []string{"v1", "v2"}
}

// run advances the time and returns the decisions made, then the state, stage and
// share of each VM.
func (s *simulation) run(t *testing.T, d *datadriven.TestData) string {
	failurePercent := 0
	d.MaybeScanArgs(t, "bad", &failurePercent)
	s.storeDown, s.loseWrite = d.HasArg("down"), s.loseWrite || d.HasArg("lose")
	for end := s.now.Add(span(t, d, "for")); s.now.Before(end); s.now = s.now.Add(time.Second) {
		s.clock.Store(int64(s.now.Sub(epoch)))
		for _, v := range s.vms {
			if v.duty != nil {
				s.step(v, failurePercent, d.HasArg("cut"))
			}
		}
	}
	served, loaded := 0, 0
	out := s.decisions
	s.decisions = nil
	for _, v := range s.vms {
		served += v.served
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
	return fmt.Sprintf("%s\nv2 served %d requests, loaded on %d engines\n", strings.Join(out, ", "), served, loaded)
}

// step simulates one second of a VM: it delivers the VM list, load reports and
// evidence of peers and sends requests.
func (s *simulation) step(v *entryVM, failurePercent int, peersCut bool) {
	ctx := context.Background()
	var vms []*world.VM
	for _, o := range s.vms {
		if o.duty != nil {
			vms = append(vms, world.NewVM(o.name, world.Entry, "", "", ""))
		}
		if o.duty != nil && o != v && !peersCut {
			v.duty.mergeUpdate(peerUpdate{
				evidence: o.duty.Evidence(64),
				verdicts: o.duty.Verdicts(),
			})
		}
	}
	for _, e := range s.engines {
		vms = append(vms, e.vm)
		v.duty.handleReport(loadReport{
			vm:   e.vm,
			load: fleet.NewLoad("1", 0, 0, 8, e.versions(s.now), false, 0),
			at:   s.now,
		})
	}
	v.duty.setVMs(vms)
	v.duty.handleTimer(ctx, s.now)
	for v.duty.completions.Len() > 0 {
		(<-v.duty.completions.Out())(ctx, s.now)
	}
	for i := range 20 {
		o := outcome{
			service: "draft",
			version: "v1",
			started: s.now,
			first:   time.Millisecond,
		}
		if v.gate.Admit(s.now) {
			v.served++
			o.version = "v2"
			o.errors = max(0, min(failurePercent-(v.served+i)%100, 1))
		}
		v.duty.recordOutcome(o)
	}
}
