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
	"clementinelink.example/clementinelink/internal/guide/fixed"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/where"
)

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
		fixed.Fill(time.Now(), core)
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
