package move

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits bound the traffic of the new version on one VM. The zero value admits
// nothing.
type Limits struct {
	share float64
	count float64
	done  bool
	start time.Time
	end   time.Time
}

// NewLimits returns limits by share and by count that admit nothing before start
// or from end on. A count of math.Inf(1) means no limit by count.
func NewLimits(share, count float64, start, end time.Time) Limits {
	return Limits{
		share: share,
		count: count,
		start: start,
		end:   end,
	}
}

// WithDone returns a copy of l for a move that is done: the new version serves
// all requests, also after the end.
func (l Limits) WithDone() Limits {
	l.share = 1
	l.count = math.Inf(1)
	l.done = true
	return l
}

// Share returns the share of requests for the new version, from 0 to 1.
func (l Limits) Share() float64 { return l.share }

// Count returns how many requests of this VM may go to the new version in all,
// or +Inf once the version is proven.
func (l Limits) Count() float64 { return l.count }

// Done reports whether the new version serves requests regardless of start and
// end.
func (l Limits) Done() bool { return l.done }

// Gate decides for each request of a VM whether the new version serves it. It
// needs no coordination with other VMs and enforces the deadline itself when no
// newer limits arrive. It is owned by one goroutine.
type Gate struct {
	limits Limits
	// credit grows by the share with each request; admitting one costs 1.
	credit float64
	// roundUp is a random offset, from 0 to 1, added to the limit by count before
	// it is rounded down. It is drawn once per incarnation, so that VMs whose
	// limits are below 1 admit the allowed total on average.
	roundUp  float64
	admitted uint64
}

// NewGate returns a gate that admits nothing until Set is called. The seed must
// be unique to the VM incarnation.
func NewGate(seed uint64) *Gate {
	r := rand.New(rand.NewPCG(seed, 0x6d6f7665))
	return &Gate{
		credit:  r.Float64(),
		roundUp: r.Float64(),
	}
}

// Set replaces the limits. The number of admitted requests is kept.
func (g *Gate) Set(l Limits) { g.limits = l }

// Admitted returns the number of requests admitted since the gate was created.
func (g *Gate) Admitted() uint64 { return g.admitted }

// Admit reports whether the new version serves the next request, and counts it.
func (g *Gate) Admit(now time.Time) bool { return g.AdmitIf(now, true) }

// AdmitIf is like Admit, but admits the request only if allowed is true.
func (g *Gate) AdmitIf(now time.Time, allowed bool) bool {
	l := g.limits
	if !l.done && (now.Before(l.start) || !now.Before(l.end)) {
		return false
	}
	if l.share <= 0 {
		return false
	}
	g.credit = min(g.credit+l.share, 2)
	if g.credit < 1 || !allowed {
		return false
	}
	g.credit--
	if float64(g.admitted) >= math.Floor(l.count+g.roundUp) {
		return false
	}
	g.admitted++
	return true
}
