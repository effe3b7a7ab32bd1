package meter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestText guards against unsorted or duplicate series, label values that break
// a line, and buckets that are not cumulative.
func TestText(t *testing.T) {
	datadriven.RunTest(t, "testdata/text", func(t *testing.T, d *datadriven.TestData) string {
		r := New("x")
		for _, l := range strings.Split(d.Input, "\n") {
			f := strings.Fields(l)
			if len(f) < 2 {
				continue
			}
			for i := range f[2:] {
				f[i+2], _ = strconv.Unquote(f[i+2])
			}
			switch d.Cmd {
			case "count":
				r.Counter(f[0], "Counted.", f[2:]...).Add(len(f[1]))
			case "set":
				v, _ := strconv.ParseFloat(f[1], 64)
				r.Gauge(f[0], "Set.", f[2:]...).Set(v)
			case "observe":
				v, _ := time.ParseDuration(f[1])
				r.Histogram(f[0], "Observed.", f[2:]...).Observe(v)
			}
		}
		var b strings.Builder
		if err := r.Text(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	})
}

// TestBound guards against memory that grows with the number of workspaces, and
// against process gauges whose metric does not exist in the Go runtime.
func TestBound(t *testing.T) {
	r := New("x")
	for i := range maxSeries + 10 {
		r.Counter("requests_total", "Requests.", Workspace, fmt.Sprint(i)).Inc()
	}
	if n := r.Counter("requests_total", "", Workspace, "new").Count(); n != 10 {
		t.Errorf("other: got %d, want 10", n)
	}
	r.WatchProcess()
	if v := r.Gauge("memory_bytes", "").Value(); v < 1<<20 {
		t.Errorf("memory: got %g bytes", v)
	}
}
