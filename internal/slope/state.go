package slope

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/peer"
	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// claimSlots and claimRate are the number of slots and the slot writes a
	// second that the whole fleet has; one owner stands for all of them.
	claimSlots = 256
	claimRate  = 200
	// storeDelay is the time that the store takes to answer.
	storeDelay = 5 * time.Millisecond
	// bookingSpan is the simulated time of a run, and bookingStep its step.
	bookingSpan = 20 * time.Second
	bookingStep = time.Millisecond
)

// stateProbes are the counters and records that grow with the fleet.
func stateProbes() []*Probe {
	vms := []int{9, 45, 180, 360}
	return []*Probe{
		{
			name:    "burn/heap",
			size:    "active workspaces",
			unit:    "bytes",
			sizes:   workspaceSizes,
			target:  workspaces,
			once:    true,
			measure: burnHeap,
		},
		{
			name:    "burn/take",
			size:    "active workspaces",
			unit:    "µs",
			sizes:   workspaceSizes,
			target:  workspaces,
			measure: burnTake,
		},
		{
			name:    "evidence/heap",
			size:    "entry VMs",
			unit:    "bytes",
			sizes:   vms,
			target:  nodes,
			once:    true,
			measure: evidenceHeap,
		},
		{
			name:    "evidence/merge",
			size:    "entry VMs",
			unit:    "µs",
			sizes:   vms,
			target:  nodes,
			measure: evidenceMerge,
		},
		{
			name:    "peer/exchange",
			size:    "rows",
			unit:    "bytes",
			sizes:   []int{1, 8, 16, 64},
			target:  8,
			once:    true,
			measure: exchangeBytes,
		},
		{
			name:   "claim/writes",
			size:   "bookings/s",
			unit:   "writes/s",
			sizes:  []int{10, 20, 40, 80},
			target: 80,
			once:   true,
			measure: func(_ context.Context, _ *Bench, size int) (float64, error) {
				return bookings(size)
			},
		},
	}
}

// ledger returns counts of an hour in which each workspace was active in six
// minutes.
func ledger(size int) *burn.Ledger {
	l := burn.NewLedger()
	for minute := range 60 {
		for i := minute % 10; i < size; i += 10 {
			l.Take(epoch.Add(time.Duration(minute)*time.Minute), sampleOf(i))
		}
	}
	return l
}

func sampleOf(i int) *burn.Sample {
	s := burn.NewSample("draft", fmt.Sprintf("workspace-%d", i))
	for range 100 {
		s.Count(burn.Gap, true)
	}
	s.Count(burn.Whole, true)
	return s
}

func burnHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return heap(func() any { return ledger(size) }), nil
}

func burnTake(ctx context.Context, b *Bench, size int) (float64, error) {
	l := ledger(size)
	at := epoch.Add(time.Hour)
	s := sampleOf(0)
	return b.loop(ctx, func(int) { l.Take(at, s) })
}

// row returns the key of one VM's row: a move has rows for two versions in
// each class.
func row(vm, version, minute int) move.Key {
	return move.NewKey(fmt.Sprintf("entry-%d", vm), 1767225600000, "draft", fmt.Sprintf("v%d", version),
		"chat", world.Interactive.String(), epoch.Add(time.Duration(minute)*time.Minute))
}

// evidence returns the rows of 30 minutes of one move: two of each VM and
// minute.
func evidence(size int) *move.Set {
	s := move.NewSet()
	for vm := range size {
		for minute := range 30 {
			for v := range 2 {
				s.Merge(row(vm, v, minute), move.NewCounts(10, 0, 0, 0, 0))
			}
		}
	}
	return s
}

func evidenceHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return heap(func() any { return evidence(size) }), nil
}

func evidenceMerge(ctx context.Context, b *Bench, size int) (float64, error) {
	s := evidence(size)
	return b.loop(ctx, func(i int) { s.Merge(row(i%size, 0, 0), move.NewCounts(uint64(i)+11, 0, 0, 0, 0)) })
}

// exchangeBytes returns the bytes on the connection, in both directions and
// without TCP and IP headers, of an exchange that carries rows each way.
func exchangeBytes(ctx context.Context, _ *Bench, size int) (float64, error) {
	var carried atomic.Int64
	reply := &wire.ExchangeReply{
		Vm:          "entry-0",
		Incarnation: 1767225600000,
		Revision:    123456,
		Evidence:    rows(size),
	}
	s := httptest.NewUnstartedServer(peer.NewServer(
		func(context.Context, *wire.ExchangeRequest) *wire.ExchangeReply { return reply },
		func([]string) []*wire.Part { return nil },
		func(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error) { return nil, errors.New("unused") },
		func() *wire.BurnReply { return nil },
	).Handler())
	s.Listener = &meteredListener{
		Listener: s.Listener,
		carried:  &carried,
	}
	s.Start()
	_, err := peer.NewClient(func(int) {}).Exchange(ctx, s.Listener.Addr().String(), &wire.ExchangeRequest{
		Vm:          reply.GetVm(),
		Incarnation: reply.GetIncarnation(),
		Revision:    reply.GetRevision(),
		Evidence:    reply.GetEvidence(),
	})
	// The server counts its last write only after the client has read it.
	s.Close()
	return float64(carried.Load()), err
}

// rows returns the rows of one minute of several VMs.
func rows(size int) []*wire.Evidence {
	list := make([]*wire.Evidence, size)
	for i := range list {
		k := row(i, 1, 0)
		list[i] = &wire.Evidence{
			Vm:          k.VM(),
			Incarnation: k.Incarnation(),
			Service:     k.Service(),
			Version:     k.Version(),
			Route:       k.Route(),
			Class:       k.Class(),
			Requests:    200,
			Errors:      1,
			Minute:      k.Minute(),
		}
	}
	return list
}

// desk runs the claim core against a store in simulated time.
type desk struct {
	core   *claim.Core
	now    time.Time
	values map[int][]byte
	// revisions holds the revision of each slot's value.
	revisions map[int]uint64
	// answers holds the store's and the upstream's answers by the step at which
	// they arrive.
	answers map[int][]claim.Event
	step    int
	writes  int
}

// bookings returns the store writes a second that a rate of bookings needs.
func bookings(rate int) (float64, error) {
	d := &desk{
		core:      claim.New("entry-0", 1, claimSlots, claimRate),
		now:       epoch,
		values:    make(map[int][]byte),
		revisions: make(map[int]uint64),
		answers:   make(map[int][]claim.Event),
	}
	begun, settled := 0, 0
	steps := int(bookingSpan / bookingStep)
	for d.step = range steps {
		d.now = epoch.Add(time.Duration(d.step) * bookingStep)
		for ; begun < rate*d.step/int(time.Second/bookingStep); begun++ {
			settled += d.feed(claim.Begin(uint64(begun+1), claim.Key("workspace", strconv.Itoa(begun)), claim.Digest{}, d.now.Add(5*time.Second)))
		}
		for _, e := range d.answers[d.step] {
			settled += d.feed(e)
		}
		delete(d.answers, d.step)
		settled += d.feed(claim.Tick())
	}
	if settled < begun*9/10 {
		return 0, errors.Newf("%d of %d bookings are finished", settled, begun)
	}
	return float64(d.writes) / bookingSpan.Seconds(), nil
}

// feed steps an event, schedules what follows and returns the bookings that
// finished.
func (d *desk) feed(e claim.Event) int {
	finished := 0
	for _, a := range d.core.Step(d.now, e) {
		switch a.Kind() {
		case claim.Read:
			d.later(storeDelay, claim.ReadDone(a.Slot(), claim.OK, d.revisions[a.Slot()], d.values[a.Slot()]))
		case claim.Write:
			d.writes++
			d.values[a.Slot()] = slices.Clone(a.Value())
			d.revisions[a.Slot()]++
			d.later(storeDelay, claim.WriteDone(a.Slot(), claim.OK, d.revisions[a.Slot()]))
		case claim.Send:
			d.later(30*time.Millisecond, claim.Ended(a.Number(), errs.Ran, claim.NewAnswer(200, "application/json", []byte(`{"booked":true}`)), nil))
		case claim.Finish:
			finished++
		}
	}
	return finished
}

func (d *desk) later(after time.Duration, e claim.Event) {
	at := d.step + int(after/bookingStep)
	d.answers[at] = append(d.answers[at], e)
}

// Probes returns all probes in the order of the table.
func Probes() []*Probe {
	return slices.Concat(routerProbes(), configProbes(), stateProbes(), wholeProbes())
}
