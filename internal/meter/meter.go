package meter

import (
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// The label names in use, so that all parts name the same thing alike.
const (
	VM        = "vm"
	Domain    = "domain"
	Region    = "region"
	Workspace = "workspace"
	Upstream  = "upstream"
	Service   = "service"
	Version   = "version"
	Class     = "class"
	Kind      = "kind"
	Outcome   = "outcome"
)

// maxSeries bounds the label values of one metric, at about 300 bytes for each
// counter. A further set of values is counted under the value "other".
const maxSeries = 5000

// other replaces the values of labels beyond the bound.
const other = "other"

// bounds are the upper ends of a histogram's buckets in seconds. They include
// the contracts' defaults: token gap 0.064, first token 0.33, resume 4.
var bounds = [...]float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.064, 0.1, 0.15, 0.33, 0.5, 0.7, 1, 1.5, 2.5, 4, 10, 30, 120, 600}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	prefix string
	// store holds each value under its full name, with labels.
	store metrics.Registry
	// mutex guards families and their series; values need no lock.
	mutex    sync.Mutex
	families map[string]*family
}

// family is the series of one metric name. All have the same kind.
type family struct {
	name   string
	help   string
	kind   string
	series map[string]*series
}

// series is the value for one set of labels.
type series struct {
	labels string
	value  any
}

// New returns a registry whose metric names begin with prefix and an
// underscore.
func New(prefix string) *Registry {
	return &Registry{
		prefix:   prefix,
		store:    metrics.NewRegistry(),
		families: map[string]*family{},
	}
}

// Counter is a number that only grows.
type Counter struct {
	value metrics.Counter
}

// Inc adds one.
func (c *Counter) Inc() { c.value.Inc(1) }

// Add adds n, which is not negative.
func (c *Counter) Add(n int) { c.value.Inc(int64(n)) }

// Count returns the number.
func (c *Counter) Count() int64 { return c.value.Count() }

// Gauge is a number that changes.
type Gauge struct {
	value metrics.GaugeFloat64
}

// Set sets the number.
func (g *Gauge) Set(v float64) { g.value.Update(v) }

// Value returns the number.
func (g *Gauge) Value() float64 { return g.value.Value() }

// Histogram counts durations in buckets from 1 ms to 10 min.
type Histogram struct {
	// buckets holds the durations up to each bound, counts all of them.
	buckets [len(bounds)]metrics.Counter
	counts  metrics.Counter
	// micros is the sum in microseconds.
	micros metrics.Counter
}

// Observe counts one duration. Wider buckets come first and a scrape reads them
// last, so that a scrape never sees a bucket above a wider one.
func (h *Histogram) Observe(d time.Duration) {
	h.counts.Inc(1)
	for i := len(bounds) - 1; i >= 0 && d.Seconds() <= bounds[i]; i-- {
		h.buckets[i].Inc(1)
	}
	h.micros.Inc(d.Microseconds())
}

// Count returns the number of durations.
func (h *Histogram) Count() int64 { return h.counts.Count() }

// Counter returns the counter with the name and labels, which are pairs of
// name and value. The same name and labels return the same counter; hold on to
// it where it is used often. It panics when the name is in use for another
// kind or the labels are not pairs.
func (r *Registry) Counter(name, help string, labels ...string) *Counter {
	return r.find(name, help, "counter", labels, func(full string) any {
		return &Counter{
			value: metrics.GetOrRegisterCounter(full, r.store),
		}
	}).(*Counter)
}

// Gauge returns the gauge with the name and labels, as Counter does.
func (r *Registry) Gauge(name, help string, labels ...string) *Gauge {
	return r.find(name, help, "gauge", labels, func(full string) any {
		return &Gauge{
			value: metrics.GetOrRegisterGaugeFloat64(full, r.store),
		}
	}).(*Gauge)
}

// Watch adds a gauge that calls value for each scrape, from the goroutine of
// the scrape. A second call for the same name and labels has no effect.
func (r *Registry) Watch(name, help string, value func() float64, labels ...string) {
	r.find(name, help, "gauge", labels, func(full string) any {
		return &Gauge{
			value: metrics.NewRegisteredFunctionalGaugeFloat64(full, r.store, value),
		}
	})
}

// Histogram returns the histogram of durations with the name and labels, as
// Counter does. Names end in "_seconds".
func (r *Registry) Histogram(name, help string, labels ...string) *Histogram {
	return r.find(name, help, "histogram", labels, func(full string) any {
		base, tail, _ := strings.Cut(full, "{")
		h := &Histogram{
			counts: metrics.GetOrRegisterCounter(base+"_count{"+tail, r.store),
			micros: metrics.GetOrRegisterCounter(base+"_micros{"+tail, r.store),
		}
		for i, b := range bounds {
			h.buckets[i] = metrics.GetOrRegisterCounter(base+"_bucket{le="+number(b)+","+tail, r.store)
		}
		return h
	}).(*Histogram)
}

// find returns the value of a series, and builds it under its full name on
// first use.
func (r *Registry) find(name, help, kind string, labels []string, build func(full string) any) any {
	if len(labels)%2 != 0 {
		panic(errors.AssertionFailedf("metric %s: labels %q are not pairs", name, labels))
	}
	name = r.prefix + "_" + name
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{
			name:   name,
			help:   help,
			kind:   kind,
			series: map[string]*series{},
		}
		r.families[name] = f
	}
	if f.kind != kind {
		panic(errors.AssertionFailedf("metric %s is a %s, not a %s", name, f.kind, kind))
	}
	return f.get(labels, build).value
}

// get returns the series for the labels, or the one for others when the
// family is full.
func (f *family) get(labels []string, build func(full string) any) *series {
	text := encode(labels)
	if s := f.series[text]; s != nil {
		return s
	}
	if len(f.series) >= maxSeries {
		rest := append([]string{}, labels...)
		for i := 1; i < len(rest); i += 2 {
			rest[i] = other
		}
		if text = encode(rest); f.series[text] != nil {
			return f.series[text]
		}
	}
	s := &series{
		labels: text,
		value:  build(f.name + "{" + text + "}"),
	}
	f.series[text] = s
	return s
}

var escapes = strings.NewReplacer("\\", `\\`, "\"", `\"`, "\n", `\n`)

// encode returns pairs of label name and value in the Prometheus format.
func encode(labels []string) string {
	var b strings.Builder
	for i := 0; i < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i] + `="` + escapes.Replace(labels[i+1]) + `"`)
	}
	return b.String()
}
