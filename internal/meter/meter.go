package meter

import (
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// The label names, so that all packages use the same name for the same thing.
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

// maxSeries bounds the number of series of one metric; each counter takes about
// 300 bytes. Further sets of label values share a series with the value "other".
const maxSeries = 5000

// otherValue replaces the label values of further series of a metric that
// already has maxSeries of them.
const otherValue = "other"

// bucketBounds are the upper bounds of a histogram's buckets in seconds. They
// include the defaults of contracts: token gap 0.064, first token 0.33 and
// resume 4.
var bucketBounds = [...]float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.064, 0.1, 0.15, 0.33, 0.5, 0.7, 1, 1.5, 2.5, 4, 10, 30, 120, 600}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	prefix string
	// store holds each value under its full name, with labels.
	store metrics.Registry
	// mutex guards families and their series. The values are safe for
	// concurrent use without it.
	mutex    sync.Mutex
	families map[string]*family
}

// family holds the series of one metric, which all have the same kind.
type family struct {
	name   string
	help   string
	kind   string
	series map[string]*series
}

// series is the value for one set of labels: a *Counter, *Gauge or *Histogram.
type series struct {
	labels string
	value  any
}

// New returns an empty registry. The names of its metrics get prefix and an
// underscore in front.
func New(prefix string) *Registry {
	return &Registry{
		prefix:   prefix,
		store:    metrics.NewRegistry(),
		families: map[string]*family{},
	}
}

// Counter is a number that only grows. It is safe for concurrent use.
type Counter struct {
	value metrics.Counter
}

// Inc adds one.
func (c *Counter) Inc() { c.value.Inc(1) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int) { c.value.Inc(int64(n)) }

// Count returns the present value.
func (c *Counter) Count() int64 { return c.value.Count() }

// Gauge is a number that can go up and down. It is safe for concurrent use.
type Gauge struct {
	value metrics.GaugeFloat64
}

// Set sets the value.
func (g *Gauge) Set(v float64) { g.value.Update(v) }

// Value returns the present value.
func (g *Gauge) Value() float64 { return g.value.Value() }

// Histogram counts durations in buckets from 1 ms to 10 min. It is safe for
// concurrent use.
type Histogram struct {
	// buckets counts the durations up to each bound, count all of them.
	buckets [len(bucketBounds)]metrics.Counter
	count   metrics.Counter
	// sumMicros is the sum of all durations in microseconds.
	sumMicros metrics.Counter
}

// Observe counts one duration. It updates wider buckets first and a scrape reads
// them last, so that a scrape never finds a higher count in a narrower bucket.
func (h *Histogram) Observe(d time.Duration) {
	h.count.Inc(1)
	for i := len(bucketBounds) - 1; i >= 0 && d.Seconds() <= bucketBounds[i]; i-- {
		h.buckets[i].Inc(1)
	}
	h.sumMicros.Inc(d.Microseconds())
}

// Count returns the number of observed durations.
func (h *Histogram) Count() int64 { return h.count.Count() }

// Counter returns the counter with the given name and labels, which are pairs of
// name and value, and creates it on first use. Keep a counter that is used
// often, because the lookup takes a lock. Counter panics if the name belongs to
// a metric of another kind or the labels are not pairs.
func (r *Registry) Counter(name, help string, labels ...string) *Counter {
	return r.findOrAdd(name, help, "counter", labels, func(full string) any {
		return &Counter{
			value: metrics.GetOrRegisterCounter(full, r.store),
		}
	}).(*Counter)
}

// Gauge returns the gauge with the name and labels, as Counter does.
func (r *Registry) Gauge(name, help string, labels ...string) *Gauge {
	return r.findOrAdd(name, help, "gauge", labels, func(full string) any {
		return &Gauge{
			value: metrics.GetOrRegisterGaugeFloat64(full, r.store),
		}
	}).(*Gauge)
}

// Watch adds a gauge whose value is the result of calling value during each
// scrape, from the scrape's goroutine. A second call with the same name and
// labels has no effect.
func (r *Registry) Watch(name, help string, value func() float64, labels ...string) {
	r.findOrAdd(name, help, "gauge", labels, func(full string) any {
		return &Gauge{
			value: metrics.NewRegisteredFunctionalGaugeFloat64(full, r.store, value),
		}
	})
}

// Histogram returns the histogram of durations with the name and labels, as
// Counter does. The name should end in "_seconds".
func (r *Registry) Histogram(name, help string, labels ...string) *Histogram {
	return r.findOrAdd(name, help, "histogram", labels, func(full string) any {
		base, labelSuffix, _ := strings.Cut(full, "{")
		h := &Histogram{
			count:     metrics.GetOrRegisterCounter(base+"_count{"+labelSuffix, r.store),
			sumMicros: metrics.GetOrRegisterCounter(base+"_micros{"+labelSuffix, r.store),
		}
		for i, b := range bucketBounds {
			h.buckets[i] = metrics.GetOrRegisterCounter(base+"_bucket{le="+formatFloat(b)+","+labelSuffix, r.store)
		}
		return h
	}).(*Histogram)
}

// findOrAdd returns the value of a series. On first use it calls build with the
// full name, which includes the labels.
func (r *Registry) findOrAdd(name, help, kind string, labels []string, build func(full string) any) any {
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
	return f.findOrAdd(labels, build).value
}

// findOrAdd returns the series for the labels, or the shared one with the value
// "other" if the family is full.
func (f *family) findOrAdd(labels []string, build func(full string) any) *series {
	text := encodeLabels(labels)
	if s := f.series[text]; s != nil {
		return s
	}
	if len(f.series) >= maxSeries {
		overflow := append([]string{}, labels...)
		for i := 1; i < len(overflow); i += 2 {
			overflow[i] = otherValue
		}
		if text = encodeLabels(overflow); f.series[text] != nil {
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

var labelEscaper = strings.NewReplacer("\\", `\\`, "\"", `\"`, "\n", `\n`)

// encodeLabels returns the labels in the Prometheus format, without braces.
func encodeLabels(labels []string) string {
	var b strings.Builder
	for i := 0; i < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i] + `="` + labelEscaper.Replace(labels[i+1]) + `"`)
	}
	return b.String()
}
