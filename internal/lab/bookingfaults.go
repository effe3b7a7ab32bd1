package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simsvc"
)

// bookingDrainTime is the time after the last response that calls still running
// on a plain service are given to finish.
const bookingDrainTime = time.Second

// bookingFaults lists the kinds of fault for bookings. Faults of the store have
// a lower weight because they affect every booking.
var bookingFaults = []weightedFault{
	{
		kind:   "entry",
		weight: 4,
		inject: crashEntry,
	},
	{
		kind:   "cut",
		weight: 2,
		inject: cutLink,
	},
	{
		kind:   "plain",
		weight: 10,
		inject: plainServiceFault,
	},
	{
		kind:   "store",
		weight: 4,
		inject: storeFault,
	},
}

// NewBookingFaults returns random faults of entry VMs, links, plain services
// and the store.
func NewBookingFaults() *RandomFaults {
	return &RandomFaults{
		counts: make(map[string]int),
		kinds:  bookingFaults,
	}
}

// RunBookings sends bookings and lookups from the given number of workers under
// the random faults for the duration. It returns a comparison of the stated
// outcomes with the calls that ran.
func (f *RandomFaults) RunBookings(ctx context.Context, seed uint64, workers int, duration time.Duration, log zerolog.Logger) (*Audit, error) {
	site := NewSite([]Zone{
		NewZone("gab-mill", "gabrovo", 2, 0).WithPlainServices(2),
		NewZone("gab-annex", "gabrovo", 2, 0).WithPlainServices(1),
		NewZone("plv-depot", "plovdiv", 2, 0).WithPlainServices(1),
	}, log).WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Configure(ctx, 1, site.Declaration(time.Minute, 1)); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	client := NewBookingClient(site.EntryAddrs(), Token(0))
	defer client.Close()
	load := NewBookingLoad(client).WithWorkers(workers)
	faultCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	load.Start(faultCtx)
	f.Fault().run(faultCtx, site, rand.New(rand.NewPCG(seed, 0)))
	bookings, lookups, failed := load.Wait()
	time.Sleep(bookingDrainTime)
	return NewAudit(bookings, site.RunCounts()).WithLookups(lookups, len(failed)), nil
}

// plainServiceFault injects a random fault into a random plain service.
func plainServiceFault(s *Site, rng *rand.Rand) func() {
	modes := []string{
		simsvc.Kill, simsvc.Pause, simsvc.HangBefore, simsvc.HangAfter, simsvc.ResetBefore, simsvc.ResetAfter,
		simsvc.Slow, simsvc.ErrorBefore, simsvc.ErrorAfter, simsvc.Refuse, simsvc.Leaving,
	}
	p := s.plainServices[rng.IntN(len(s.plainServices))]
	_ = p.Inject(simsvc.NewFault(modes[rng.IntN(len(modes))], randomFaultDuration).WithFactor(40))
	return nil
}

// storeFault injects a random fault into the store.
func storeFault(s *Site, rng *rand.Rand) func() {
	faults := []simkv.Fault{
		simkv.Outage(randomFaultDuration),
		simkv.Hang(randomFaultDuration),
		simkv.Slow(50*time.Millisecond, randomFaultDuration),
		simkv.LoseWriteAnswers(5),
		simkv.CutConnections(0.2, rng.Uint64()),
	}
	s.store.Inject(faults[rng.IntN(len(faults))])
	return func() { s.store.Inject(simkv.ClearFaults()) }
}
