// Package fixed holds the configuration of the entry VMs that operators' pages show.
package fixed

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/table"
)

// Key is the key of the workspace mill.
const Key = "workspace-mill-key-1"

// Fill configures a core with a plain service of three upstreams, of which one has
// reported a load, and a model service of two engines.
func Fill(now time.Time, c *proxy.Core) {
	t := table.New(12, table.Limits{})
	t.AddRoute(table.NewRoute(table.RouteSpec{
		Name:    "lookups",
		Host:    "desk.example",
		Prefix:  "/",
		Kind:    table.Lookup,
		Timeout: time.Second,
		Goal:    200 * time.Millisecond,
		Shares:  []table.Share{table.NewShare("desk", 1)},
	}))
	t.AddRoute(table.NewRoute(table.RouteSpec{
		Name:      "chat",
		Host:      "chat.example",
		Prefix:    "/v1/",
		Kind:      table.Stream,
		Resumable: true,
		Attempts:  3,
		Timeout:   25 * time.Second,
		Goal:      4 * time.Second,
		Shares:    []table.Share{table.NewShare("draft", 1)},
	}))
	t.AddService(table.NewService("draft", "/healthz", table.NewEngine(32, 55000, false, "draft")))
	t.AddWorkspace(table.NewWorkspace("mill", -1), []string{Key})
	c.Step(now, proxy.NewConfigure(t))
	entry := func(id, service, address, domain string) pool.Entry {
		return pool.NewEntry(pool.EntrySpec{
			ID:      id,
			Service: service,
			Address: address,
			Domain:  domain,
			Region:  "gabrovo",
			Version: "v1",
			Slots:   8,
		})
	}
	c.Step(now, proxy.NewMembers([]pool.Entry{
		entry("desk-1", "desk", "10.0.2.11:8226", "gab-mill"),
		entry("desk-2", "desk", "10.0.2.12:8226", "gab-annex"),
		entry("desk-3", "desk", "10.0.2.13:8226", "gab-annex"),
		entry("draft-1", "draft", "10.0.2.21:8226", "gab-mill"),
		entry("draft-2", "draft", "10.0.2.22:8226", "gab-annex"),
	}, nil))
	c.Pool().ReportLoad(now, c.Pool().Get("desk-1"), proxy.Load{}.WithCounts(12, 2).WithSlots(8).WithSlowDown(250))
}
