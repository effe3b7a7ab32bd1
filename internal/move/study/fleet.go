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
	window       = 1200
	// after is how long a run goes on after the deadline, in seconds.
	after = 90
	// gossipDelay is how old evidence is when other VMs have it, in seconds.
	gossipDelay = 3
	// ordinaryDeaths is the rate of engine losses in the whole fleet, about
	// one in ten engines a day, for each second.
	ordinaryDeaths = 3.5 / 86400
	leaseSeconds   = 15
)

// The bad rates of an ordinary version.
const (
	errorRate     = 0.003
	truncatedRate = 0.001
	slowFirstRate = 0.03
	slowGapsRate  = 0.02
)

var routes = [...]string{"chat", "draft", "loom"}

var classes = [...]string{"interactive", "batch"}

// epoch is the start of every simulated move, on a whole minute.
var epoch = time.Unix(1_700_000_040, 0).UTC()

func clock(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

// report is the outcome of one request on its way to the regions' evidence.
type report struct {
	key     move.Key
	outcome move.Outcome
	home    bool
	// loss marks the loss of an engine.
	loss bool
}

// wheelSize is over the longest response time plus the gossip delay.
const wheelSize = 32

// fleet is the simulated world apart from the controller.
type fleet struct {
	c   Case
	rng *rand.Rand
	// sets hold the evidence of the home and the remote region.
	sets  [2]*move.Set
	wheel [wheelSize][]report
	// held are reports that a partition keeps from the other region.
	held         []report
	incarnations [fleetVMs]uint64
	// newEngines serve the new version, the others the old one.
	newEngines int
	deaths     uint64
	// stalled is the second until which each version has lost engines, and
	// weak the fraction of its requests that this makes slow.
	stalled [2]int
	weak    [2]float64
	// shock is the factor by which this minute is slower for both versions.
	shock float64
	onset int
	cut   [2]int
	met   int
	// served counts requests of the new version.
	served int
}

func newFleet(c Case, seed uint64) *fleet {
	f := &fleet{
		c:          c,
		rng:        rand.New(rand.NewPCG(seed, uint64(c.behaviour)<<8|uint64(c.fault))),
		sets:       [2]*move.Set{move.NewSet(), move.NewSet()},
		newEngines: 2,
		shock:      1,
	}
	f.onset = window*15/100 + f.rng.IntN(window*55/100)
	f.cut[0] = f.early(window * 70 / 100)
	f.cut[1] = f.cut[0] + window*30/100
	return f
}

// early returns a random second below the limit, or within the first seconds
// for a version that fails at once, so that the fault meets its roll-back.
func (f *fleet) early(limit int) int {
	if f.c.behaviour == FailsAtOnce {
		limit = 20
	}
	return f.rng.IntN(limit)
}

func (f *fleet) parted(second int) bool {
	return f.c.fault == Partition && second >= f.cut[0] && second < f.cut[1]
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

func (f *fleet) begin(second int) {
	if second%60 == 0 {
		f.shock = 1
		if f.rng.Float64() < 0.05 {
			f.shock = 5
		}
	}
	rate := ordinaryDeaths
	if f.c.fault == Deaths {
		rate *= 10
	}
	for n := f.poisson(rate); n > 0; n-- {
		f.die(second)
	}
}

// die loses one engine. The requests on it are interrupted, and for ten
// seconds the rest of its version is slower.
func (f *fleet) die(second int) {
	version := 0
	serving := fleetEngines - f.newEngines
	if f.rng.IntN(fleetEngines) < f.newEngines {
		version = 1
		serving = f.newEngines
	}
	f.deaths++
	f.stalled[version] = second + 10
	f.weak[version] = min(0.5/float64(max(serving, 1)), 0.5)
	f.post(second, 0, report{
		key:  move.NewKey("engine", f.deaths, "model", versionName(version), move.LossRoute, "", clock(second)),
		home: true,
		loss: true,
	})
}

func versionName(version int) string {
	if version == 1 {
		return "v2"
	}
	return "v1"
}

func (f *fleet) post(second, delay int, r report) {
	at := (second + gossipDelay + delay) % wheelSize
	f.wheel[at] = append(f.wheel[at], r)
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
			f.met++
		}
	}
	f.post(second, delay, report{
		key: move.NewKey(vmNames[vm], f.incarnations[vm], "model", versionName(version),
			routes[route], classes[class], clock(second)),
		outcome: outcome,
		home:    vm < homeVMs,
	})
}

var vmNames = [fleetVMs]string{"vm0", "vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}

// outcome draws how a request ends, whether its version is to blame, and after
// how many seconds its result is known.
func (f *fleet) outcome(second, version, route int, share float64) (o move.Outcome, bad bool, delay int) {
	failed := f.blame(second, version, route)
	slow := f.slow(version, share)
	truncated := version == 1 && f.c.behaviour == Truncated && f.rng.Float64() < 0.1
	bad = failed || slow || truncated
	var list []move.Metric
	if failed || f.rng.Float64() < errorRate || f.c.behaviour == OldBad && f.rng.Float64() < 0.1 {
		return move.NewOutcome(move.Errors), bad, f.rng.IntN(2)
	}
	if truncated || f.rng.Float64() < truncatedRate {
		list = append(list, move.Truncated)
	}
	weak := 0.0
	if second < f.stalled[version] {
		weak = f.weak[version]
	}
	if f.rng.Float64() < slowFirstRate*f.shock+weak || slow && f.rng.Float64() < 0.8 {
		list = append(list, move.SlowFirst)
	}
	if f.rng.Float64() < slowGapsRate*f.shock+weak || slow {
		list = append(list, move.SlowGaps)
	}
	o = move.NewOutcome(list...)
	// Most interrupted requests are known to be; the rest only look slow.
	if weak > 0 && f.rng.Float64() < weak {
		o = o.ByLoss()
	}
	return o, bad, 2 + f.rng.IntN(20)
}

func (f *fleet) blame(second, version, route int) bool {
	if version == 0 {
		return false
	}
	rate := 0.0
	switch f.c.behaviour {
	case FailsAtOnce:
		rate = 1
	case FailsLater:
		if second >= f.onset {
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

func (f *fleet) slow(version int, share float64) bool {
	if version == 0 {
		return false
	}
	if f.c.behaviour == Slow || f.c.behaviour == SlowUnderLoad && share > 0.4 {
		return f.rng.Float64() < 0.25
	}
	return false
}

// gossip delivers the reports that are due to both regions.
func (f *fleet) gossip(second int) {
	slot := second % wheelSize
	parted := f.parted(second)
	if !parted {
		for _, r := range f.held {
			f.deliver(region(!r.home), r)
		}
		f.held = f.held[:0]
	}
	for _, r := range f.wheel[slot] {
		f.deliver(region(r.home), r)
		if parted {
			f.held = append(f.held, r)
			continue
		}
		f.deliver(region(!r.home), r)
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
