package move

import (
	"math"
	"math/rand/v2"
	"time"
)

// Limits bound the traffic of the new version on one VM.
type Limits struct {
	share float64
	count float64
	done  bool
	start time.Time
	end   time.Time
}

// NewLimits returns limits by share and by count, math.Inf(1) for none, that
// admit nothing before start and from end on.
func NewLimits(share, count float64, start, end time.Time) Limits {
	return Limits{
		share: share,
		count: count,
		start: start,
		end:   end,
	}
}

// WithDone returns a copy of l for a move that is done: the new version serves
// everything regardless of the time.
func (l Limits) WithDone() Limits {
	l.share = 1
	l.count = math.Inf(1)
	l.done = true
	return l
}

// Share returns the share of requests for the new version, from 0 to 1.
func (l Limits) Share() float64 { return l.share }

// Count returns how many requests of this VM may have gone to the new version
// in all, or +Inf once the version is proven.
func (l Limits) Count() float64 { return l.count }

// Done reports whether the new version serves regardless of the deadline.
func (l Limits) Done() bool { return l.done }

// Gate decides for each request of a VM whether the new version serves it. It
// needs no coordination: the limits follow from the plan, and it enforces the
// deadline itself when no newer limits arrive. It is owned by one goroutine.
type Gate struct {
	limits Limits
	// credit grows by the share with each request; 1 buys one request.
	credit float64
	// luck rounds a fractional count. It is drawn once for each incarnation,
	// so that a fleet larger than the allowance uses it in total on average.
	luck float64
	used uint64
}

// NewGate returns a gate that admits nothing until it has limits. The seed is
// unique to the VM incarnation.
func NewGate(seed uint64) *Gate {
	r := rand.New(rand.NewPCG(seed, 0x6d6f7665))
	return &Gate{
		credit: r.Float64(),
		luck:   r.Float64(),
	}
}

// Set replaces the limits.
func (g *Gate) Set(l Limits) { g.limits = l }

// Used returns the number of requests admitted to the new version.
func (g *Gate) Used() uint64 { return g.used }

// Admit reports whether the new version serves the next request.
func (g *Gate) Admit(now time.Time) bool {
	l := g.limits
	if !l.done && (now.Before(l.start) || !now.Before(l.end)) {
		return false
	}
	if l.share <= 0 {
		return false
	}
	g.credit = min(g.credit+l.share, 2)
	if g.credit < 1 {
		return false
	}
	g.credit--
	if float64(g.used) >= math.Floor(l.count+g.luck) {
		return false
	}
	g.used++
	return true
}
