package move

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// FalseAlarmRate is the maximum probability that a version no worse than the old
// one is called bad at any time of a move. The weighted sum of likelihood ratios
// is a martingale of mean 1 if the versions are equal, so by Ville's inequality
// it ever reaches 1/FalseAlarmRate with at most this probability.
const FalseAlarmRate = 0.001

// missRate is the probability that a version counts as proven although its bad
// rate exceeds the old version's by the margin of a metric.
const missRate = 0.005

// slowClip is the maximum evidence, in nats, that one minute of slow requests
// contributes. A paused engine makes many requests of one version slow at the
// same time; with the limit, at least four slow minutes are needed to call a
// version bad. A short move ends before that, so its evidence is bounded by
// engine instead; see slowCounts.
const slowClip = 3

// maxSlowPerEngine is the number of slow requests of one engine that count in one
// minute of a short move. They are not independent of each other.
const maxSlowPerEngine = 12

// margins are the increases of each metric's rate that a proof excludes, on top
// of half of the old version's rate. Without that half, proving a version equal
// to a bad old one would take more requests than the unproven share provides.
var margins = [Metrics]float64{
	Errors:    0.03,
	Truncated: 0.03,
	SlowFirst: 0.10,
	SlowGaps:  0.10,
}

// minOldRequests is the number of requests below which the old version's rate is
// not known well enough for a proof.
const minOldRequests = 50

// lossRateFactor is the alternative hypothesis for engine losses: the new version
// loses engines at this multiple of the old one's rate.
const lossRateFactor = 5

// minuteSums holds the log likelihood ratios of one minute.
type minuteSums struct {
	segments map[segment][Metrics]ratios
	// clipped is true if the evidence of slow requests is not bounded by engine,
	// so that it must be clipped.
	clipped bool
}

// recentMinutes is the number of newest minutes whose counts still change often.
// The sum of the minutes before them is cached.
const recentMinutes = 2

// testSums holds log likelihood ratios summed over minutes: those of all requests
// in pooled, those of each segment in segments.
type testSums struct {
	pooled   [Metrics]ratios
	segments map[segment][Metrics]ratios
}

func (s *testSums) clone() testSums {
	return testSums{
		pooled:   s.pooled,
		segments: maps.Clone(s.segments),
	}
}

// Evaluator compares two versions of a service by a sequential probability ratio
// test. It caches the ratios of each minute and recomputes them when the set
// changes. It is owned by the goroutine that owns the set.
type Evaluator struct {
	service string
	from    string
	to      string
	set     *EvidenceSet
	minutes map[int64]*minuteSums
	changed map[int64]bool
	// baseSums covers the minutes up to and including baseMinute, sums all.
	baseSums   testSums
	baseMinute int64
	sums       testSums
	// exposure, if set, limits the requests with which a proof must be
	// possible. It is divided among the live VMs.
	exposure *Exposure
	live     int
	// byEngine is true if the evidence of slow requests is bounded by engine.
	byEngine bool
	// engineTime is the total time for which engines had the old and the new
	// version loaded, as passed to Observe.
	engineTime [2]time.Duration
	// firstObserved is the first minute in engineTime. Earlier losses do not
	// count.
	firstObserved int64
}

// NewEvaluator returns an evaluator of a move of the service from one version to
// another. Call Close when it is no longer needed.
func NewEvaluator(set *EvidenceSet, service, from, to string) *Evaluator {
	e := &Evaluator{
		service: service,
		from:    from,
		to:      to,
		set:     set,
		minutes: make(map[int64]*minuteSums),
		changed: make(map[int64]bool),
	}
	for minute := range set.totals {
		e.markChanged(service, minute)
	}
	set.evaluators = append(set.evaluators, e)
	return e
}

// Close stops the evaluator from following its set.
func (e *Evaluator) Close() {
	e.set.evaluators = slices.DeleteFunc(e.set.evaluators, func(o *Evaluator) bool { return o == e })
}

func (e *Evaluator) markChanged(service string, minute int64) {
	if service == e.service {
		e.changed[minute] = true
	}
}

// Observe records that from and to engines had the old and the new version loaded
// for the duration d before now.
func (e *Evaluator) Observe(now time.Time, d time.Duration, from, to int) {
	if e.firstObserved == 0 {
		e.firstObserved = now.Add(-d).Unix() / 60
	}
	e.engineTime[0] += d * time.Duration(from)
	e.engineTime[1] += d * time.Duration(to)
}

// refresh recomputes the minutes that changed and updates the sums. Minutes
// are added in order, so that equal evidence gives the same floating-point
// result on every VM.
func (e *Evaluator) refresh() {
	if len(e.changed) == 0 {
		return
	}
	for minute := range e.changed {
		if minute <= e.baseMinute {
			e.baseSums, e.baseMinute = testSums{}, 0
		}
		if s := e.minutes[minute]; s != nil {
			s.clipped = false
		}
		for g, versions := range e.set.totals[minute] {
			if g.service == e.service {
				e.compareMinute(minute, g.segment, versions)
			}
		}
	}
	clear(e.changed)
	if e.baseSums.segments == nil {
		e.baseSums.segments = make(map[segment][Metrics]ratios)
	}
	minutes := slices.Sorted(maps.Keys(e.minutes))
	for _, at := range minutes[:max(len(minutes)-recentMinutes, 0)] {
		if at > e.baseMinute {
			e.baseSums.add(e.minutes[at])
			e.baseMinute = at
		}
	}
	e.sums = e.baseSums.clone()
	for _, at := range minutes[max(len(minutes)-recentMinutes, 0):] {
		e.sums.add(e.minutes[at])
	}
}

// compareMinute recomputes the ratios of one segment in one minute.
func (e *Evaluator) compareMinute(minute int64, k segment, versions map[string]*Counts) {
	s := e.minutes[minute]
	if s == nil {
		s = &minuteSums{segments: make(map[segment][Metrics]ratios)}
		e.minutes[minute] = s
	}
	next, old := versions[e.to], versions[e.from]
	if next == nil || old == nil {
		return
	}
	c := compareAll(*next, *old)
	g := group{
		service: e.service,
		segment: k,
	}
	for m := SlowFirst; m < Metrics; m++ {
		n, x, newKnown := e.slowCounts(minute, g, e.to, m, *next, true)
		o, y, oldKnown := e.slowCounts(minute, g, e.from, m, *old, false)
		if !e.byEngine || !newKnown || !oldKnown {
			s.clipped = true
			continue
		}
		c[m] = compareCounts(n, x, o, y)
	}
	s.segments[k] = c
}

// slowCounts returns the numbers of requests and of slow ones of a version in one
// minute, without those in excess of maxSlowPerEngine and, if leaveWorst is true,
// without the slow ones of the slowest engine: a version is slow only if it is so
// on another engine too. known is false if the engines of slow requests are not
// known.
func (e *Evaluator) slowCounts(minute int64, g group, version string, m Metric, total Counts, leaveWorst bool) (requests, slow uint64, known bool) {
	attributed, worst := uint64(0), uint64(0)
	for at, c := range e.set.slow[minute] {
		if at.group != g || at.version != version {
			continue
		}
		attributed += c.bad[m]
		counted := min(c.bad[m], maxSlowPerEngine)
		slow += counted
		worst = max(worst, counted)
	}
	if leaveWorst {
		slow -= worst
	}
	bad := min(total.bad[m], total.requests)
	return total.requests - bad + slow, slow, attributed >= bad
}

// compareAll returns the log likelihood ratios of each metric.
func compareAll(next, old Counts) [Metrics]ratios {
	var c [Metrics]ratios
	for m := range c {
		c[m] = compareCounts(next.requests, min(next.bad[m], next.requests), old.requests, min(old.bad[m], old.requests))
	}
	return c
}

// add adds the ratios of one minute, with those of slow requests clipped.
func (s *testSums) add(minute *minuteSums) {
	var pooled [Metrics]ratios
	for _, k := range slices.SortedFunc(maps.Keys(minute.segments), compareSegments) {
		c := minute.segments[k]
		total := s.segments[k]
		for m := range c {
			pooled[m].add(c[m])
			if Metric(m) >= SlowFirst && minute.clipped {
				c[m].clip(slowClip)
			}
			total[m].add(c[m])
		}
		s.segments[k] = total
	}
	for m := range pooled {
		if Metric(m) >= SlowFirst && minute.clipped {
			pooled[m].clip(slowClip)
		}
		s.pooled[m].add(pooled[m])
	}
}

func compareSegments(a, b segment) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.class, b.class))
}

// Assessment is the result of comparing the two versions at one time.
type Assessment struct {
	// logRatio is the logarithm of the weighted sum of all likelihood ratios.
	logRatio float64
	// cause is the test that contributes most to logRatio.
	cause     cause
	proven    bool
	newCounts Counts
	oldCounts Counts
	losses    [2]int
	postMove  bool
}

// cause identifies one of the tests. A zero segment means all requests, and the
// metric Metrics means engine losses.
type cause struct {
	metric  Metric
	segment segment
}

// String returns the name of the test for operators.
func (c cause) String() string {
	switch {
	case c.metric == Metrics:
		return "engine losses"
	case c.segment == segment{}:
		return c.metric.String()
	default:
		return fmt.Sprintf("%s on route %s class %s", c.metric, c.segment.route, c.segment.class)
	}
}

// Bad reports whether the new version is significantly worse than the old one.
func (a *Assessment) Bad() bool { return a.logRatio >= -math.Log(FalseAlarmRate) }

// Proven reports whether the evidence of the stage excludes that the new version
// is worse by the margins.
func (a *Assessment) Proven() bool { return a.proven && !a.Bad() }

// LogRatio returns the natural logarithm of the likelihood ratio. A larger value
// is more evidence against the new version.
func (a *Assessment) LogRatio() float64 { return a.logRatio }

// Reason returns the strongest evidence against the new version.
func (a *Assessment) Reason() string {
	text := a.cause.String()
	if a.postMove {
		text += " after the move"
	}
	return fmt.Sprintf("%s (likelihood ratio e^%.1f)", text, a.logRatio)
}

// Lines returns the counts since the start of the stage as text, one metric per
// line.
func (a *Assessment) Lines() []string {
	var lines []string
	for m := range Metrics {
		lines = append(lines, fmt.Sprintf("%s: %d of %d new, %d of %d old", m,
			a.newCounts.bad[m], a.newCounts.requests, a.oldCounts.bad[m], a.oldCounts.requests))
	}
	return append(lines, fmt.Sprintf("engine losses: %d new, %d old", a.losses[1], a.losses[0]))
}

// Assess compares the two versions. It takes all evidence into account to call
// the new version bad, but only that since a time to call it proven.
func (e *Evaluator) Assess(since time.Time) *Assessment {
	e.refresh()
	a := &Assessment{}
	a.losses = [2]int{e.lossCount(e.from), e.lossCount(e.to)}
	a.testWorse(e)
	a.testMargins(e, since.Unix()/60)
	return a
}

// mixture sums weighted likelihood ratios and keeps the cause of the largest.
type mixture struct {
	sum     logSum
	largest float64
	cause   cause
}

func (x *mixture) add(weight float64, r ratios, c cause) {
	logWeight := math.Log(weight / float64(len(odds)))
	for _, v := range r {
		if x.sum.total == 0 || v+logWeight > x.largest {
			x.largest, x.cause = v+logWeight, c
		}
		x.sum.add(v + logWeight)
	}
}

// testWorse combines the tests of all requests, of each segment and of engine
// losses. The weights sum to 1, so that FalseAlarmRate holds for all of them
// together.
func (a *Assessment) testWorse(e *Evaluator) {
	x := &mixture{}
	const metricWeight = 1.0 / float64(Metrics+1)
	for m := range Metrics {
		x.add(metricWeight/2, e.sums.pooled[m], cause{metric: m})
	}
	for _, k := range slices.SortedFunc(maps.Keys(e.sums.segments), compareSegments) {
		for m, r := range e.sums.segments[k] {
			x.add(metricWeight/2/float64(len(e.sums.segments)), r, cause{
				metric:  Metric(m),
				segment: k,
			})
		}
	}
	x.add(metricWeight, e.lossRatios(), cause{metric: Metrics})
	a.logRatio = x.sum.value()
	a.cause = x.cause
}

// lossRatios returns the log likelihood ratio of the engine losses, given the
// engine time of both versions. It is the same for each of odds.
func (e *Evaluator) lossRatios() ratios {
	var r ratios
	from, to := e.engineTime[0].Minutes(), e.engineTime[1].Minutes()
	if from <= 0 || to <= 0 {
		return r
	}
	equal := to / (to + from)
	worse := lossRateFactor * to / (lossRateFactor*to + from)
	value := float64(e.lossCount(e.to))*math.Log(worse/equal) + float64(e.lossCount(e.from))*math.Log((1-worse)/(1-equal))
	for i := range r {
		r[i] = value
	}
	return r
}

// lossCount returns the number of minutes in which a version lost engines.
func (e *Evaluator) lossCount(version string) int {
	n := 0
	for minute := range e.set.losses[e.service][version] {
		if minute >= e.firstObserved {
			n++
		}
	}
	return n
}

// testMargins sums the counts since a minute and tests whether they exclude the
// margin of each metric.
func (a *Assessment) testMargins(e *Evaluator, since int64) {
	sums := make(map[segment]*versionPair)
	for minute, groups := range e.set.totals {
		if minute < since {
			continue
		}
		for g, versions := range groups {
			if g.service != e.service {
				continue
			}
			p := sums[g.segment]
			if p == nil {
				p = &versionPair{}
				sums[g.segment] = p
			}
			p.add(versions[e.to], versions[e.from])
		}
	}
	segments := slices.SortedFunc(maps.Keys(sums), compareSegments)
	for _, k := range segments {
		a.newCounts.add(Counts{}, sums[k].next)
		a.oldCounts.add(Counts{}, sums[k].old)
	}
	a.proven = true
	for m := range Metrics {
		margin := margins[m]
		if e.exposure != nil {
			margin = max(margin, e.exposure.margin(a.newCounts.requests+a.oldCounts.requests, max(e.live, 1)))
		}
		a.proven = a.proven && a.oldCounts.requests >= minOld(margin)
		total := 0.0
		for _, k := range segments {
			total += marginRatio(sums[k].next, sums[k].old, m, margin)
		}
		a.proven = a.proven && total <= math.Log(missRate)
	}
}

// versionPair holds the counts of the new and the old version.
type versionPair struct {
	next Counts
	old  Counts
}

func (p *versionPair) add(next, old *Counts) {
	if next != nil {
		p.next.add(Counts{}, *next)
	}
	if old != nil {
		p.old.add(Counts{}, *old)
	}
}

// marginRatio returns the log likelihood ratio of two hypotheses: that the new
// version's bad rate exceeds the old one's by the margin, and that it is equal.
func marginRatio(next, old Counts, m Metric, margin float64) float64 {
	if next.requests == 0 || old.requests == 0 {
		return 0
	}
	equal := max((float64(old.bad[m])+0.5)/(float64(old.requests)+1), 0.001)
	worse := min(equal*1.5+margin, 0.999)
	equal = min(equal, worse-0.001)
	bad := float64(min(next.bad[m], next.requests))
	good := float64(next.requests) - bad
	return bad*math.Log(worse/equal) + good*math.Log((1-worse)/(1-equal))
}
