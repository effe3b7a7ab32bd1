package move

import (
	"cmp"
	"slices"
	"time"
)

// Metric is one way in which a request can be bad.
type Metric uint8

// The metrics.
const (
	// Errors counts requests that failed other than by the loss of an engine.
	Errors Metric = iota
	// Truncated counts responses that ended early.
	Truncated
	// SlowFirst counts requests whose first token missed its objective.
	SlowFirst
	// SlowGaps counts requests with a token gap over its objective.
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

// String returns the metric's name in a status.
func (m Metric) String() string { return metricNames[m] }

// LossRoute is the route of rows that report the loss of an engine. Their VM
// and incarnation are the engine's, so that a loss seen by many VMs counts
// once.
const LossRoute = "~loss"

// Counts holds the counters of one row. Counters only grow.
type Counts struct {
	requests uint64
	bad      [Metrics]uint64
}

// NewCounts returns counters.
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

// merge returns the larger of each counter, at least those of c.
func (c Counts) merge(d Counts) Counts {
	c.requests = max(c.requests, d.requests)
	for m := range c.bad {
		c.bad[m] = max(c.bad[m], d.bad[m])
	}
	return c
}

// good returns the requests that are bad by no metric, at most. One request
// can be bad by several.
func (c Counts) good() int64 {
	return int64(c.requests) - int64(min(slices.Max(c.bad[:]), c.requests))
}

// add changes c by the growth from old to next.
func (c *Counts) add(old, next Counts) {
	c.requests += next.requests - old.requests
	for m := range c.bad {
		c.bad[m] += next.bad[m] - old.bad[m]
	}
}

// Key names one row of evidence. It is comparable.
type Key struct {
	vm          string
	incarnation uint64
	service     string
	version     string
	route       string
	class       string
	// minute counts from the Unix epoch.
	minute int64
}

// NewKey returns the key of a VM incarnation's row for the minute of at, the
// time at which the request arrived. Counting by arrival compares requests of
// the same age; by the time of the end, early failures would be compared with
// responses that began long before.
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

// VM returns the name of the VM that counted, or of a lost engine.
func (k Key) VM() string { return k.vm }

// Incarnation returns the incarnation of the VM.
func (k Key) Incarnation() uint64 { return k.incarnation }

// Service returns the service's name.
func (k Key) Service() string { return k.service }

// Version returns the version that served.
func (k Key) Version() string { return k.version }

// Route returns the route, or LossRoute.
func (k Key) Route() string { return k.route }

// Class returns the workspace class.
func (k Key) Class() string { return k.class }

// Minute returns the start of the counting interval in Unix minutes.
func (k Key) Minute() int64 { return k.minute }

// cell is a route and class whose requests are compared with each other.
type cell struct {
	route string
	class string
}

// group is the cell of one service.
type group struct {
	service string
	cell    cell
}

// Set is evidence merged by maximum: adding rows is commutative, associative
// and idempotent. It is owned by one goroutine.
type Set struct {
	rows map[Key]Counts
	// totals sums the rows of all VMs by minute, group and version.
	totals map[int64]map[group]map[string]*Counts
	// losses holds the minutes in which each version of a service lost an
	// engine. Losses in one minute count once, because engines of a failure
	// domain are lost together.
	losses map[string]map[string]map[int64]bool
	// successes counts requests that were bad by no metric, by service and
	// version.
	successes map[[2]string]int64
	// readers are the judges to tell of changed minutes.
	readers []*Judge
	// fresh holds the keys that changed since Fresh returned them.
	fresh map[Key]struct{}
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		rows:      make(map[Key]Counts),
		totals:    make(map[int64]map[group]map[string]*Counts),
		losses:    make(map[string]map[string]map[int64]bool),
		successes: make(map[[2]string]int64),
		fresh:     make(map[Key]struct{}),
	}
}

// Merge raises the row of a key to at least the counts and reports whether
// that changed it.
func (s *Set) Merge(k Key, c Counts) bool {
	old := s.rows[k]
	next := old.merge(c)
	if next == old {
		return false
	}
	s.rows[k] = next
	s.fresh[k] = struct{}{}
	if k.route == LossRoute {
		s.lose(k)
		return true
	}
	s.total(k).add(old, next)
	s.successes[[2]string{k.service, k.version}] += next.good() - old.good()
	for _, j := range s.readers {
		j.touch(k.service, k.minute)
	}
	return true
}

// total returns the counters to which rows of the key add up.
func (s *Set) total(k Key) *Counts {
	groups := s.totals[k.minute]
	if groups == nil {
		groups = make(map[group]map[string]*Counts)
		s.totals[k.minute] = groups
	}
	at := group{
		service: k.service,
		cell: cell{
			route: k.route,
			class: k.class,
		},
	}
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

func (s *Set) lose(k Key) {
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

// Count adds one finished request of this VM to a row.
func (s *Set) Count(k Key, o Outcome) {
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

// Get returns the counters of a key.
func (s *Set) Get(k Key) Counts { return s.rows[k] }

// Len returns the number of rows.
func (s *Set) Len() int { return len(s.rows) }

// Fresh returns up to limit keys that changed since they were last returned,
// newest minutes first, so that a peer gets what matters within a size bound.
func (s *Set) Fresh(limit int) []Key {
	keys := make([]Key, 0, len(s.fresh))
	for k := range s.fresh {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	keys = keys[:min(limit, len(keys))]
	for _, k := range keys {
		delete(s.fresh, k)
	}
	return keys
}

func compare(a, b Key) int {
	return cmp.Or(
		cmp.Compare(b.minute, a.minute),
		cmp.Compare(a.service, b.service),
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.route, b.route),
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.vm, b.vm),
		cmp.Compare(a.incarnation, b.incarnation),
	)
}

// Forget removes the rows before the minute of at, to bound the memory.
func (s *Set) Forget(at time.Time) {
	limit := at.Unix() / 60
	for k := range s.rows {
		if k.minute < limit {
			delete(s.rows, k)
			delete(s.fresh, k)
		}
	}
	for minute := range s.totals {
		if minute < limit {
			delete(s.totals, minute)
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

// Outcome is how one request of a version ended. The zero value is a good one.
type Outcome struct {
	lost bool
	bad  [Metrics]bool
}

// NewOutcome returns the outcome of a request that is bad by the metrics.
func NewOutcome(bad ...Metric) Outcome {
	var o Outcome
	for _, m := range bad {
		o.bad[m] = true
	}
	return o
}

// ByLoss returns a copy of o for a request that an engine loss interrupted. It
// counts neither for nor against the version; the loss has its own row.
func (o Outcome) ByLoss() Outcome {
	o.lost = true
	return o
}
