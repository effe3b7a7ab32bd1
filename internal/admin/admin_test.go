package admin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/burn"
	"clementinelink.example/clementinelink/internal/meter"
)

// TestPaths guards against a readiness probe that succeeds during a shutdown,
// and against a burn report in another format than requested.
func TestPaths(t *testing.T) {
	ready := true
	m := meter.New("x")
	m.Counter("moves_total", "Moves.").Inc()
	s := New(func() bool { return ready }, func() any { return map[string]int{"revision": 7} }, m,
		func(context.Context) *burn.Report { return burn.Merge(time.Unix(60, 0), nil, nil, []string{"vm-3"}) }).
		WithRoute("POST", "/apply", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	h := s.Handler()
	datadriven.RunTest(t, "testdata/paths", func(_ *testing.T, d *datadriven.TestData) string {
		ready = !d.HasArg("leaving")
		var out strings.Builder
		for _, l := range strings.Split(d.Input, "\n") {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(d.Cmd, l, nil))
			body := strings.ReplaceAll(strings.TrimSpace(w.Body.String()), "\n", "|")
			fmt.Fprintf(&out, "%d %s %.33q\n", w.Code, w.Header().Get("Content-Type"), body)
		}
		return out.String()
	})
}
