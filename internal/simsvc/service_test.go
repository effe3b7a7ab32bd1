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
			if d.Cmd == "sleep" {
				time.Sleep(within)
				return ""
			}
			return call(s.Address(), d)
		})
	})
}

// call sends the command as a method with the path of the first argument.
func call(address string, d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	url := "http://" + address + d.CmdArgs[0].Key
	r, err := http.NewRequestWithContext(ctx, strings.ToUpper(d.Cmd), url, strings.NewReader(d.Input))
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
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "reset\n"
	}
	if resp.Header.Get("X-Not-Run") == "true" {
		return fmt.Sprintf("%d not run\n", resp.StatusCode)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.ReplaceAll(string(body), "},", "},\n"))
}
