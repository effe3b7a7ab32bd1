package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/table"
	"clementinelink.example/clementinelink/internal/where"
)

// startEdge implements the script command "edge VARIABLE NAME [empty|busy|other]", which
// starts the metrics listener of a clementinedge and sets the variable to its address. An
// "empty" one has no configuration, and "other" is no clementinedge.
func startEdge(ts *testscript.TestScript, _ bool, args []string) {
	kind := strings.Join(args[2:], "")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	core := proxy.New(pool.New("r1", "a", 1), budget.NewLimits(0.8, 180, 10*time.Second), 1)
	if kind != "empty" {
		t := table.New(7, table.Limits{})
		t.AddRoute(table.NewRoute(table.RouteSpec{
			Name:    "desk",
			Host:    "h",
			Prefix:  "/",
			Kind:    table.Lookup,
			Timeout: time.Second,
			Shares:  []table.Share{table.NewShare("desk", 1)},
		}))
		t.AddWorkspace(table.NewWorkspace("mill", -1), []string{"k-7f3a9c"})
		core.Step(now, proxy.NewConfigure(t))
		core.Step(now, proxy.NewMembers([]pool.Entry{pool.NewEntry(pool.EntrySpec{
			ID:      "d1",
			Service: "desk",
			Address: "10.0.0.1:80",
			Domain:  "a",
			Region:  "r1",
			Version: "v1",
			Slots:   6,
		})}, nil))
	}
	mux := http.NewServeMux()
	if kind != "other" {
		mux.Handle("GET /where", where.NewHandler(args[1], func(ctx context.Context, f func(time.Time, *proxy.Core)) {
			if kind == "busy" {
				<-ctx.Done()
				return
			}
			f(now, core.Copy(0))
		}))
	}
	server := httptest.NewServer(mux)
	ts.Defer(server.Close)
	ts.Setenv(args[0], strings.TrimPrefix(server.URL, "http://"))
}
