package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/store"
)

// rig is one store adapter under test with its faults.
type rig struct {
	client *store.Client
	inject func(t *testing.T, fault map[string]any)
	stats  func() simkv.Stats
	leases map[string]string
}

// rigs lists the adapters that must pass the contract.
var rigs = map[string]func(t *testing.T, reads, writes float64) *rig{
	"simkv": openSim,
}

// TestContract guards the meaning of each answer of a store adapter, with and
// without faults; the scripts are the same for all adapters.
func TestContract(t *testing.T) {
	for name, open := range rigs {
		t.Run(name, func(t *testing.T) {
			datadriven.Walk(t, "testdata/contract", func(t *testing.T, path string) {
				r := open(t, simkv.DefaultReads, simkv.DefaultWrites)
				datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
					var out strings.Builder
					for line := range strings.Lines(td.Input) {
						cmd, args, err := datadriven.ParseLine(line)
						if err != nil {
							t.Fatal(err)
						}
						step := &datadriven.TestData{
							Cmd:     cmd,
							CmdArgs: args,
						}
						if cmd == "open" {
							var reads, writes float64
							step.ScanArgs(t, "reads", &reads)
							step.ScanArgs(t, "writes", &writes)
							r = open(t, reads, writes)
							continue
						}
						out.WriteString(r.run(t, step))
					}
					return out.String()
				})
			})
		})
	}
}

func openSim(t *testing.T, reads, writes float64) *rig {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := simkv.New().WithRates(reads, writes)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	base := "http://" + listener.Addr().String()
	return &rig{
		client: store.New(base, 1).WithBudget(1000, 1000).WithDeadline(500 * time.Millisecond),
		inject: func(t *testing.T, fault map[string]any) { post(t, base+"/fault", fault) },
		stats:  server.Stats,
		leases: map[string]string{},
	}
}

func post(t *testing.T, url string, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %d", b, resp.StatusCode)
	}
}

func (r *rig) run(t *testing.T, step *datadriven.TestData) string {
	ctx := context.Background()
	var key, value, lease string
	var expect, after uint64
	var ms, size int64
	step.MaybeScanArgs(t, "key", &key)
	step.MaybeScanArgs(t, "value", &value)
	step.MaybeScanArgs(t, "lease", &lease)
	step.MaybeScanArgs(t, "expect", &expect)
	step.MaybeScanArgs(t, "after", &after)
	step.MaybeScanArgs(t, "ms", &ms)
	if step.MaybeScanArgs(t, "size", &size) {
		value = strings.Repeat("x", int(size))
	}
	wait := time.Duration(ms) * time.Millisecond
	switch step.Cmd {
	case "put":
		revision, err := r.client.Put(ctx, key, []byte(value), expect, r.leases[lease])
		return show(err, "revision %d", revision)
	case "confirm":
		revision, err := r.client.PutConfirmed(ctx, key, []byte(value), expect, r.leases[lease], func(e store.Entry) bool { return string(e.Value()) == value })
		return show(err, "revision %d", revision)
	case "get":
		e, err := r.client.Get(ctx, key)
		return show(err, "%q revision %d", e.Value(), e.Revision())
	case "delete":
		return show(r.client.Delete(ctx, key, expect), "ok")
	case "list":
		entries, revision, err := r.client.List(ctx, key)
		var b strings.Builder
		for _, e := range entries {
			fmt.Fprintf(&b, "%s=%s at %d\n", e.Key(), e.Value(), e.Revision())
		}
		return show(err, "%srevision %d", b.String(), revision)
	case "watch":
		events, revision, err := r.client.Watch(ctx, key, after, wait)
		var b strings.Builder
		for _, e := range events {
			fmt.Fprintf(&b, "%s=%s at %d gone=%t\n", e.Entry().Key(), e.Entry().Value(), e.Entry().Revision(), e.Gone())
		}
		return show(err, "%sgo on after %d", b.String(), revision)
	case "grant":
		id, err := r.client.Grant(ctx, wait)
		r.leases[lease] = id
		return show(err, "ok")
	case "renew":
		return show(r.client.Renew(ctx, r.leases[lease]), "ok")
	case "revoke":
		return show(r.client.Revoke(ctx, r.leases[lease]), "ok")
	case "sleep":
		time.Sleep(wait)
		return ""
	case "fault":
		fault := map[string]any{}
		for _, arg := range step.CmdArgs {
			fault[arg.Key] = arg.Vals[0]
			if n, err := strconv.ParseFloat(arg.Vals[0], 64); err == nil {
				fault[arg.Key] = n
			}
		}
		r.inject(t, fault)
		return ""
	case "writes":
		return fmt.Sprintf("%d writes\n", r.stats().Writes())
	}
	t.Fatalf("unknown command %s", step.Cmd)
	return ""
}

// show prints the name of the error, or the formatted result.
func show(err error, format string, args ...any) string {
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
		return fmt.Sprintf(format, args...) + "\n"
	}
	found := []string{}
	for name, e := range names {
		if errors.Is(err, e) {
			found = append(found, name)
		}
	}
	if len(found) != 1 {
		return "not one kind: " + err.Error() + "\n"
	}
	return found[0] + "\n"
}
