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
	// claimSlots is the number of slots of the whole fleet, and claimRate its slot
	// writes a second. The simulation has a single owner of all slots.
	claimSlots = 256
	claimRate  = 200
	// storeDelay is the response time of the store.
	storeDelay = 5 * time.Millisecond
	// bookingDuration is the simulated time of a run, and bookingStep its step.
	bookingDuration = 20 * time.Second
	bookingStep     = time.Millisecond
)

// stateProbes returns the probes of counters and records that grow with the
// fleet.
func stateProbes() []*Probe {
	vms := []int{9, 45, 180, 360}
	return []*Probe{
		{
			name:      "burn/heap",
			dimension: "active workspaces",
			unit:      "bytes",
			sizes:     workspaceSizes,
			target:    targetWorkspaces,
			once:      true,
			measure:   burnHeap,
		},
		{
			name:      "burn/take",
			dimension: "active workspaces",
			unit:      "µs",
			sizes:     workspaceSizes,
			target:    targetWorkspaces,
			measure:   burnTakeCost,
		},
		{
			name:      "evidence/heap",
			dimension: "entry VMs",
			unit:      "bytes",
			sizes:     vms,
			target:    targetEntryVMs,
			once:      true,
			measure:   evidenceHeap,
		},
		{
			name:      "evidence/merge",
			dimension: "entry VMs",
			unit:      "µs",
			sizes:     vms,
			target:    targetEntryVMs,
			measure:   evidenceMergeCost,
		},
		{
			name:      "peer/exchange",
			dimension: "rows",
			unit:      "bytes",
			sizes:     []int{1, 8, 16, 64},
			target:    8,
			once:      true,
			measure:   exchangeBytes,
		},
		{
			name:      "claim/writes",
			dimension: "bookings/s",
			unit:      "writes/s",
			sizes:     []int{10, 20, 40, 80},
			target:    80,
			once:      true,
			measure: func(_ context.Context, _ *Bench, size int) (float64, error) {
				return bookingWrites(size)
			},
		},
	}
}

// filledLedger returns the counts of an hour in which each of size workspaces
// was active in six minutes.
func filledLedger(size int) *burn.Ledger {
	l := burn.NewLedger()
	for minute := range 60 {
		for i := minute % 10; i < size; i += 10 {
			l.Record(epoch.Add(time.Duration(minute)*time.Minute), newBurnSample(i))
		}
	}
	return l
}

// newBurnSample returns a sample of a whole response of the i-th workspace with
// 100 gaps, all within their objective.
func newBurnSample(i int) *burn.Sample {
	s := burn.NewSample("draft", fmt.Sprintf("workspace-%d", i))
	for range 100 {
		s.Count(burn.TokenGap, true)
	}
	s.Count(burn.Complete, true)
	return s
}

// burnHeap returns the heap size of the counts of an hour.
func burnHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return retainedHeap(func() any { return filledLedger(size) }), nil
}

// burnTakeCost returns the CPU time of counting one request.
func burnTakeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	l := filledLedger(size)
	at := epoch.Add(time.Hour)
	s := newBurnSample(0)
	return b.cpuPerCall(ctx, func(int) { l.Record(at, s) })
}

// evidenceKey returns the key of the row of one VM, version and minute. A move
// has rows for two versions in each class.
func evidenceKey(vm, version, minute int) move.Key {
	return move.NewKey(fmt.Sprintf("entry-%d", vm), 1767225600000, "draft", fmt.Sprintf("v%d", version),
		"chat", world.Interactive.String(), epoch.Add(time.Duration(minute)*time.Minute))
}

// evidenceSet returns the rows of 30 minutes of one move, two for each VM and
// minute.
func evidenceSet(size int) *move.EvidenceSet {
	s := move.NewEvidenceSet()
	for vm := range size {
		for minute := range 30 {
			for v := range 2 {
				s.Merge(evidenceKey(vm, v, minute), move.NewCounts(10, 0, 0, 0, 0))
			}
		}
	}
	return s
}

// evidenceHeap returns the heap size of the evidence of one move.
func evidenceHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return retainedHeap(func() any { return evidenceSet(size) }), nil
}

// evidenceMergeCost returns the CPU time of merging one row.
func evidenceMergeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	s := evidenceSet(size)
	return b.cpuPerCall(ctx, func(i int) { s.Merge(evidenceKey(i%size, 0, 0), move.NewCounts(uint64(i)+11, 0, 0, 0, 0)) })
}

// exchangeBytes returns the number of bytes that one exchange between peers
// transfers in both directions, without TCP and IP headers. The request and the
// reply carry size rows of evidence each.
func exchangeBytes(ctx context.Context, _ *Bench, size int) (float64, error) {
	var transferred atomic.Int64
	reply := &wire.ExchangeReply{
		Vm:          "entry-0",
		Incarnation: 1767225600000,
		Revision:    123456,
		Evidence:    evidenceRows(size),
	}
	s := httptest.NewUnstartedServer(peer.NewServer(
		func(context.Context, *wire.ExchangeRequest) *wire.ExchangeReply { return reply },
		func([]string) []*wire.Part { return nil },
		func(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error) { return nil, errors.New("unused") },
		func() *wire.BurnReply { return nil },
	).Handler())
	s.Listener = &meteredListener{
		Listener:    s.Listener,
		transferred: &transferred,
	}
	s.Start()
	_, err := peer.NewClient(func(int) {}).Exchange(ctx, s.Listener.Addr().String(), &wire.ExchangeRequest{
		Vm:          reply.GetVm(),
		Incarnation: reply.GetIncarnation(),
		Revision:    reply.GetRevision(),
		Evidence:    reply.GetEvidence(),
	})
	// The server may count its last write only after the client has read it. Close
	// waits for the server.
	s.Close()
	return float64(transferred.Load()), err
}

// evidenceRows returns one row of each of size VMs for the same minute.
func evidenceRows(size int) []*wire.Evidence {
	list := make([]*wire.Evidence, size)
	for i := range list {
		k := evidenceKey(i, 1, 0)
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

// claimSim runs a claim core against a store and an upstream in simulated time.
type claimSim struct {
	core *claim.Core
	now  time.Time
	// values and revisions hold the stored value of each slot and its revision.
	values    map[int][]byte
	revisions map[int]uint64
	// answers holds the replies of the store and the upstream by the tick at which
	// they arrive.
	answers map[int][]claim.Event
	// tick is the number of the current step of simulated time.
	tick int
	// writes counts the writes to the store.
	writes int
}

// bookingWrites returns the store writes a second that a number of bookings a
// second causes. It returns an error unless nine tenths of the bookings finish.
func bookingWrites(rate int) (float64, error) {
	s := &claimSim{
		core:      claim.New("entry-0", 1, claimSlots, claimRate),
		now:       epoch,
		values:    make(map[int][]byte),
		revisions: make(map[int]uint64),
		answers:   make(map[int][]claim.Event),
	}
	started, finished := 0, 0
	steps := int(bookingDuration / bookingStep)
	for s.tick = range steps {
		s.now = epoch.Add(time.Duration(s.tick) * bookingStep)
		for ; started < rate*s.tick/int(time.Second/bookingStep); started++ {
			finished += s.step(claim.Begin(uint64(started+1), claim.Key("workspace", strconv.Itoa(started)), claim.Digest{}, s.now.Add(5*time.Second)))
		}
		for _, e := range s.answers[s.tick] {
			finished += s.step(e)
		}
		delete(s.answers, s.tick)
		finished += s.step(claim.Tick())
	}
	if finished < started*9/10 {
		return 0, errors.Newf("%d of %d bookings are finished", finished, started)
	}
	return float64(s.writes) / bookingDuration.Seconds(), nil
}

// step passes an event to the core, carries out the resulting actions and
// returns the number of bookings that finished.
func (s *claimSim) step(e claim.Event) int {
	finished := 0
	for _, a := range s.core.Step(s.now, e) {
		switch a.Kind() {
		case claim.Read:
			s.schedule(storeDelay, claim.ReadDone(a.Slot(), claim.OK, s.revisions[a.Slot()], s.values[a.Slot()]))
		case claim.Write:
			s.writes++
			s.values[a.Slot()] = slices.Clone(a.Value())
			s.revisions[a.Slot()]++
			s.schedule(storeDelay, claim.WriteDone(a.Slot(), claim.OK, s.revisions[a.Slot()]))
		case claim.Send:
			s.schedule(30*time.Millisecond, claim.Ended(a.Number(), errs.Ran, claim.NewAnswer(200, "application/json", []byte(`{"booked":true}`)), nil))
		case claim.Finish:
			finished++
		}
	}
	return finished
}

// schedule lets an event arrive after the delay.
func (s *claimSim) schedule(delay time.Duration, e claim.Event) {
	at := s.tick + int(delay/bookingStep)
	s.answers[at] = append(s.answers[at], e)
}

// Probes returns all probes in the order in which a table lists them.
func Probes() []*Probe {
	return slices.Concat(routerProbes(), configProbes(), stateProbes(), entryProbes())
}
