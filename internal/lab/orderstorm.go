package lab

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simsvc"
)

// orderSettle is the time after the last answer for calls that still run.
const orderSettle = time.Second

// orderGales lists the kinds of fault that bookings meet. Those of the store hit
// every booking, so that they are drawn less often.
var orderGales = []gale{
	{
		kind:   "entry",
		weight: 4,
		strike: crash,
	},
	{
		kind:   "cut",
		weight: 2,
		strike: cut,
	},
	{
		kind:   "plain",
		weight: 10,
		strike: plainFault,
	},
	{
		kind:   "store",
		weight: 4,
		strike: storeFault,
	},
}

// NewOrderStorm returns a storm of entry VMs, links, plain services and store.
func NewOrderStorm() *Storm {
	return &Storm{
		strikes: make(map[string]int),
		gales:   orderGales,
	}
}

// Orders runs bookings and lookups from the given number of workers under the
// storm for a time, and returns what callers were told beside what ran.
func (t *Storm) Orders(ctx context.Context, seed uint64, workers int, length time.Duration, log zerolog.Logger) (*Audit, error) {
	site := NewSite([]Zone{
		NewZone("gab-mill", "gabrovo", 2, 0).WithPlains(2),
		NewZone("gab-annex", "gabrovo", 2, 0).WithPlains(1),
		NewZone("plv-depot", "plovdiv", 2, 0).WithPlains(1),
	}, log).WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	if err := site.Start(ctx); err != nil {
		return nil, err
	}
	defer site.Close()
	if err := site.Configure(ctx, 1, site.Declaration(time.Minute, 1)); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	booker := NewBooker(site.Entries(), Token(0))
	defer booker.Close()
	orders := NewOrders(booker).WithWorkers(workers)
	struck, stop := context.WithTimeout(ctx, length)
	defer stop()
	orders.Start(struck)
	t.Fault().run(struck, site, rand.New(rand.NewPCG(seed, 0)))
	bookings, lookups, failed := orders.Wait()
	time.Sleep(orderSettle)
	return NewAudit(bookings, site.Ran()).WithLookups(lookups, len(failed)), nil
}

// plainFault makes a plain service fail in one of its ways.
func plainFault(s *Site, rng *rand.Rand) func() {
	modes := []string{
		simsvc.Kill, simsvc.Pause, simsvc.HangBefore, simsvc.HangAfter, simsvc.ResetBefore, simsvc.ResetAfter,
		simsvc.Slow, simsvc.ErrorBefore, simsvc.ErrorAfter, simsvc.Refuse, simsvc.Leaving,
	}
	p := s.plains[rng.IntN(len(s.plains))]
	_ = p.Inject(simsvc.NewFault(modes[rng.IntN(len(modes))], stormLasts).WithFactor(40))
	return nil
}

// storeFault makes the store fail in one of its ways.
func storeFault(s *Site, rng *rand.Rand) func() {
	faults := []simkv.Fault{
		simkv.Outage(stormLasts),
		simkv.Hang(stormLasts),
		simkv.Slow(50*time.Millisecond, stormLasts),
		simkv.Lose(5),
		simkv.Loss(0.2, rng.Uint64()),
	}
	s.store.Inject(faults[rng.IntN(len(faults))])
	return func() { s.store.Inject(simkv.Clear()) }
}
