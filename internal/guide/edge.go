package guide

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/table"
	"clementinelink.example/clementinelink/internal/where"
)

// edgeKey is the workspace key of the configuration of an edge.
const edgeKey = "workspace-mill-key-1"

// firstEdge is the last number of the page address 10.0.1.N of the first edge.
const firstEdge = 9

// startEdge takes a name and optionally "empty". It starts the metrics listener of a
// clementinedge of that name with a fixed configuration, or without one, at the page addresses
// 10.0.1.9:9464, 10.0.1.10:9464 and so on.
func (d *Deployment) startEdge(args []string) error {
	if len(args) == 0 || len(args) > 2 || len(args) == 2 && args[1] != "empty" {
		return errors.New("edge: needs a name and optionally \"empty\"")
	}
	core := proxy.New(pool.New("gabrovo", "gab-mill", 1), budget.NewLimits(0.8, 150, 10*time.Second), 1)
	if len(args) == 1 {
		fillEdge(time.Now(), core)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	mux := http.NewServeMux()
	mux.Handle("GET /where", where.NewHandler(args[0], func(_ context.Context, f func(time.Time, *proxy.Core)) {
		mutex.Lock()
		defer mutex.Unlock()
		f(time.Now(), core)
	}))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = server.Serve(l) }()
	d.edges = append(d.edges, server)
	d.edgeAddresses = append(d.edgeAddresses, l.Addr().String())
	return nil
}

// addEdges adds the page addresses of the edges.
func (d *Deployment) addEdges(addresses map[string]string) {
	for i, address := range d.edgeAddresses {
		addresses["10.0.1."+strconv.Itoa(firstEdge+i)+":9464"] = address
	}
}

// fillEdge configures a core with a plain service of three upstreams, of which one has
// reported a load, and a model service of two engines.
func fillEdge(now time.Time, c *proxy.Core) {
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
	t.AddWorkspace(table.NewWorkspace("mill", -1), []string{edgeKey})
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
