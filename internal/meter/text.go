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

// ServeHTTP answers a scrape.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	// A scraper that goes away has no use for the error.
	_ = r.Text(w)
}

// Text writes all metrics in the Prometheus text format, sorted by name and
// labels.
func (r *Registry) Text(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, f := range r.sorted() {
		fmt.Fprintf(b, "# HELP %s %s\n# TYPE %s %s\n", f.name, f.help, f.name, f.kind)
		for _, s := range f.list {
			s.text(b, f.name)
		}
	}
	return errors.Wrap(b.Flush(), "write metrics")
}

// listing is a family with its series in order.
type listing struct {
	*family
	list []*series
}

// sorted copies the families, so that writing holds no lock.
func (r *Registry) sorted() []listing {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]listing, 0, len(r.families))
	for _, f := range r.families {
		l := listing{
			family: f,
		}
		for _, s := range f.series {
			l.list = append(l.list, s)
		}
		sort.Slice(l.list, func(i, j int) bool { return l.list[i].labels < l.list[j].labels })
		all = append(all, l)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// text writes the lines of one series.
func (s *series) text(w io.Writer, name string) {
	switch v := s.value.(type) {
	case *Counter:
		sample(w, name, s.labels, strconv.FormatInt(v.Count(), 10))
	case *Gauge:
		sample(w, name, s.labels, number(v.Value()))
	case *Histogram:
		v.text(w, name, s.labels)
	}
}

// text writes the buckets, sum and count. Durations that arrive meanwhile may
// be in the later lines only.
func (h *Histogram) text(w io.Writer, name, labels string) {
	tail := ""
	if labels != "" {
		tail = "," + labels
	}
	for i, b := range bounds {
		sample(w, name+"_bucket", `le="`+number(b)+`"`+tail, strconv.FormatInt(h.buckets[i].Count(), 10))
	}
	total := strconv.FormatInt(h.counts.Count(), 10)
	sample(w, name+"_bucket", `le="+Inf"`+tail, total)
	sample(w, name+"_sum", labels, number(float64(h.micros.Count())/1e6))
	sample(w, name+"_count", labels, total)
}

func sample(w io.Writer, name, labels, value string) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	fmt.Fprintf(w, "%s%s %s\n", name, labels, value)
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// WatchProcess adds gauges for the goroutines and memory of the process and
// for the CPU time of its Go code.
func (r *Registry) WatchProcess() {
	r.Watch("goroutines", "Number of goroutines.", read("/sched/goroutines:goroutines"))
	r.Watch("memory_bytes", "Memory mapped by the Go runtime.", read("/memory/classes/total:bytes"))
	r.Watch("heap_bytes", "Memory of live and unswept objects.", read("/memory/classes/heap/objects:bytes"))
	r.Watch("user_cpu_seconds", "CPU time in Go code, as of the last collection.", read("/cpu/classes/user:cpu-seconds"))
}

// read returns a function that reads one metric of the Go runtime.
func read(name string) func() float64 {
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
