package simwts_test

import (
	"context"
	"net"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := simwts.New(0.001, 2)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	datadriven.RunTest(t, "testdata/fetch", func(t *testing.T, td *datadriven.TestData) string {
		out := ""
		for step := range strings.Lines(td.Input) {
			if strings.TrimSpace(step) == "wait" {
				server.SetRate(1000)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			resp, err := http.Get("http://" + listener.Addr().String() + "/weights/drafts/v2")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			out += resp.Status + " " + resp.Header.Get("Retry-After") + "\n"
		}
		return out
	})
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
