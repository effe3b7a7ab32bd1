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

// within is the time limit of a call in a script; a fault that hangs shows as
// "no answer" after it.
const within = 200 * time.Millisecond

// TestScripts guards against a record that differs from what ran: a fault
// before the run that still runs, one after it that doesn't, a lost record.
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
				out.WriteString(do(s.Address(), line))
			}
			return out.String()
		})
	})
}

// do runs one line: a method, a path and a body, or "sleep".
func do(address, line string) string {
	method, rest, _ := strings.Cut(line, " ")
	if method == "sleep" {
		time.Sleep(within)
		return "ok\n"
	}
	path, body, _ := strings.Cut(rest, " ")
	return call(method, "http://"+address+path, body)
}

func call(method, url, body string) string {
	ctx, cancel := context.WithTimeout(context.Background(), within)
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

// TestMain guards against duties that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
