package move

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// controlMinutes is how far back the old version's rate is taken from after a
// move is done, when no request reaches the old version any more.
const controlMinutes = 30

// afterClip bounds, in nats, what one minute says after a move by each metric.
// The minutes of the old version differ from those of the new one, so a short
// disturbance of both would count against the new version without it. A
// verdict needs at least two bad minutes of failures or six slow ones.
var afterClip = [Metrics]float64{
	Errors:    6,
	Truncated: 6,
	SlowFirst: 2,
	SlowGaps:  2,
}

// afterPenalty is subtracted, in nats, from the evidence after a move, because
// the comparison over different minutes is not covered by FalseAlarm.
const afterPenalty = 2.3

// AssessAfter judges the minutes since a move was done against the last
// minutes of the old version.
func (j *Judge) AssessAfter(done time.Time) *Finding {
	end := done.Unix() / 60
	control := make(map[cell]*pair)
	for minute, groups := range j.set.totals {
		if minute >= end || minute < end-controlMinutes {
			continue
		}
		for g, versions := range groups {
			if g.service != j.service {
				continue
			}
			if control[g.cell] == nil {
				control[g.cell] = &pair{}
			}
			control[g.cell].add(nil, versions[j.from])
		}
	}
	f := &Finding{
		after:  true,
		losses: [2]int{j.lossCount(j.from), j.lossCount(j.to)},
	}
	var sums [Metrics]ratios
	totals := make(map[cell]*pair)
	for _, at := range slices.Sorted(maps.Keys(j.set.totals)) {
		if at >= end {
			j.minuteAfter(f, at, control, totals, &sums)
		}
	}
	whole := compareTotals(totals)
	for m := range sums {
		sums[m].lower(whole[m])
	}
	x := &mixture{}
	for m := range Metrics {
		x.add(1/float64(Metrics), sums[m], cause{metric: m})
	}
	for _, p := range control {
		f.old.add(Counts{}, p.old)
	}
	f.weight = x.sum.value() - afterPenalty
	f.cause = x.cause
	return f
}

// compareTotals compares all minutes after the move at once. The minutes share
// one control, and a control that happens to have no bad request would count
// against each of them anew; the total counts it once.
func compareTotals(totals map[cell]*pair) [Metrics]ratios {
	var whole [Metrics]ratios
	for _, k := range slices.SortedFunc(maps.Keys(totals), compareCells) {
		for m, r := range compareAll(totals[k].next, totals[k].old) {
			whole[m].add(r)
		}
	}
	return whole
}

// minuteAfter adds one minute after the move to the sums.
func (j *Judge) minuteAfter(f *Finding, at int64, control, totals map[cell]*pair, sums *[Metrics]ratios) {
	var minute [Metrics]ratios
	groups := j.set.totals[at]
	for _, g := range slices.SortedFunc(maps.Keys(groups), compareGroups) {
		next, old := groups[g][j.to], control[g.cell]
		if g.service != j.service || next == nil || old == nil {
			continue
		}
		f.next.add(Counts{}, *next)
		if totals[g.cell] == nil {
			totals[g.cell] = &pair{
				old: old.old,
			}
		}
		totals[g.cell].add(next, nil)
		for m, r := range compareAll(*next, old.old) {
			minute[m].add(r)
		}
	}
	for m := range minute {
		minute[m].clip(afterClip[m])
		sums[m].add(minute[m])
	}
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.service, b.service), compareCells(a.cell, b.cell))
}
