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
	// pointsPerEngine is the number of ring positions of each engine. With 32,
	// the largest share of the ring is within about 1.5 times the mean.
	pointsPerEngine = 32
	// ringCandidates is the number of candidates taken from the ring.
	ringCandidates = 2
	// randomCandidates is the number of candidates chosen at random.
	randomCandidates = 2
	// localityBonus is the difference in relative load up to which a candidate
	// from the ring is preferred to a less loaded engine.
	localityBonus = 0.25
	// scanLimit bounds the number of engines examined when no candidate accepts
	// the attempt, which keeps a choice under 20 µs. In a larger pool a scan may
	// miss the free engines; the request is then tried again soon.
	scanLimit = 256
)

// point is one position of an engine on the ring.
type point struct {
	hash  uint64
	index int32
}

// Pool is the set of engines that serve one version of a service in one region.
// The set is fixed; when membership or configuration changes, a new Pool is
// built. It is not safe for concurrent use.
type Pool struct {
	engines []*fleet.Engine
	// ring is sorted by hash.
	ring []point
	// accepts reports whether an attempt may be sent to the engine.
	accepts func(e *fleet.Engine, now time.Time, resume bool) bool
}

// NewPool returns a pool of the engines. The caller must not modify the slice
// afterwards.
func NewPool(engines []*fleet.Engine) *Pool {
	p := &Pool{
		engines: engines,
		ring:    make([]point, 0, len(engines)*pointsPerEngine),
		accepts: accepts,
	}
	for i, e := range engines {
		for j := range pointsPerEngine {
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

// Engines returns the pool's engines. The caller must not modify the slice.
func (p *Pool) Engines() []*fleet.Engine { return p.engines }

// Pick returns the engine for an attempt, or nil if none was found that accepts
// it. The prefix is the hash of the prompt's start; resume is true for an attempt
// that continues existing output. Engines in avoid are never returned. Pick does
// not allocate memory.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, prefix uint64, resume bool, avoid []*fleet.Engine) *fleet.Engine {
	if len(p.engines) == 0 {
		return nil
	}
	var best *fleet.Engine
	var bestScore float64
	consider := func(e *fleet.Engine, bonus float64) {
		if slices.Contains(avoid, e) || !p.accepts(e, now, resume) {
			return
		}
		score := e.Score(now) - bonus
		if best == nil || score < bestScore {
			best, bestScore = e, score
		}
	}
	at, _ := slices.BinarySearchFunc(p.ring, prefix, func(a point, h uint64) int {
		return cmp.Compare(a.hash, h)
	})
	last := int32(-1)
	for taken := 0; taken < ringCandidates && at < 2*len(p.ring); at++ {
		i := p.ring[at%len(p.ring)].index
		if i == last {
			continue
		}
		last = i
		taken++
		consider(p.engines[i], localityBonus)
	}
	for range randomCandidates {
		consider(p.engines[rng.IntN(len(p.engines))], 0)
	}
	if best == nil {
		best = p.scan(now, rng, resume, avoid)
	}
	return best
}

// LeastReported returns the live engine with the fewest reported streams, or nil
// if no engine outside avoid is live. It is the baseline with which Pick is
// compared.
func (p *Pool) LeastReported(avoid []*fleet.Engine) *fleet.Engine {
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

// scan returns the first engine that accepts the attempt among up to scanLimit
// engines from a random start, or nil. It is called only when no candidate
// accepts the attempt.
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
