package mover

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/lease"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/order"
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
//	kill vm=N, restart vm=N            ends or starts an entry VM
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

// site holds the VMs and stands in for the store and the engines.
type site struct {
	now     time.Time
	config  *world.Map
	vms     []*entryVM
	engines []*simEngine
	// entries, leases and fence stand in for the store.
	entries map[string]store.Entry
	leases  map[string]time.Time
	fence   uint64
	down    bool
	lose    bool
}

type entryVM struct {
	name string
	duty *Duty
	gate *move.Gate
	// met counts the requests that the new version served.
	met       int
	decisions []string
}

// simEngine has v1, and v2 from the time that an order gave it on.
type simEngine struct {
	vm    *world.VM
	ready time.Time
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSite(t *testing.T, d *datadriven.TestData) *site {
	s := &site{
		now:     epoch,
		entries: make(map[string]store.Entry),
		leases:  make(map[string]time.Time),
	}
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
			if decision != "record" && decision != "order" {
				v.decisions = append(v.decisions, fmt.Sprintf("%s %s %s\n", s.now.Sub(epoch), v.name, decision))
			}
		})
	d.now = func() time.Time { return s.now }
	d.begin = func(run func()) { run() }
	d.read = func(_ context.Context, key string) (store.Entry, error) { return s.get(key) }
	d.write = s.put
	d.hold = s.hold
	v.duty = d
	d.configure(context.Background(), s.config)
}

func (s *site) get(key string) (store.Entry, error) {
	if s.down {
		return store.Entry{}, store.ErrUnavailable
	}
	e := s.entries[key]
	if e.Lease() != "" && !s.now.Before(s.leases[e.Lease()]) {
		return store.Entry{}, nil
	}
	return e, nil
}

func (s *site) put(_ context.Context, key string, value []byte, expect uint64) (uint64, error) {
	revision, err := s.bind(key, value, expect, "")
	if err == nil && s.lose {
		s.lose = false
		return 0, store.ErrUnknown
	}
	return revision, err
}

func (s *site) bind(key string, value []byte, expect uint64, lease string) (uint64, error) {
	e, err := s.get(key)
	if err != nil {
		return 0, err
	}
	if e.Revision() != expect {
		return 0, store.ErrConflict
	}
	s.fence++
	s.entries[key] = store.NewEntry(key, value, s.fence, lease)
	return s.fence, nil
}

func (s *site) hold(_ context.Context, settings lease.Settings, key, value string, a lease.Action) (lease.Event, bool) {
	if s.down {
		return lease.Failed(a.Op(), lease.Unavailable), true
	}
	switch a.Kind() {
	case lease.Grant:
		s.fence++
		id := fmt.Sprint(s.fence)
		s.leases[id] = s.now.Add(settings.TTL())
		return lease.Granted(a.Op(), id), true
	case lease.Store:
		revision, err := s.bind(key, []byte(value), 0, a.Lease())
		if err != nil {
			return lease.Failed(a.Op(), lease.Conflict), true
		}
		return lease.Stored(a.Op(), revision), true
	case lease.Read:
		e, _ := s.get(key)
		return lease.Found(a.Op(), e.Lease(), e.Revision()), true
	case lease.Renew:
		if !s.now.Before(s.leases[a.Lease()]) {
			return lease.Failed(a.Op(), lease.Expired), true
		}
		s.leases[a.Lease()] = s.now.Add(settings.TTL())
	case lease.Revoke:
		delete(s.leases, a.Lease())
	}
	return lease.Done(a.Op()), true
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

// run lets time pass and prints decisions, then the state.
func (s *site) run(t *testing.T, d *datadriven.TestData) string {
	bad := 0
	d.MaybeScanArgs(t, "bad", &bad)
	s.down, s.lose = d.HasArg("down"), s.lose || d.HasArg("lose")
	for end := s.now.Add(span(t, d, "for")); s.now.Before(end); s.now = s.now.Add(time.Second) {
		for _, v := range s.vms {
			if v.duty != nil {
				s.second(v, bad, d.HasArg("cut"))
			}
		}
	}
	var b strings.Builder
	met, loaded := 0, 0
	for _, v := range s.vms {
		b.WriteString(strings.Join(v.decisions, ""))
		v.decisions = nil
		met += v.met
		if v.duty != nil {
			r := v.duty.Status()[0]
			fmt.Fprintf(&b, "%s: %s stage %d share %.2f\n", v.name, r.Record().State(), r.Record().Stage(), r.Share())
		}
	}
	for _, e := range s.engines {
		if slices.Contains(e.versions(s.now), "v2") {
			loaded++
		}
	}
	fmt.Fprintf(&b, "v2 met %d requests, is on %d engines\n", met, loaded)
	return b.String()
}

// second is what one VM does in a second: lists, reports, peers and requests.
func (s *site) second(v *entryVM, bad int, cut bool) {
	ctx := context.Background()
	var vms []*world.VM
	for _, o := range s.vms {
		if o.duty == nil {
			continue
		}
		vms = append(vms, world.NewVM(o.name, world.Entry, "", "", ""))
		if o != v && !cut {
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
			class:   "batch",
			started: s.now,
			first:   time.Millisecond,
		}
		if v.gate.Admit(s.now) {
			v.met++
			o.version = "v2"
			if (v.met+i)%100 < bad {
				o.errors = 1
			}
		}
		v.duty.judge(o)
	}
}
