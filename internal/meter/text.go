package meter

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime/metrics"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ServeHTTP writes all metrics in response to a scrape.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	// An error means that the scraper disconnected, so nobody would get it.
	_ = r.Text(w)
}

// Text writes all metrics in the Prometheus text format, sorted by name and
// labels.
func (r *Registry) Text(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, f := range r.sortedFamilies() {
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", f.name, f.help, f.name, f.kind)
		for _, s := range f.sorted {
			s.write(b, f.name)
		}
	}
	return errors.Wrap(b.Flush(), "write metrics")
}

// sortedFamily is a family with its series sorted by labels.
type sortedFamily struct {
	*family
	sorted []*series
}

// sortedFamilies returns a copy of the families sorted by name, so that the lock
// is not held while they are written.
func (r *Registry) sortedFamilies() []sortedFamily {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]sortedFamily, 0, len(r.families))
	for _, f := range r.families {
		l := sortedFamily{
			family: f,
		}
		for _, s := range f.series {
			l.sorted = append(l.sorted, s)
		}
		sort.Slice(l.sorted, func(i, j int) bool { return l.sorted[i].labels < l.sorted[j].labels })
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// write writes the lines of one series of the metric with the given name.
func (s *series) write(w io.Writer, name string) {
	switch v := s.value.(type) {
	case *Counter:
		writeSample(w, name, s.labels, strconv.FormatInt(v.Count(), 10))
	case *Gauge:
		writeSample(w, name, s.labels, formatFloat(v.Value()))
	case *Histogram:
		v.write(w, name, s.labels)
	}
}

// write writes the buckets, sum and count. Durations that are observed meanwhile
// may be counted in the later lines only.
func (h *Histogram) write(w io.Writer, name, labels string) {
	labelSuffix := ""
	if labels != "" {
		labelSuffix = "," + labels
	}
	for i, b := range bucketBounds {
		writeSample(w, name+"_bucket", `le="`+formatFloat(b)+`"`+labelSuffix, strconv.FormatInt(h.buckets[i].Count(), 10))
	}
	total := strconv.FormatInt(h.count.Count(), 10)
	writeSample(w, name+"_bucket", `le="+Inf"`+labelSuffix, total)
	writeSample(w, name+"_sum", labels, formatFloat(float64(h.sumMicros.Count())/1e6))
	writeSample(w, name+"_count", labels, total)
}

func writeSample(w io.Writer, name, labels, value string) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s %s\n", name, labels, value)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// WatchProcess adds gauges for the goroutines and memory of the process and
// for the CPU time of its Go code.
func (r *Registry) WatchProcess() {
	r.Watch("goroutines", "Number of goroutines.", runtimeMetric("/sched/goroutines:goroutines"))
	r.Watch("memory_bytes", "Memory mapped by the Go runtime.", runtimeMetric("/memory/classes/total:bytes"))
	r.Watch("heap_bytes", "Memory of live and unswept objects.", runtimeMetric("/memory/classes/heap/objects:bytes"))
	r.Watch("user_cpu_seconds", "CPU time in Go code, as of the last collection.", runtimeMetric("/cpu/classes/user:cpu-seconds"))
}

// runtimeMetric returns a function that reads one metric of the Go runtime.
func runtimeMetric(name string) func() float64 {
	return func() float64 {
		s := []metrics.Sample{{
			Name: name,
		}}
		metrics.Read(s)
		switch s[0].Value.Kind() {
		case metrics.KindUint64:
			return float64(s[0].Value.Uint64())
		case metrics.KindFloat64:
			return s[0].Value.Float64()
		default:
			return 0
		}
	}
}
