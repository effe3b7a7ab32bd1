package study

import (
	"math"
	"math/rand/v2"
	"time"

	"clementinelink.example/clementinelink/internal/move"
)

// The simulated deployment: nine entry VMs, of which six are in the region of
// the store, 35 engines, 20 requests a second, and a move of 20 minutes.
const (
	fleetVMs     = 9
	homeVMs      = 6
	fleetEngines = 35
	requestRate  = 20.0
	moveSeconds  = 1200
	// extraSeconds is how long a run continues after the deadline.
	extraSeconds = 90
	// gossipDelay is how long evidence takes to reach other VMs, in seconds.
	gossipDelay = 3
	// engineLossRate is the number of engine losses per second in the whole
	// fleet; it is about one in ten engines per day.
	engineLossRate = 3.5 / 86400
	leaseSeconds   = 15
)

// The rates of bad requests of an ordinary version.
const (
	errorRate     = 0.003
	truncatedRate = 0.001
	slowFirstRate = 0.03
	slowGapsRate  = 0.02
)

var routes = [...]string{"chat", "draft", "loom"}

var classes = [...]string{"interactive", "batch"}

// epoch is the start of every simulated move. It is a whole minute.
var epoch = time.Unix(1_700_000_040, 0).UTC()

func timeAt(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

// report is the outcome of one request, or the loss of an engine, before it is
// added to the evidence of the regions.
type report struct {
	key      move.Key
	outcome  move.Outcome
	fromHome bool
	// loss marks the loss of an engine.
	loss bool
}

// wheelSize exceeds the longest response time plus the gossip delay, in seconds.
const wheelSize = 32

// fleet simulates the VMs, engines and requests that the policies act on.
type fleet struct {
	c   Case
	rng *rand.Rand
	// sets hold the evidence of the home and the remote region.
	sets  [2]*move.EvidenceSet
	wheel [wheelSize][]report
	// delayed holds reports that a partition keeps from the other region.
	delayed      []report
	incarnations [fleetVMs]uint64
	// newEngines is the number of engines that serve the new version; the
	// others serve the old one.
	newEngines   int
	engineLosses uint64
	// slowUntil is the second until which the loss of an engine affects each
	// version, and slowRate the fraction of its requests that it makes slow.
	slowUntil [2]int
	slowRate  [2]float64
	// slowFactor multiplies the rates of slow requests of both versions in the
	// current minute.
	slowFactor   float64
	failureStart int
	partition    [2]int
	badRequests  int
	// served counts requests of the new version.
	served int
}

func newFleet(c Case, seed uint64) *fleet {
	f := &fleet{
		c:          c,
		rng:        rand.New(rand.NewPCG(seed, uint64(c.behaviour)<<8|uint64(c.fault))),
		sets:       [2]*move.EvidenceSet{move.NewEvidenceSet(), move.NewEvidenceSet()},
		newEngines: 2,
		slowFactor: 1,
	}
	f.failureStart = moveSeconds*15/100 + f.rng.IntN(moveSeconds*55/100)
	f.partition[0] = f.faultSecond(moveSeconds * 70 / 100)
	f.partition[1] = f.partition[0] + moveSeconds*30/100
	return f
}

// faultSecond returns a random second below the limit. For a version that fails
// at once it is one of the first, so that the fault coincides with the roll-back.
func (f *fleet) faultSecond(limit int) int {
	if f.c.behaviour == FailsAtOnce {
		limit = 20
	}
	return f.rng.IntN(limit)
}

func (f *fleet) partitioned(second int) bool {
	return f.c.fault == Partition && second >= f.partition[0] && second < f.partition[1]
}

// poisson draws a count with a small mean.
func (f *fleet) poisson(mean float64) int {
	limit, p := math.Exp(-mean), f.rng.Float64()
	n := 0
	for p > limit {
		p *= f.rng.Float64()
		n++
	}
	return n
}

func (f *fleet) startSecond(second int) {
	if second%60 == 0 {
		f.slowFactor = 1
		if f.rng.Float64() < 0.05 {
			f.slowFactor = 5
		}
	}
	rate := engineLossRate
	if f.c.fault == EngineLosses {
		rate *= 10
	}
	for n := f.poisson(rate); n > 0; n-- {
		f.loseEngine(second)
	}
}

// loseEngine stops one engine. The requests on it are interrupted, and for ten
// seconds the other engines of its version are slower.
func (f *fleet) loseEngine(second int) {
	version := 0
	serving := fleetEngines - f.newEngines
	if f.rng.IntN(fleetEngines) < f.newEngines {
		version = 1
		serving = f.newEngines
	}
	f.engineLosses++
	f.slowUntil[version] = second + 10
	f.slowRate[version] = min(0.5/float64(max(serving, 1)), 0.5)
	f.enqueue(second, 0, report{
		key:      move.NewKey("engine", f.engineLosses, "model", versionName(version), move.LossRoute, "", timeAt(second)),
		fromHome: true,
		loss:     true,
	})
}

func versionName(version int) string {
	if version == 1 {
		return "v2"
	}
	return "v1"
}

func (f *fleet) enqueue(second, delay int, r report) {
	slot := (second + gossipDelay + delay) % wheelSize
	f.wheel[slot] = append(f.wheel[slot], r)
}

// serve runs one request of a VM on a version.
func (f *fleet) serve(second, vm, version int, share float64) {
	route, class := 0, 0
	if x := f.rng.Float64(); x > 0.8 {
		route = 2
	} else if x > 0.5 {
		route = 1
	}
	if f.rng.Float64() > 0.7 {
		class = 1
	}
	outcome, bad, delay := f.outcome(second, version, route, share)
	if version == 1 {
		f.served++
		if bad {
			f.badRequests++
		}
	}
	f.enqueue(second, delay, report{
		key: move.NewKey(vmNames[vm], f.incarnations[vm], "model", versionName(version),
			routes[route], classes[class], timeAt(second)),
		outcome:  outcome,
		fromHome: vm < homeVMs,
	})
}

var vmNames = [fleetVMs]string{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}

// outcome draws how a request ends, whether the new version caused a bad result,
// and after how many seconds the result is known.
func (f *fleet) outcome(second, version, route int, share float64) (o move.Outcome, bad bool, delay int) {
	failed := f.versionFails(second, version, route)
	slow := f.versionSlow(version, share)
	truncated := version == 1 && f.c.behaviour == Truncated && f.rng.Float64() < 0.1
	bad = failed || slow || truncated
	var metrics []move.Metric
	if failed || f.rng.Float64() < errorRate || f.c.behaviour == OldBad && f.rng.Float64() < 0.1 {
		return move.NewOutcome(move.Errors), bad, f.rng.IntN(2)
	}
	if truncated || f.rng.Float64() < truncatedRate {
		metrics = append(metrics, move.Truncated)
	}
	affected := 0.0
	if second < f.slowUntil[version] {
		affected = f.slowRate[version]
	}
	if f.rng.Float64() < slowFirstRate*f.slowFactor+affected || slow && f.rng.Float64() < 0.8 {
		metrics = append(metrics, move.SlowFirst)
	}
	if f.rng.Float64() < slowGapsRate*f.slowFactor+affected || slow {
		metrics = append(metrics, move.SlowGaps)
	}
	o = move.NewOutcome(metrics...)
	// Most interrupted requests are recognized as such; the rest look slow.
	if affected > 0 && f.rng.Float64() < affected {
		o = o.ByLoss()
	}
	return o, bad, 2 + f.rng.IntN(20)
}

func (f *fleet) versionFails(second, version, route int) bool {
	if version == 0 {
		return false
	}
	rate := 0.0
	switch f.c.behaviour {
	case FailsAtOnce:
		rate = 1
	case FailsLater:
		if second >= f.failureStart {
			rate = 0.5
		}
	case OneRoute:
		if route == 2 {
			rate = 0.3
		}
	case LargePrompts:
		rate = 0.15 * 0.6
	}
	if f.c.rate > 0 {
		rate = f.c.rate
	}
	return f.rng.Float64() < rate
}

func (f *fleet) versionSlow(version int, share float64) bool {
	if version == 0 {
		return false
	}
	if f.c.behaviour == Slow || f.c.behaviour == SlowUnderLoad && share > 0.4 {
		return f.rng.Float64() < 0.25
	}
	return false
}

// gossip adds the reports that are due to the evidence of both regions. During a
// partition, the other region gets them afterwards.
func (f *fleet) gossip(second int) {
	slot := second % wheelSize
	partitioned := f.partitioned(second)
	if !partitioned {
		for _, r := range f.delayed {
			f.deliver(region(!r.fromHome), r)
		}
		f.delayed = f.delayed[:0]
	}
	for _, r := range f.wheel[slot] {
		f.deliver(region(r.fromHome), r)
		if partitioned {
			f.delayed = append(f.delayed, r)
			continue
		}
		f.deliver(region(!r.fromHome), r)
	}
	f.wheel[slot] = f.wheel[slot][:0]
}

func region(home bool) int {
	if home {
		return 0
	}
	return 1
}

func (f *fleet) deliver(region int, r report) {
	if r.loss {
		f.sets[region].Merge(r.key, move.NewCounts(1, 1, 0, 0, 0))
		return
	}
	f.sets[region].Count(r.key, r.outcome)
}
