package feed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clementinelink.example/clementinelink/internal/bulk"
	"github.com/cockroachdb/datadriven"
)

// TestPace guards against messages of requests that wait behind changes of the store
// on the link of the VM that passes those on.
func TestPace(t *testing.T) {
	datadriven.RunTest(t, "testdata/pace", func(t *testing.T, d *datadriven.TestData) string {
		var vms, size int
		var mbps, share float64
		d.ScanArgs(t, "vms", &vms)
		d.ScanArgs(t, "size", &size)
		d.ScanArgs(t, "mbps", &mbps)
		d.ScanArgs(t, "share", &share)
		var out string
		synctest.Test(t, func(t *testing.T) { out = answerAll(t, vms, size, mbps, share) })
		return out
	})
}

// answerAll lets a number of VMs ask at once and reports when the last one has its
// answer, and how long a small message would have waited at most.
func answerAll(t *testing.T, vms, size int, mbps, share float64) string {
	h := bulk.Paced(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n, err := w.Write(make([]byte, size)); n != size || err != nil {
			t.Errorf("%d bytes written: %v", n, err)
		}
	}), mbps, share)
	width := mbps
	if width == 0 {
		width = smallMbps
	}
	w := &linkWriter{
		link: &link{
			mbps: width,
		},
	}
	began := time.Now()
	var asking sync.WaitGroup
	for range vms {
		asking.Go(func() { h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(""))) })
	}
	asking.Wait()
	return fmt.Sprintf("sent %d bytes, the last after %s, small messages wait up to %s\n",
		w.link.sent, w.link.free.Sub(began).Round(time.Millisecond), w.link.held.Round(time.Millisecond))
}

// linkWriter is a response whose body goes over a link.
type linkWriter struct {
	mutex sync.Mutex
	link  *link
}

// Header implements http.ResponseWriter.
func (w *linkWriter) Header() http.Header { return http.Header{} }

// WriteHeader implements http.ResponseWriter.
func (w *linkWriter) WriteHeader(int) {}

// Flush implements http.Flusher.
func (w *linkWriter) Flush() {}

// Write implements io.Writer.
func (w *linkWriter) Write(p []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.link.send(time.Now(), len(p))
	return len(p), nil
}
