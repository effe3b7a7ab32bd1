package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// repeats is the number of measurements at each size, of which the lowest
// counts, because other work on the machine only ever adds to a cost.
const repeats = 3

// Probe is one cost that depends on a size.
type Probe struct {
	name string
	// size is what the size counts, and unit the unit of the cost.
	size string
	unit string
	// sizes holds the sizes to measure at, in rising order.
	sizes []int
	// target is the size that is built for.
	target float64
	// once is true for a cost that doesn't vary between repetitions.
	once bool
	// measure returns the cost at a size.
	measure func(ctx context.Context, b *Bench, size int) (float64, error)
}

// Name returns the probe's name.
func (p *Probe) Name() string { return p.name }

// shrunk returns the sizes divided by a number; they stay distinct.
func (p *Probe) shrunk(by int) []int {
	sizes := make([]int, len(p.sizes))
	for i, s := range p.sizes {
		sizes[i] = s / max(by, 1)
		if i > 0 {
			sizes[i] = max(sizes[i], sizes[i-1]+1)
		} else {
			sizes[i] = max(sizes[i], 1)
		}
	}
	return sizes
}

// Bench measures probes.
type Bench struct {
	// span is the processor time to spend on one measurement.
	span time.Duration
	// watch is the time over which the use of a process is measured.
	watch time.Duration
	// shrink divides all sizes.
	shrink int
	// spawn starts an entry VM in a process of its own.
	spawn func(ctx context.Context, args ...string) (*Child, error)
	// uses holds what was measured of one process, for the probes that share it,
	// by the numbers of engines, entry VMs and workspaces.
	uses map[[3]int]use
}

// NewBench returns a bench that spends span of processor time on one
// measurement, watches a process for the time watch and divides all sizes by
// shrink. Spawn starts an entry VM in a process of its own with the arguments
// of EntryArgs.
func NewBench(span, watch time.Duration, shrink int, spawn func(ctx context.Context, args ...string) (*Child, error)) *Bench {
	return &Bench{
		span:   span,
		watch:  watch,
		shrink: max(shrink, 1),
		spawn:  spawn,
		uses:   make(map[[3]int]use),
	}
}

// Run measures a probe at its sizes and fits a line.
func (b *Bench) Run(ctx context.Context, p *Probe) (*Row, error) {
	r := &Row{
		probe: p,
	}
	for _, size := range p.shrunk(b.shrink) {
		cost, err := b.lowest(ctx, p, size)
		if err != nil {
			return nil, errors.Wrapf(err, "slope: %s at %d %s", p.name, size, p.size)
		}
		r.points = append(r.points, NewPoint(float64(size), cost))
	}
	var err error
	if r.line, err = Fit(r.points); err != nil {
		return nil, errors.Wrapf(err, "slope: %s", p.name)
	}
	return r, nil
}

func (b *Bench) lowest(ctx context.Context, p *Probe, size int) (float64, error) {
	best, err := p.measure(ctx, b, size)
	for i := 1; i < repeats && !p.once && err == nil; i++ {
		var cost float64
		cost, err = p.measure(ctx, b, size)
		best = min(best, cost)
	}
	return best, err
}

// loop returns the processor time of one call of f in microseconds, garbage
// collection included. Nothing else may run in the process.
func (b *Bench) loop(ctx context.Context, f func(i int)) (float64, error) {
	runtime.GC()
	begun, err := processor()
	if err != nil {
		return 0, err
	}
	for done, batch := 0, 1; ; batch *= 2 {
		for range batch {
			f(done)
			done++
		}
		now, err := processor()
		if err != nil {
			return 0, err
		}
		if now-begun >= b.span {
			return (now - begun).Seconds() * 1e6 / float64(done), nil
		}
		if err := ctx.Err(); err != nil {
			return 0, err
		}
	}
}

// processor returns the processor time that the process has used, in user
// and system mode.
func processor() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, errors.Wrap(err, "slope: read processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// heap returns the bytes of heap that remain in use by what f returns.
func heap(f func() any) float64 {
	before := live()
	kept := f()
	after := live()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// live returns the heap in use after a collection. The second one frees what
// the finalizers of the first released.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
