package simsvc_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"clementinelink.example/clementinelink/internal/simsvc"
	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
)

// callTimeout is the time limit of a call in a script. A call that hangs shows as
// "no answer".
const callTimeout = 200 * time.Millisecond

// TestScripts guards against a record that differs from the calls that ran: a
// call that runs in spite of a fault before it, one that doesn't run although its
// fault comes after it, and a lost record.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := simsvc.New("p1", simsvc.WithSlots(1))
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				out.WriteString(runLine(s.Address(), line))
			}
			return out.String()
		})
	})
}

// runLine runs one line of a script: a method, a path and a body, or "sleep".
func runLine(address, line string) string {
	method, rest, _ := strings.Cut(line, " ")
	if method == "sleep" {
		time.Sleep(callTimeout)
		return "ok\n"
	}
	path, body, _ := strings.Cut(rest, " ")
	return call(method, "http://"+address+path, body)
}

func call(method, url, body string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return "no answer\n"
		}
		return "reset\n"
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "reset\n"
	}
	if resp.Header.Get("X-Not-Run") == "true" {
		return fmt.Sprintf("%d not run\n", resp.StatusCode)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.ReplaceAll(string(text), "},", "},\n"))
}

// TestMain guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
