package simwts_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"clementinelink.example/clementinelink/internal/simwts"
)

// TestFetch guards against a weight store that exceeds its rate or refuses
// without saying when to retry.
func TestFetch(t *testing.T) {
	server := simwts.New(0.001, 2)
	base, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/fetch", func(t *testing.T, td *datadriven.TestData) string {
		out := ""
		for step := range strings.Lines(td.Input) {
			if strings.TrimSpace(step) == "raise-rate" {
				server.SetRate(1000)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			resp, err := http.Get(base + "/weights/drafts/v2")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			out += resp.Status + " " + resp.Header.Get("Retry-After") + "\n"
		}
		return out
	})
	if err := stop(); err != nil {
		t.Error(err)
	}
}
