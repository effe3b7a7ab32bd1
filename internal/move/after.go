package move

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// baselineMinutes is the number of minutes before the end of a move from which
// the old version's rates are taken. Afterwards it receives no more requests.
const baselineMinutes = 30

// postMoveClip is the maximum evidence, in nats, that one minute after a move
// contributes for each metric. Old and new version are compared over different
// minutes, so without the limit a short disturbance that affects both would
// count against the new version. At least two minutes with failures or six slow
// minutes are needed to call the new version bad.
var postMoveClip = [Metrics]float64{
	Errors:    6,
	Truncated: 6,
	SlowFirst: 2,
	SlowGaps:  2,
}

// postMovePenalty is subtracted, in nats, from the evidence after a move, because
// FalseAlarmRate does not cover a comparison over different minutes.
const postMovePenalty = 2.3

// AssessPostMove compares the minutes of the new version since done, the end of
// the move, with the last minutes of the old version.
func (e *Evaluator) AssessPostMove(done time.Time) *Assessment {
	doneMinute := done.Unix() / 60
	baseline := make(map[segment]*versionPair)
	for minute, groups := range e.set.totals {
		if minute >= doneMinute || minute < doneMinute-baselineMinutes {
			continue
		}
		for g, versions := range groups {
			if g.service != e.service {
				continue
			}
			if baseline[g.segment] == nil {
				baseline[g.segment] = &versionPair{}
			}
			baseline[g.segment].add(nil, versions[e.from])
		}
	}
	a := &Assessment{
		postMove: true,
		losses:   [2]int{e.lossCount(e.from), e.lossCount(e.to)},
	}
	var sums [Metrics]ratios
	totals := make(map[segment]*versionPair)
	for _, minute := range slices.Sorted(maps.Keys(e.set.totals)) {
		if minute >= doneMinute {
			e.addMinuteAfter(a, minute, baseline, totals, &sums)
		}
	}
	total := compareTotals(totals)
	for m := range sums {
		sums[m].lower(total[m])
	}
	x := &mixture{}
	for m := range Metrics {
		x.add(1/float64(Metrics), sums[m], cause{metric: m})
	}
	for _, p := range baseline {
		a.oldCounts.add(Counts{}, p.old)
	}
	a.logRatio = x.sum.value() - postMovePenalty
	a.cause = x.cause
	return a
}

// compareTotals compares all minutes after the move at once. They share one
// baseline, and a baseline that happens to contain no bad request would count
// against every minute separately; in the total it counts once.
func compareTotals(totals map[segment]*versionPair) [Metrics]ratios {
	var sums [Metrics]ratios
	for _, k := range slices.SortedFunc(maps.Keys(totals), compareSegments) {
		for m, r := range compareAll(totals[k].next, totals[k].old) {
			sums[m].add(r)
		}
	}
	return sums
}

// addMinuteAfter adds the comparison of one minute after the move with the
// baseline to the sums, and its counts to the totals.
func (e *Evaluator) addMinuteAfter(a *Assessment, minute int64, baseline, totals map[segment]*versionPair, sums *[Metrics]ratios) {
	var ratio [Metrics]ratios
	groups := e.set.totals[minute]
	for _, g := range slices.SortedFunc(maps.Keys(groups), compareGroups) {
		next, old := groups[g][e.to], baseline[g.segment]
		if g.service != e.service || next == nil || old == nil {
			continue
		}
		a.newCounts.add(Counts{}, *next)
		if totals[g.segment] == nil {
			totals[g.segment] = &versionPair{
				old: old.old,
			}
		}
		totals[g.segment].add(next, nil)
		for m, r := range compareAll(*next, old.old) {
			ratio[m].add(r)
		}
	}
	for m := range ratio {
		ratio[m].clip(postMoveClip[m])
		sums[m].add(ratio[m])
	}
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.service, b.service), compareSegments(a.segment, b.segment))
}
