package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/fleet"
)

const (
	// points is the number of ring positions per engine; 32 keeps the largest
	// share of the ring within about 1.5 times the mean.
	points = 32
	// near is the number of candidates taken for locality.
	near = 2
	// random is the number of candidates drawn at random.
	random = 2
	// localBonus is the load difference up to which a cached prefix is worth
	// more than an idler engine.
	localBonus = 0.25
	// scanLimit bounds the engines looked at when no candidate accepts, which
	// keeps a choice under 20 µs. A request that misses the free engines of a
	// larger pool is tried again soon.
	scanLimit = 256
)

// point is a position of an engine on the ring.
type point struct {
	hash  uint64
	index int32
}

// Pool is the set of engines of one version in one region. It is owned by one
// duty and rebuilt when membership or configuration changes.
type Pool struct {
	engines []*fleet.Engine
	// ring is sorted by hash.
	ring []point
	// accepts tells whether an engine may be given the attempt.
	accepts func(e *fleet.Engine, now time.Time, resume bool) bool
}

// NewPool returns a pool of the engines.
func NewPool(engines []*fleet.Engine) *Pool {
	p := &Pool{
		engines: engines,
		ring:    make([]point, 0, len(engines)*points),
		accepts: accepts,
	}
	for i, e := range engines {
		for j := range points {
			p.ring = append(p.ring, point{
				hash:  xxhash.Sum64String(e.Name() + "#" + strconv.Itoa(j)),
				index: int32(i),
			})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.index, b.index))
	})
	return p
}

// Len returns the number of engines.
func (p *Pool) Len() int { return len(p.engines) }

// Engines returns the pool's engines. The caller must not change it.
func (p *Pool) Engines() []*fleet.Engine { return p.engines }

// Pick returns the engine for an attempt, or nil when none accepts it. It
// skips the engines in avoid and makes no allocation.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, prefix uint64, resume bool, avoid []*fleet.Engine) *fleet.Engine {
	if len(p.engines) == 0 {
		return nil
	}
	var best *fleet.Engine
	var low float64
	consider := func(e *fleet.Engine, bonus float64) {
		if slices.Contains(avoid, e) || !p.accepts(e, now, resume) {
			return
		}
		score := e.Score(now) - bonus
		if best == nil || score < low {
			best, low = e, score
		}
	}
	at, _ := slices.BinarySearchFunc(p.ring, prefix, func(a point, h uint64) int {
		return cmp.Compare(a.hash, h)
	})
	last := int32(-1)
	for taken := 0; taken < near && at < 2*len(p.ring); at++ {
		i := p.ring[at%len(p.ring)].index
		if i == last {
			continue
		}
		last = i
		taken++
		consider(p.engines[i], localBonus)
	}
	for range random {
		consider(p.engines[rng.IntN(len(p.engines))], 0)
	}
	if best == nil {
		best = p.scan(now, rng, resume, avoid)
	}
	return best
}

// Least returns the engine with the least reported load, or nil when none is
// live. It is the baseline that Pick is measured against.
func (p *Pool) Least(avoid []*fleet.Engine) *fleet.Engine {
	var best *fleet.Engine
	for _, e := range p.engines {
		if e.State() != fleet.Live || slices.Contains(avoid, e) {
			continue
		}
		if best == nil || e.ReportedStreams() < best.ReportedStreams() {
			best = e
		}
	}
	return best
}

// scan looks at up to scanLimit engines from a random start; it is reached only
// when no candidate accepts the attempt.
func (p *Pool) scan(now time.Time, rng *rand.Rand, resume bool, avoid []*fleet.Engine) *fleet.Engine {
	start := rng.IntN(len(p.engines))
	for i := range min(len(p.engines), scanLimit) {
		e := p.engines[(start+i)%len(p.engines)]
		if p.accepts(e, now, resume) && !slices.Contains(avoid, e) {
			return e
		}
	}
	return nil
}

func accepts(e *fleet.Engine, now time.Time, resume bool) bool {
	if resume {
		return e.AcceptsResume(now)
	}
	return e.Accepts(now)
}
