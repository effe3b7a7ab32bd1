package burn

import (
	"sort"
	"time"

	"clementinelink.example/clementinelink/internal/wire"
	"clementinelink.example/clementinelink/internal/world"
)

// defaultTarget applies to a service that the configuration no longer has.
const defaultTarget = 0.95

// refusedTarget is the share of requests that must not be refused. The
// contract's target is for speed and would allow one refusal in twenty.
const refusedTarget = 0.999

// fastRate and slowRate are burn rates that call for action: the first uses 2%
// of a 30-day budget within an hour, the second all of it within 30 days.
const (
	fastRate = 14.4
	slowRate = 1
)

// tally is the outcomes of one objective in each window.
type tally struct {
	good [len(windows)]uint64
	bad  [len(windows)]uint64
}

// point is the outcomes of one objective in one row of time.
type point struct {
	good uint64
	bad  uint64
}

// line names one row of a report.
type line struct {
	pair      pair
	objective Objective
}

// Report is the burn of all services, merged across VMs.
type Report struct {
	now      uint32
	config   *world.Map
	answered []string
	silent   []string
	// omitted is the largest number of workspaces that one VM left out.
	omitted uint64
	lines   map[line]*tally
	refused map[string]*minutes
	// series holds the rows of each service's total by their start.
	series map[line]map[uint32]*point
}

// Merge returns the report of the VMs that replied; silent names the VMs that
// did not answer. The configuration gives the targets and may be nil.
func Merge(now time.Time, config *world.Map, replies []*wire.BurnReply, silent []string) *Report {
	r := &Report{
		now:     minuteOf(now),
		config:  config,
		silent:  append([]string{}, silent...),
		lines:   map[line]*tally{},
		refused: map[string]*minutes{},
		series:  map[line]map[uint32]*point{},
	}
	type start struct {
		vm          string
		incarnation uint64
	}
	seen := map[start]bool{}
	for _, v := range replies {
		k := start{
			vm:          v.GetVm(),
			incarnation: v.GetIncarnation(),
		}
		if seen[k] {
			continue
		}
		seen[k] = true
		r.answered = append(r.answered, v.GetVm())
		for _, c := range v.GetCounters() {
			r.take(c)
		}
	}
	sort.Strings(r.answered)
	sort.Strings(r.silent)
	return r
}

// take adds one counter.
func (r *Report) take(c *wire.BurnCounter) {
	minute := uint32(c.GetMinute())
	switch c.GetObjective() {
	case minutesName:
		r.refuse(c.GetWorkspace(), minute, uint32(min(c.GetBad(), span)))
		return
	case omittedName:
		r.omitted = max(r.omitted, c.GetBad())
		return
	}
	o, ok := named(c.GetObjective())
	if !ok {
		// A newer VM may count more objectives.
		return
	}
	k := line{
		pair: pair{
			service:   c.GetService(),
			workspace: c.GetWorkspace(),
		},
		objective: o,
	}
	t := r.lines[k]
	if t == nil {
		t = &tally{}
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
		r.plotted(k, minute, age, c)
	}
}

// refuse adds a run of refused minutes of a workspace.
func (r *Report) refuse(workspace string, from, length uint32) {
	m := r.refused[workspace]
	if m == nil {
		m = &minutes{}
		r.refused[workspace] = m
	}
	for v := from; v < from+length; v++ {
		m.set(v)
	}
}

// plotted adds a counter to the series of a service.
func (r *Report) plotted(k line, minute, age uint32, c *wire.BurnCounter) {
	start, _, ok := align(minute, age)
	if !ok {
		return
	}
	if r.series[k] == nil {
		r.series[k] = map[uint32]*point{}
	}
	p := r.series[k][start]
	if p == nil {
		p = &point{}
		r.series[k][start] = p
	}
	p.good += c.GetGood()
	p.bad += c.GetBad()
}

// Answered returns the names of the VMs that the report counts, sorted.
func (r *Report) Answered() []string { return r.answered }

// Silent returns the names of the VMs that did not answer, sorted. Their
// requests and refused minutes are missing from the report.
func (r *Report) Silent() []string { return r.silent }

// RefusedMinutes returns the number of minutes of the last three days in which
// the workspace was refused on at least one VM.
func (r *Report) RefusedMinutes(workspace string) int {
	m := r.refused[workspace]
	if m == nil {
		return 0
	}
	return m.count(r.now, span)
}

// Rate returns the burn rate of an objective in the window, which is "5m",
// "1h", "6h" or "3d". The workspace is empty for the whole service. ok is
// false when there was no request.
func (r *Report) Rate(service, workspace string, o Objective, window string) (rate float64, ok bool) {
	k := line{
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

func (r *Report) target(k line) float64 {
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

// rate returns the burn rate. A target of 1 has no budget; its burn rate is
// stated as if the budget were one request in a million.
func (r *Report) rate(k line, good, bad uint64) float64 {
	if bad == 0 {
		return 0
	}
	budget := max(1-r.target(k), 1e-6)
	return float64(bad) / float64(good+bad) / budget
}

// state tells whether the rates call for action. A long window shows that the
// loss matters, the shorter one that it still goes on.
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

// sorted returns the lines with the totals of services first.
func (r *Report) sorted() []line {
	list := make([]line, 0, len(r.lines))
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
