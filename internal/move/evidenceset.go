package move

import (
	"cmp"
	"slices"
	"time"
)

// Metric is a criterion by which a request counts as bad.
type Metric uint8

// The metrics.
const (
	// Errors counts requests that failed for other reasons than the loss of an
	// engine.
	Errors Metric = iota
	// Truncated counts responses that ended before they were complete.
	Truncated
	// SlowFirst counts requests whose first token came later than its objective.
	SlowFirst
	// SlowGaps counts requests with a gap between tokens above its objective.
	SlowGaps
	// Metrics is the number of metrics.
	Metrics
)

var metricNames = [Metrics]string{
	Errors:    "errors",
	Truncated: "truncated",
	SlowFirst: "slow first tokens",
	SlowGaps:  "slow gaps",
}

// String returns the name of the metric for operators.
func (m Metric) String() string { return metricNames[m] }

// LossRoute is the route of rows that report the loss of an engine. Their VM
// and incarnation are those of the engine, so that a loss detected by several
// VMs counts once.
const LossRoute = "~loss"

// Counts holds the counters of one row. Counters only grow.
type Counts struct {
	requests uint64
	bad      [Metrics]uint64
}

// NewCounts returns the counters of a row. A request can be bad by several
// metrics, but is counted once in requests.
func NewCounts(requests, errors, truncated, slowFirst, slowGaps uint64) Counts {
	return Counts{
		requests: requests,
		bad:      [Metrics]uint64{errors, truncated, slowFirst, slowGaps},
	}
}

// Requests returns the number of finished requests.
func (c Counts) Requests() uint64 { return c.requests }

// Bad returns the number of requests that were bad by the metric.
func (c Counts) Bad(m Metric) uint64 { return c.bad[m] }

// merge returns the larger value of each counter of c and d.
func (c Counts) merge(d Counts) Counts {
	c.requests = max(c.requests, d.requests)
	for m := range c.bad {
		c.bad[m] = max(c.bad[m], d.bad[m])
	}
	return c
}

// good returns an upper bound of the number of requests that are bad by no
// metric. It is not exact, since one request can be bad by several.
func (c Counts) good() int64 {
	return int64(c.requests) - int64(min(slices.Max(c.bad[:]), c.requests))
}

// add adds the increase from old to next to c.
func (c *Counts) add(old, next Counts) {
	c.requests += next.requests - old.requests
	for m := range c.bad {
		c.bad[m] += next.bad[m] - old.bad[m]
	}
}

// Key identifies a row of evidence. It is comparable.
type Key struct {
	vm          string
	incarnation uint64
	service     string
	version     string
	route       string
	class       string
	// engine is set only in rows of slow requests, see WithEngine.
	engine string
	// minute counts from the Unix epoch.
	minute int64
}

// NewKey returns the key of a VM incarnation's row for the minute of at, the
// time when the request arrived. Counting by the time of completion would
// compare early failures with responses that began long before.
func NewKey(vm string, incarnation uint64, service, version, route, class string, at time.Time) Key {
	return Key{
		vm:          vm,
		incarnation: incarnation,
		service:     service,
		version:     version,
		route:       route,
		class:       class,
		minute:      at.Unix() / 60,
	}
}

// WithEngine returns a copy of k for the slow requests that an engine served. The
// other requests of the VM are counted without their engine, to keep the rows few.
func (k Key) WithEngine(id string) Key {
	k.engine = id
	return k
}

// Engine returns the engine of slow requests, or "".
func (k Key) Engine() string { return k.engine }

// VM returns the name of the VM that counted the requests or, for LossRoute, of
// the lost engine.
func (k Key) VM() string { return k.vm }

// Incarnation returns the incarnation of that VM. Each restart has its own rows.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Service returns the service's name.
func (k Key) Service() string { return k.service }

// Version returns the version that served the requests.
func (k Key) Version() string { return k.version }

// Route returns the route of the requests, or LossRoute.
func (k Key) Route() string { return k.route }

// Class returns the workspace class.
func (k Key) Class() string { return k.class }

// Minute returns the minute in which the requests arrived, counted from the Unix
// epoch.
func (k Key) Minute() int64 { return k.minute }

// segment is the combination of a route and a class. Only requests of the same
// segment are compared with each other.
type segment struct {
	route string
	class string
}

// group is a segment of one service.
type group struct {
	service string
	segment segment
}

// group returns the group of the row.
func (k Key) group() group {
	return group{
		service: k.service,
		segment: segment{
			route: k.route,
			class: k.class,
		},
	}
}

// engineGroup is the part of a group that one engine of a version served.
type engineGroup struct {
	group   group
	version string
	engine  string
}

// EvidenceSet holds the evidence of all VMs. Rows are merged by the maximum of
// each counter, which is commutative, associative and idempotent, so VMs may
// exchange them in any order and repeatedly. It is owned by one goroutine.
type EvidenceSet struct {
	rows map[Key]Counts
	// totals sums the rows of all VMs by minute, group and version.
	totals map[int64]map[group]map[string]*Counts
	// slow sums the rows of slow requests by minute, group, version and engine.
	slow map[int64]map[engineGroup]*Counts
	// losses holds the minutes in which an engine was lost, by service and
	// version. Losses in one minute count once, because the engines of a
	// failure domain are lost together.
	losses map[string]map[string]map[int64]bool
	// successes counts requests that were bad by no metric, by service and
	// version.
	successes map[[2]string]int64
	// evaluators are notified of changed minutes.
	evaluators []*Evaluator
	// changed holds the keys that changed since TakeChanged returned them.
	changed map[Key]struct{}
}

// NewEvidenceSet returns an empty set.
func NewEvidenceSet() *EvidenceSet {
	return &EvidenceSet{
		rows:      make(map[Key]Counts),
		totals:    make(map[int64]map[group]map[string]*Counts),
		slow:      make(map[int64]map[engineGroup]*Counts),
		losses:    make(map[string]map[string]map[int64]bool),
		successes: make(map[[2]string]int64),
		changed:   make(map[Key]struct{}),
	}
}

// Merge raises each counter of a row to at least the given value and reports
// whether the row changed.
func (s *EvidenceSet) Merge(k Key, c Counts) bool {
	old := s.rows[k]
	next := old.merge(c)
	if next == old {
		return false
	}
	s.rows[k] = next
	s.changed[k] = struct{}{}
	if k.route == LossRoute {
		s.addLoss(k)
		return true
	}
	s.totalOf(k).add(old, next)
	if k.engine != "" {
		s.slowOf(k).add(old, next)
	}
	s.successes[[2]string{k.service, k.version}] += next.good() - old.good()
	for _, e := range s.evaluators {
		e.markChanged(k.service, k.minute)
	}
	return true
}

// slowOf returns the counters that sum the rows of all VMs with the key's minute,
// group, version and engine.
func (s *EvidenceSet) slowOf(k Key) *Counts {
	if s.slow[k.minute] == nil {
		s.slow[k.minute] = make(map[engineGroup]*Counts)
	}
	at := engineGroup{
		group:   k.group(),
		version: k.version,
		engine:  k.engine,
	}
	if s.slow[k.minute][at] == nil {
		s.slow[k.minute][at] = &Counts{}
	}
	return s.slow[k.minute][at]
}

// totalOf returns the counters that sum the rows of all VMs with the key's
// minute, group and version.
func (s *EvidenceSet) totalOf(k Key) *Counts {
	groups := s.totals[k.minute]
	if groups == nil {
		groups = make(map[group]map[string]*Counts)
		s.totals[k.minute] = groups
	}
	at := k.group()
	versions := groups[at]
	if versions == nil {
		versions = make(map[string]*Counts, 2)
		groups[at] = versions
	}
	if versions[k.version] == nil {
		versions[k.version] = &Counts{}
	}
	return versions[k.version]
}

func (s *EvidenceSet) addLoss(k Key) {
	versions := s.losses[k.service]
	if versions == nil {
		versions = make(map[string]map[int64]bool)
		s.losses[k.service] = versions
	}
	if versions[k.version] == nil {
		versions[k.version] = make(map[int64]bool)
	}
	versions[k.version][k.minute] = true
}

// Count adds one finished request of this VM to a row. A request that was
// interrupted by the loss of an engine is not counted.
func (s *EvidenceSet) Count(k Key, o Outcome) {
	if o.lost {
		return
	}
	c := s.rows[k]
	c.requests++
	for m, bad := range o.bad {
		if bad {
			c.bad[m]++
		}
	}
	s.Merge(k, c)
}

// Get returns the counters of a row, or zero counters if there is none.
func (s *EvidenceSet) Get(k Key) Counts { return s.rows[k] }

// Len returns the number of rows.
func (s *EvidenceSet) Len() int { return len(s.rows) }

// TakeChanged returns up to limit keys that changed since they were last
// returned. The newest minutes come first, because they matter most to a peer.
func (s *EvidenceSet) TakeChanged(limit int) []Key {
	keys := make([]Key, 0, len(s.changed))
	for k := range s.changed {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	keys = keys[:min(limit, len(keys))]
	for _, k := range keys {
		delete(s.changed, k)
	}
	return keys
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(b.minute, a.minute),
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.route, b.route),
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.engine, b.engine),
		cmp.Compare(a.vm, b.vm),
		cmp.Compare(a.incarnation, b.incarnation),
	)
}

// Forget removes the rows of all minutes before that of at, to bound the memory.
func (s *EvidenceSet) Forget(at time.Time) {
	limit := at.Unix() / 60
	for k := range s.rows {
		if k.minute < limit {
			delete(s.rows, k)
			delete(s.changed, k)
		}
	}
	for minute := range s.totals {
		if minute < limit {
			delete(s.totals, minute)
			delete(s.slow, minute)
		}
	}
	for _, versions := range s.losses {
		for _, minutes := range versions {
			for m := range minutes {
				if m < limit {
					delete(minutes, m)
				}
			}
		}
	}
}

// Outcome describes how one request ended. The zero value is a good request.
type Outcome struct {
	lost bool
	bad  [Metrics]bool
}

// NewOutcome returns the outcome of a request that is bad by the given metrics.
func NewOutcome(bad ...Metric) Outcome {
	var o Outcome
	for _, m := range bad {
		o.bad[m] = true
	}
	return o
}

// BadMetrics returns the names of the metrics by which the request is bad.
func (o Outcome) BadMetrics() []string {
	var names []string
	for m, bad := range o.bad {
		if bad {
			names = append(names, Metric(m).String())
		}
	}
	return names
}

// Slow reports whether the request was slow.
func (o Outcome) Slow() bool { return o.bad[SlowFirst] || o.bad[SlowGaps] }

// ByLoss returns a copy of o for a request that the loss of an engine
// interrupted. Such a request is not counted; the loss has a row of its own.
func (o Outcome) ByLoss() Outcome {
	o.lost = true
	return o
}
