package burn

import (
	"sort"
	"time"

	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

// defaultTarget applies to a service that isn't in the configuration any more.
const defaultTarget = 0.95

// refusedTarget is the share of requests that must not be refused. The target of
// the contract concerns speed and would allow one refusal in twenty requests.
const refusedTarget = 0.999

// fastRate and slowRate are burn rates that require action: fastRate uses 2% of a
// 30-day budget within an hour, slowRate all of it within 30 days.
const (
	fastRate = 14.4
	slowRate = 1
)

// windowTotals holds the outcomes of one objective in each window.
type windowTotals struct {
	good [len(windows)]uint64
	bad  [len(windows)]uint64
}

// outcomes holds the outcomes of one objective in one interval.
type outcomes struct {
	good uint64
	bad  uint64
}

// lineKey identifies one row of a report.
type lineKey struct {
	pair      pair
	objective Objective
}

// Report holds the burn rates of all services and workspaces, merged across VMs.
// It doesn't change after Merge.
type Report struct {
	now      uint32
	config   *world.Config
	answered []string
	silent   []string
	// omitted is the largest number of workspaces that one VM left out.
	omitted uint64
	lines   map[lineKey]*windowTotals
	refused map[string]*minuteSet
	// series holds the outcomes of each service's total by the start of the
	// interval.
	series map[lineKey]map[uint32]*outcomes
}

// Merge returns the report of the VMs that replied; silent lists the VMs that did
// not answer. Only the first reply of each incarnation of a VM counts. config
// provides the targets and may be nil.
func Merge(now time.Time, config *world.Config, replies []*wire.BurnReply, silent []string) *Report {
	r := &Report{
		now:     minuteOf(now),
		config:  config,
		silent:  append([]string{}, silent...),
		lines:   map[lineKey]*windowTotals{},
		refused: map[string]*minuteSet{},
		series:  map[lineKey]map[uint32]*outcomes{},
	}
	type sender struct {
		vm          string
		incarnation uint64
	}
	seen := map[sender]bool{}
	for _, v := range replies {
		k := sender{
			vm:          v.GetVm(),
			incarnation: v.GetIncarnation(),
		}
		if seen[k] {
			continue
		}
		seen[k] = true
		r.answered = append(r.answered, v.GetVm())
		for _, c := range v.GetCounters() {
			r.addCounter(c)
		}
	}
	sort.Strings(r.answered)
	sort.Strings(r.silent)
	return r
}

// addCounter adds one counter of a reply.
func (r *Report) addCounter(c *wire.BurnCounter) {
	minute := uint32(c.GetMinute())
	switch c.GetObjective() {
	case refusedMinutesCounter:
		r.addRefusedRun(c.GetWorkspace(), minute, uint32(min(c.GetBad(), spanMinutes)))
		return
	case omittedCounter:
		r.omitted = max(r.omitted, c.GetBad())
		return
	}
	o, ok := parseObjective(c.GetObjective())
	if !ok {
		// A newer VM may count more objectives.
		return
	}
	k := lineKey{
		pair: pair{
			service:   c.GetService(),
			workspace: c.GetWorkspace(),
		},
		objective: o,
	}
	t := r.lines[k]
	if t == nil {
		t = &windowTotals{}
		r.lines[k] = t
	}
	age := ageOf(r.now, minute)
	for i, n := range windows {
		if age < n {
			t.good[i] += c.GetGood()
			t.bad[i] += c.GetBad()
		}
	}
	if c.GetWorkspace() == "" {
		r.addToSeries(k, minute, age, c)
	}
}

// addRefusedRun adds a run of refused minutes of a workspace.
func (r *Report) addRefusedRun(workspace string, from, length uint32) {
	m := r.refused[workspace]
	if m == nil {
		m = &minuteSet{}
		r.refused[workspace] = m
	}
	for v := from; v < from+length; v++ {
		m.set(v)
	}
}

// addToSeries adds a counter of a service's total to its series for the plot.
func (r *Report) addToSeries(k lineKey, minute, age uint32, c *wire.BurnCounter) {
	start, _, ok := align(minute, age)
	if !ok {
		return
	}
	if r.series[k] == nil {
		r.series[k] = map[uint32]*outcomes{}
	}
	p := r.series[k][start]
	if p == nil {
		p = &outcomes{}
		r.series[k][start] = p
	}
	p.good += c.GetGood()
	p.bad += c.GetBad()
}

// Answered returns the sorted names of the VMs whose counts are in the report.
func (r *Report) Answered() []string { return r.answered }

// Silent returns the sorted names of the VMs that did not answer. Their requests
// and refused minutes are missing from the report.
func (r *Report) Silent() []string { return r.silent }

// RefusedMinutes returns the number of minutes of the last three days in which
// the workspace was refused on at least one VM.
func (r *Report) RefusedMinutes(workspace string) int {
	m := r.refused[workspace]
	if m == nil {
		return 0
	}
	return m.count(r.now, spanMinutes)
}

// Rate returns the burn rate of an objective in the window, which is "5m",
// "1h", "6h" or "3d". The workspace is empty for the whole service. ok is
// false when there was no outcome.
func (r *Report) Rate(service, workspace string, o Objective, window string) (rate float64, ok bool) {
	k := lineKey{
		pair: pair{
			service:   service,
			workspace: workspace,
		},
		objective: o,
	}
	t := r.lines[k]
	for i, n := range windowNames {
		if n == window && t != nil && t.good[i]+t.bad[i] > 0 {
			return r.rate(k, t.good[i], t.bad[i]), true
		}
	}
	return 0, false
}

// target returns the share of good outcomes that a line has to reach.
func (r *Report) target(k lineKey) float64 {
	if k.objective == Refused {
		return refusedTarget
	}
	if r.config != nil {
		if s := r.config.Service(k.pair.service); s != nil {
			return s.Contract().Target()
		}
	}
	return defaultTarget
}

// rate returns the burn rate. A target of 1 leaves no budget; its burn rate is
// calculated with a budget of one request in a million.
func (r *Report) rate(k lineKey, good, bad uint64) float64 {
	if bad == 0 {
		return 0
	}
	budget := max(1-r.target(k), 1e-6)
	return float64(bad) / float64(good+bad) / budget
}

// state returns whether the rates require action: "fast", "slow" or "ok". Of the
// two windows of each rule, the longer one shows that the loss is significant,
// and the shorter one that it continues.
func (r *Report) state(rates [len(windows)]float64) string {
	switch {
	case rates[0] >= fastRate && rates[1] >= fastRate:
		return "fast"
	case rates[2] >= slowRate && rates[3] >= slowRate:
		return "slow"
	default:
		return "ok"
	}
}

// sortedLines returns the lines with the totals of services first.
func (r *Report) sortedLines() []lineKey {
	list := make([]lineKey, 0, len(r.lines))
	for k := range r.lines {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		switch {
		case (a.pair.workspace == "") != (b.pair.workspace == ""):
			return a.pair.workspace == ""
		case a.pair.service != b.pair.service:
			return a.pair.service < b.pair.service
		case a.pair.workspace != b.pair.workspace:
			return a.pair.workspace < b.pair.workspace
		default:
			return a.objective < b.objective
		}
	})
	return list
}
