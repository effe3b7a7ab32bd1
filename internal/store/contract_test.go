package store_test

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/store"
)

// adapter is one store under test, with the client that calls it and the
// injection of faults.
type adapter struct {
	client      *store.Client
	injectFault func(t *testing.T, fault string)
	stats       func() simkv.Stats
	leases      map[string]string
	// era replaces the era in the store's answers, unless it is "". "none" removes it.
	era string
	// pending receives the result of the step that runs beside the others.
	pending chan string
}

// adapters lists the stores that must pass the contract tests.
var adapters = map[string]func(t *testing.T, reads, writes float64) *adapter{
	"simkv": openSimulator,
}

// TestContract guards against a client or store that misreports the outcome of
// a call, with and without faults. All adapters run the same scripts.
func TestContract(t *testing.T) {
	for name, open := range adapters {
		t.Run(name, func(t *testing.T) {
			datadriven.Walk(t, "testdata/contract", func(t *testing.T, path string) {
				reads, writes := float64(simkv.DefaultReads), float64(simkv.DefaultWrites)
				if filepath.Base(path) == "rate.txt" {
					reads, writes = 1, 1
				}
				r := open(t, reads, writes)
				datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
					var out strings.Builder
					for line := range strings.Lines(td.Input) {
						var results []string
						for _, step := range strings.Split(line, ";") {
							results = append(results, r.runStep(t, step))
						}
						fmt.Fprintln(&out, strings.Join(results, "; "))
					}
					return out.String()
				})
			})
		})
	}
}

func openSimulator(t *testing.T, reads, writes float64) *adapter {
	server := simkv.New().WithRates(reads, writes)
	base, stop, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	a := &adapter{
		injectFault: func(t *testing.T, fault string) { post(t, base+"/fault", fault) },
		stats:       server.Stats,
		leases:      map[string]string{},
		pending:     make(chan string, 1),
	}
	a.client = store.New(base, 1).WithBudget(1000, 1000).WithDeadline(500 * time.Millisecond).WithSend(a.send)
	return a
}

// send performs a request and spoils the era in its answer, if the script says so.
func (a *adapter) send(req *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(req)
	switch {
	case err != nil || a.era == "":
	case a.era == "none":
		resp.Header.Del("Era")
	default:
		resp.Header.Set("Era", a.era)
	}
	return resp, err
}

func post(t *testing.T, url, body string) {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %d", body, resp.StatusCode)
	}
}

func (a *adapter) runStep(t *testing.T, line string) string {
	if beside, ok := strings.CutPrefix(strings.TrimSpace(line), "beside "); ok {
		go func() { a.pending <- a.runStep(t, beside) }()
		return "-"
	}
	ctx := context.Background()
	cmd, args, err := datadriven.ParseLine(line)
	if err != nil {
		t.Fatal(err)
	}
	step := &datadriven.TestData{
		Cmd:     cmd,
		CmdArgs: args,
	}
	var key, value, lease, expectText, afterText string
	var ms, size int64
	step.MaybeScanArgs(t, "key", &key)
	step.MaybeScanArgs(t, "value", &value)
	step.MaybeScanArgs(t, "lease", &lease)
	step.MaybeScanArgs(t, "expect", &expectText)
	step.MaybeScanArgs(t, "after", &afterText)
	expect, after := position(t, expectText), position(t, afterText)
	step.MaybeScanArgs(t, "ms", &ms)
	if step.MaybeScanArgs(t, "size", &size) {
		value = strings.Repeat("x", int(size))
	}
	wait := time.Duration(ms) * time.Millisecond
	switch cmd {
	case "put":
		revision, err := a.client.Put(ctx, key, []byte(value), expect, a.leases[lease])
		return resultText(err, "revision %s", store.Text(revision))
	case "confirm":
		revision, err := a.client.PutConfirmed(ctx, key, []byte(value), expect, a.leases[lease], func(e store.Entry) bool { return string(e.Value()) == value })
		return resultText(err, "revision %s", store.Text(revision))
	case "get":
		e, err := a.client.Get(ctx, key)
		return resultText(err, "%q revision %s", e.Value(), store.Text(e.Revision()))
	case "delete":
		return resultText(a.client.Delete(ctx, key, expect), "ok")
	case "list":
		entries, revision, err := a.client.List(ctx, key)
		var b strings.Builder
		for _, e := range entries {
			fmt.Fprintf(&b, "%s=%s at %s, ", e.Key(), e.Value(), store.Text(e.Revision()))
		}
		return resultText(err, "%srevision %s", b.String(), store.Text(revision))
	case "watch":
		events, revision, err := a.client.Watch(ctx, key, after, wait)
		var b strings.Builder
		for _, e := range events {
			fmt.Fprintf(&b, "%s=%s at %s deleted=%t, ", e.Entry().Key(), e.Entry().Value(), store.Text(e.Entry().Revision()), e.Deleted())
		}
		return resultText(err, "%snext revision %s", b.String(), store.Text(revision))
	case "grant":
		id, err := a.client.Grant(ctx, wait)
		a.leases[lease] = id
		return resultText(err, "ok")
	case "renew":
		return resultText(a.client.Renew(ctx, a.leases[lease]), "ok")
	case "revoke":
		return resultText(a.client.Revoke(ctx, a.leases[lease]), "ok")
	case "sleep":
		time.Sleep(wait)
		return "-"
	case "fault":
		var fields []string
		for _, arg := range args {
			field := arg.Vals[0]
			if _, err := strconv.ParseFloat(field, 64); err != nil {
				field = strconv.Quote(field)
			}
			fields = append(fields, strconv.Quote(arg.Key)+": "+field)
		}
		a.injectFault(t, "{"+strings.Join(fields, ", ")+"}")
		return "-"
	case "result":
		return <-a.pending
	case "era":
		a.era = ""
		step.MaybeScanArgs(t, "is", &a.era)
		return "-"
	case "writes":
		return fmt.Sprintf("%d writes", a.stats().Writes())
	}
	t.Fatalf("unknown command %s", cmd)
	return ""
}

// position parses a revision, or a position "ERA:REVISION"; "" is 0.
func position(t *testing.T, text string) uint64 {
	if text == "" {
		return 0
	}
	era, number, ok := strings.Cut(text, ":")
	if !ok {
		era, number = "0", text
	}
	e, err := strconv.ParseUint(era, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return store.Position(e, n)
}

// resultText returns the name of the error, or the formatted result.
func resultText(err error, format string, args ...any) string {
	names := map[string]error{
		"conflict":    store.ErrConflict,
		"unavailable": store.ErrUnavailable,
		"unknown":     store.ErrUnknown,
		"too large":   store.ErrTooLarge,
		"compacted":   store.ErrCompacted,
		"expired":     store.ErrExpired,
		"rejected":    store.ErrRejected,
	}
	if err == nil {
		return fmt.Sprintf(format, args...)
	}
	found := []string{}
	for name, e := range names {
		if errors.Is(err, e) {
			found = append(found, name)
		}
	}
	if len(found) != 1 {
		return "not exactly one kind: " + err.Error()
	}
	return found[0]
}
