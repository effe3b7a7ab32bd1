package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// repeats is the number of measurements at each size. The lowest is used,
// because other work on the machine can only add to a cost.
const repeats = 3

// Probe measures one cost that depends on a size.
type Probe struct {
	name string
	// dimension says what the size counts, such as "engines". unit is the unit of
	// the cost.
	dimension string
	unit      string
	// sizes holds the sizes to measure at, in ascending order.
	sizes []int
	// target is the size for which the cost is predicted.
	target float64
	// once is set for a cost that does not vary between repetitions. It is measured
	// a single time at each size.
	once bool
	// measure returns the cost at a size, in the given unit.
	measure func(ctx context.Context, b *Bench, size int) (float64, error)
}

// Name returns the probe's name, such as "router/token".
func (p *Probe) Name() string { return p.name }

// scaledSizes returns the sizes divided by divisor. Sizes that would become
// equal or 0 are raised, so that they stay positive and distinct.
func (p *Probe) scaledSizes(divisor int) []int {
	sizes := make([]int, len(p.sizes))
	for i, s := range p.sizes {
		sizes[i] = s / max(divisor, 1)
		if i > 0 {
			sizes[i] = max(sizes[i], sizes[i-1]+1)
		} else {
			sizes[i] = max(sizes[i], 1)
		}
	}
	return sizes
}

// Bench measures probes. It is not safe for concurrent use, and nothing else may
// run in the process, because probes measure the CPU time and heap of all of it.
type Bench struct {
	// minCPUTime is the least CPU time to spend on one measurement.
	minCPUTime time.Duration
	// window is the time over which the CPU use of a child process is measured.
	window time.Duration
	// divisor divides all sizes.
	divisor int
	// spawn starts an entry VM in a child process.
	spawn func(ctx context.Context, args ...string) (*Child, error)
	// measured caches what was measured of one child process, for the probes that
	// share it. The key holds the numbers of engines, entry VMs and workspaces.
	measured map[[3]int]processCosts
}

// NewBench returns a bench that spends at least minCPUTime of CPU time on one
// measurement, measures the CPU use of a child process over the time window, and
// divides all sizes by divisor. A divisor below 1 counts as 1. spawn starts an
// entry VM in a child process with the arguments of EntryArgs.
func NewBench(minCPUTime, window time.Duration, divisor int, spawn func(ctx context.Context, args ...string) (*Child, error)) *Bench {
	return &Bench{
		minCPUTime: minCPUTime,
		window:     window,
		divisor:    max(divisor, 1),
		spawn:      spawn,
		measured:   make(map[[3]int]processCosts),
	}
}

// Run measures a probe at its sizes and fits a line to the costs.
func (b *Bench) Run(ctx context.Context, p *Probe) (*Row, error) {
	r := &Row{
		probe: p,
	}
	for _, size := range p.scaledSizes(b.divisor) {
		cost, err := b.minCost(ctx, p, size)
		if err != nil {
			return nil, errors.Wrapf(err, "slope: %s at %d %s", p.name, size, p.dimension)
		}
		r.points = append(r.points, NewPoint(float64(size), cost))
	}
	var err error
	if r.line, err = Fit(r.points); err != nil {
		return nil, errors.Wrapf(err, "slope: %s", p.name)
	}
	return r, nil
}

// minCost returns the lowest of several measurements at one size.
func (b *Bench) minCost(ctx context.Context, p *Probe, size int) (float64, error) {
	best, err := p.measure(ctx, b, size)
	for i := 1; i < repeats && !p.once && err == nil; i++ {
		var cost float64
		cost, err = p.measure(ctx, b, size)
		best = min(best, cost)
	}
	return best, err
}

// cpuPerCall returns the CPU time of one call of f in microseconds, including
// garbage collection. f receives the number of previous calls. Nothing else may
// run in the process.
func (b *Bench) cpuPerCall(ctx context.Context, f func(i int)) (float64, error) {
	runtime.GC()
	start, err := cpuTime()
	if err != nil {
		return 0, err
	}
	for done, batch := 0, 1; ; batch *= 2 {
		for range batch {
			f(done)
			done++
		}
		now, err := cpuTime()
		if err != nil {
			return 0, err
		}
		if now-start >= b.minCPUTime {
			return (now - start).Seconds() * 1e6 / float64(done), nil
		}
		if err := ctx.Err(); err != nil {
			return 0, err
		}
	}
}

// cpuTime returns the CPU time that the process has used in user and system
// mode.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "slope: read CPU time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// retainedHeap returns the number of heap bytes that the result of f keeps
// alive.
func retainedHeap(f func() any) float64 {
	before := liveHeap()
	kept := f()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// liveHeap returns the heap in use after a garbage collection. A second
// collection frees what the finalizers of the first released.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
