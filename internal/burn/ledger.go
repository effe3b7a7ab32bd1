package burn

import (
	"sort"
	"time"

	"clementinelink.example/clementinelink/internal/wire"
)

// maxPairs bounds the pairs of service and workspace that a ledger holds, at
// under 4 KiB per pair. Samples of further pairs count only for their services.
const maxPairs = 50000

// maxListedPairs is the number of pairs up to which a reply lists the workspaces
// by default. A larger reply would take megabytes of control traffic.
const maxListedPairs = 1000

// maxRefusedRuns bounds the runs of refused minutes in a reply, at about 40 bytes
// per run. Once it is reached, the remaining workspaces in order of name are
// omitted and only counted.
const maxRefusedRuns = 50000

// windows are the lengths of the report's windows in minutes.
var windows = [...]uint32{5, 60, 360, spanMinutes}

// windowNames are the names of the windows in reports.
var windowNames = [len(windows)]string{"5m", "1h", "6h", "3d"}

// windowAges are the ages in minutes at which a reply reports what each window
// has beyond the next shorter one. They are well within that range, so that small
// clock differences between VMs don't move counts to another window.
var windowAges = [len(windows)]uint32{2, 30, 200, 2000}

// pair identifies a service and a workspace. The workspace is empty for the total
// of the service.
type pair struct {
	service   string
	workspace string
}

// Ledger holds the counts of one VM in memory; a restart of the VM loses them. It
// isn't safe for concurrent use.
type Ledger struct {
	series map[pair]*series
	// refused holds the minutes of the span in which a workspace was refused.
	refused map[string]*minuteSet
	// limit is the largest number of pairs.
	limit int
	// overLimit counts the samples of pairs that didn't fit in the limit.
	overLimit uint64
	// compactedAt is the minute of the last compaction.
	compactedAt uint32
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		series:  map[pair]*series{},
		refused: map[string]*minuteSet{},
		limit:   maxPairs,
	}
}

// minuteOf returns t in minutes since the Unix epoch.
func minuteOf(t time.Time) uint32 { return uint32(t.Unix() / 60) }

// Record counts a sample at the given time.
func (l *Ledger) Record(now time.Time, s *Sample) {
	minute := minuteOf(now)
	l.seriesOf(s.service, "").add(minute, &s.counts)
	if v := l.seriesOf(s.service, s.workspace); v != nil {
		v.add(minute, &s.counts)
	} else {
		l.overLimit++
	}
	if s.counts[Refused].bad == 0 {
		return
	}
	m := l.refused[s.workspace]
	if m == nil {
		m = &minuteSet{}
		l.refused[s.workspace] = m
	}
	m.set(minute)
}

// seriesOf returns the series of a pair, which it creates if necessary, or nil if
// the limit is reached. Totals of services aren't limited.
func (l *Ledger) seriesOf(service, workspace string) *series {
	k := pair{
		service:   service,
		workspace: workspace,
	}
	v := l.series[k]
	if v == nil && (workspace == "" || len(l.series) < l.limit) {
		v = &series{}
		l.series[k] = v
	}
	return v
}

// CompactIfDue compacts the series and removes what is older than the span.
// Call it every minute; it does the work, 63 ms for 33,000 workspaces that are
// busy in every minute, every ten minutes.
func (l *Ledger) CompactIfDue(now time.Time) {
	minute := minuteOf(now)
	if minute-l.compactedAt < resolutions[0].until {
		return
	}
	l.compactedAt = minute
	for k, v := range l.series {
		if v.compact(minute); len(v.rows) == 0 {
			delete(l.series, k)
		}
	}
	for k, m := range l.refused {
		if ageOf(minute, m.last) >= spanMinutes {
			delete(l.refused, k)
		}
	}
}

// OverLimit returns the number of samples that count only for their service,
// because too many workspaces are active.
func (l *Ledger) OverLimit() uint64 { return l.overLimit }

// Pairs returns the number of pairs of service and workspace held.
func (l *Ledger) Pairs() int { return len(l.series) }

// Reply returns the counts for a report. It lists the workspaces that include
// accepts; a nil include accepts all of them if there are at most 1,000 pairs, and
// otherwise none. Refused minutes don't depend on include, but workspaces beyond
// 50,000 runs of refused minutes are omitted.
func (l *Ledger) Reply(now time.Time, vm string, incarnation uint64, include func(workspace string) bool) *wire.BurnReply {
	r := &replyBuilder{
		now: minuteOf(now),
		message: &wire.BurnReply{
			Vm:          vm,
			Incarnation: incarnation,
		},
	}
	if all := len(l.series) <= maxListedPairs; include == nil {
		include = func(string) bool { return all }
	}
	omitted := uint64(0)
	for k, v := range l.series {
		switch {
		case k.workspace == "":
			r.addService(k, v)
		case include(k.workspace):
			r.addWorkspace(k, v)
		default:
			omitted++
		}
	}
	omitted += r.addRefused(l.refused)
	r.add(pair{}, omittedCounter, r.now, 0, omitted)
	r.sort()
	return r.message
}

// replyBuilder collects the counters of a wire message.
type replyBuilder struct {
	// now is the minute of the reply.
	now     uint32
	message *wire.BurnReply
}

// add appends a counter unless it is zero.
func (r *replyBuilder) add(k pair, objective string, minute uint32, good, bad uint64) {
	if good == 0 && bad == 0 {
		return
	}
	r.message.Counters = append(r.message.Counters, &wire.BurnCounter{
		Service:   k.service,
		Workspace: k.workspace,
		Objective: objective,
		Minute:    int64(minute),
		Good:      good,
		Bad:       bad,
	})
}

// addCounts appends a counter for each objective.
func (r *replyBuilder) addCounts(k pair, minute uint32, c *counts) {
	for o, v := range c {
		r.add(k, objectiveNames[o], minute, uint64(v.good), uint64(v.bad))
	}
}

// addService appends the rows of a service's total.
func (r *replyBuilder) addService(k pair, s *series) {
	for i := range s.rows {
		if v := &s.rows[i]; ageOf(r.now, v.middle()) < spanMinutes {
			r.addCounts(k, v.middle(), &v.counts)
		}
	}
}

// addWorkspace appends a workspace's counts as one counter for each window, which
// holds what the window has beyond the next shorter one.
func (r *replyBuilder) addWorkspace(k pair, s *series) {
	var shorter counts
	for i, n := range windows {
		sum := s.sum(r.now, n)
		rest := sum
		for o := range rest {
			rest[o].good -= shorter[o].good
			rest[o].bad -= shorter[o].bad
		}
		r.addCounts(k, r.now-windowAges[i], &rest)
		shorter = sum
	}
}

// addRefused appends the refused minutes of the workspaces and returns the number
// of workspaces that are omitted.
func (r *replyBuilder) addRefused(sets map[string]*minuteSet) uint64 {
	names := make([]string, 0, len(sets))
	for k := range sets {
		names = append(names, k)
	}
	sort.Strings(names)
	first := len(r.message.Counters)
	for i, k := range names {
		if len(r.message.Counters)-first >= maxRefusedRuns {
			return uint64(len(names) - i)
		}
		r.addRefusedRuns(k, sets[k])
	}
	return 0
}

// addRefusedRuns appends the refused minutes of a workspace, one counter for each
// run of adjacent minutes.
func (r *replyBuilder) addRefusedRuns(workspace string, m *minuteSet) {
	k := pair{
		workspace: workspace,
	}
	length := uint64(0)
	for v := r.now - spanMinutes + 1; v <= r.now+1; v++ {
		if v <= r.now && m.has(v) {
			length++
			continue
		}
		r.add(k, refusedMinutesCounter, v-uint32(length), 0, length)
		length = 0
	}
}

// sort orders the counters, so that equal ledgers give equal messages.
func (r *replyBuilder) sort() {
	c := r.message.Counters
	sort.Slice(c, func(i, j int) bool {
		a, b := c[i], c[j]
		switch {
		case a.Service != b.Service:
			return a.Service < b.Service
		case a.Workspace != b.Workspace:
			return a.Workspace < b.Workspace
		case a.Objective != b.Objective:
			return a.Objective < b.Objective
		default:
			return a.Minute < b.Minute
		}
	})
}
