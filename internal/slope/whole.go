package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

const (
	// gap is the token gap of the measured streams: 25 tokens a second each.
	gap = 40 * time.Millisecond
	// settleSpan lets a started VM fetch the list and the first load reports.
	// A shorter watch, as in tests, also shortens it to settleWatches of them.
	settleSpan    = 1500 * time.Millisecond
	settleWatches = 4
	// knownLimit is the longest wait for all engines to be polled.
	knownLimit = 5 * time.Minute
)

// wholeProbes run an entry VM in a process of its own.
func wholeProbes() []*Probe {
	memory := func(name, unit, size, what string, sizes []int, target float64, vms func(size int) (engines, entries, workspaces int)) *Probe {
		return &Probe{
			name:   name,
			size:   size,
			unit:   unit,
			sizes:  sizes,
			target: target,
			once:   true,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				engines, entries, workspaces := vms(size)
				return b.memory(ctx, what, engines, entries, workspaces)
			},
		}
	}
	byWorkspaces := func(size int) (int, int, int) { return 1, 1, size }
	byEngines := func(size int) (int, int, int) { return size, 1, 10 }
	byEntries := func(size int) (int, int, int) { return 1, size, 10 }
	entrySizes := []int{9, 45, 180, 360}
	return []*Probe{
		{
			name:   "entry/relay",
			size:   "tokens/s",
			unit:   "cores",
			sizes:  []int{500, 1000, 2000, 3000},
			target: 1917,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				return b.relay(ctx, max(size*int(gap)/int(time.Second), 1), func(c *Child) (float64, error) {
					return c.cores(ctx, b.watch)
				})
			},
		},
		{
			name:   "entry/resident by responses",
			size:   "live responses",
			unit:   "bytes",
			sizes:  []int{20, 40, 80, 160},
			target: 123,
			once:   true,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				return b.relay(ctx, size, func(c *Child) (float64, error) {
					if err := wait(ctx, b.watch); err != nil {
						return 0, err
					}
					s, err := c.ask(false)
					return float64(s.Resident), err
				})
			},
		},
		memory("entry/heap by workspaces", "bytes", "workspaces", "heap", workspaceSizes, workspaces, byWorkspaces),
		memory("entry/resident by workspaces", "bytes", "workspaces", "resident", workspaceSizes, workspaces, byWorkspaces),
		memory("entry/heap by peers", "bytes", "entry VMs", "heap", entrySizes, nodes, byEntries),
		memory("entry/resident by peers", "bytes", "entry VMs", "resident", entrySizes, nodes, byEntries),
		memory("entry/resident by engines", "bytes", "engines", "resident", engineSizes, engines, byEngines),
		memory("entry/idle", "cores", "engines", "cores", engineSizes, engines, byEngines),
		memory("entry/loads", "bytes/s", "engines", "link", engineSizes, engines, byEngines),
		memory("entry/known", "s", "engines", "known", engineSizes, engines, byEngines),
	}
}

// storeOf starts a store that holds a declaration with a number of workspaces.
func storeOf(ctx context.Context, workspaces int) (string, func() error, error) {
	base, stop, err := simkv.New().WithRates(1e6, 1e6).Start()
	if err != nil {
		return "", nil, err
	}
	parts, err := decl.Split(declaration(workspaces))
	if err != nil {
		return "", nil, errors.CombineErrors(err, stop())
	}
	client := store.New(base, 1).WithBudget(1e6, 1e6)
	r := submit.NewSubmitter(submit.Over(client)).Apply(ctx, epoch, submit.NewRequest("first", "", 0, parts))
	if r.State() != submit.Accepted {
		return "", nil, errors.CombineErrors(errors.Newf("the store's declaration: %s", strings.Join(r.Lines(), "; ")), stop())
	}
	return base, stop, nil
}

// settle returns the wait before a process is watched.
func settle(watch time.Duration) time.Duration { return min(settleSpan, settleWatches*watch) }

// relay returns a figure of an entry VM while it relays streams to callers who
// verify them.
func (b *Bench) relay(ctx context.Context, streams int, figure func(c *Child) (float64, error)) (float64, error) {
	list := simvms.New(0)
	base, stop, err := list.Start()
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	for i := range 8 {
		e := simeng.New(engineName(i), simeng.WithGap(gap, 0), simeng.WithSlots(streams+16, 64))
		if err := e.Start(); err != nil {
			return 0, err
		}
		defer e.Close()
		list.Add(world.NewVM(e.Name(), world.Engine, e.Address(), "domain-0", "region-0").Serving("draft"))
	}
	kv, stopStore, err := storeOf(ctx, 10)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stopStore() }()
	c, err := b.spawn(ctx, EntryArgs(base, kv)...)
	if err != nil {
		return 0, err
	}
	cost, err := b.drive(ctx, c, streams, figure)
	return cost, errors.CombineErrors(err, c.Close())
}

// drive keeps a number of streams open and takes the figure between their
// start and their end.
func (b *Bench) drive(ctx context.Context, c *Child, streams int, figure func(c *Child) (float64, error)) (float64, error) {
	if err := wait(ctx, settle(b.watch)); err != nil {
		return 0, err
	}
	caller := lab.NewCaller([]string{c.address}, lab.Token(0))
	defer caller.Close()
	result := lab.NewResult(time.Second)
	tokens := int((2*settle(b.watch) + b.watch) / gap)
	load := lab.NewLoad(caller, streams, func(n int) *lab.Question {
		return lab.NewQuestion("draft", fmt.Sprintf("measured draft %d", n), []string{version}, uint64(n), tokens)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, streams, result)
	}()
	if err := wait(ctx, settle(b.watch)); err != nil {
		return 0, err
	}
	cost, err := figure(c)
	<-done
	if whole := result.Count(lab.Whole); err == nil && whole != streams {
		return 0, errors.Newf("%d of %d responses are whole: %v", whole, streams, result.Notes())
	}
	return cost, err
}

// cores returns the processor time a second that the child uses over a span.
func (c *Child) cores(ctx context.Context, span time.Duration) (float64, error) {
	begun := time.Now()
	before, err := c.ask(false)
	if err != nil {
		return 0, err
	}
	if err := wait(ctx, span); err != nil {
		return 0, err
	}
	after, err := c.ask(false)
	if err != nil {
		return 0, err
	}
	return float64(after.CPU-before.CPU) / float64(time.Since(begun).Microseconds()), nil
}

// reports is a fleet of engines that answer only GET /load.
type reports struct {
	servers []*httptest.Server
	list    *simvms.Server
	// polled counts the engines whose report was fetched.
	polled atomic.Int64
	// carried counts the bytes of load reports in both directions.
	carried atomic.Int64
}

// meteredConn counts its bytes.
type meteredConn struct {
	net.Conn
	carried *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.carried.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.carried.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of its connections.
type meteredListener struct {
	net.Listener
	carried *atomic.Int64
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn:    c,
		carried: l.carried,
	}, nil
}

func newReports(engines, entries int) *reports {
	r := &reports{
		list: simvms.New(0, listOf(0, entries)...),
	}
	for i := range engines {
		var first sync.Once
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			first.Do(func() { r.polled.Add(1) })
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"incarnation":%d,"seq":12345,"age_ms":100,"running":12,"waiting":3,"slots":16,"gap_ms":41.5,"versions":["v1"],"role":"mixed","leaving":false}`, 1767225600000+i)
		}))
		s.Listener = &meteredListener{
			Listener: s.Listener,
			carried:  &r.carried,
		}
		s.Start()
		r.servers = append(r.servers, s)
		r.list.Add(world.NewVM(engineName(i), world.Engine, s.Listener.Addr().String(),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)).Serving("draft"))
	}
	return r
}

func (r *reports) close() {
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// use is what one entry VM needed to follow a fleet, by name.
type use map[string]float64

// memory returns one figure of an entry VM that follows a fleet.
func (b *Bench) memory(ctx context.Context, what string, engines, entries, workspaces int) (float64, error) {
	key := [3]int{engines, entries, workspaces}
	if u := b.uses[key]; u != nil {
		return u[what], nil
	}
	r := newReports(engines, entries)
	defer r.close()
	base, stop, err := r.list.Start()
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	kv, stopStore, err := storeOf(ctx, workspaces)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stopStore() }()
	begun := time.Now()
	c, err := b.spawn(ctx, EntryArgs(base, kv)...)
	if err != nil {
		return 0, err
	}
	u, err := r.follow(ctx, c, begun, b.watch)
	if err := errors.CombineErrors(err, c.Close()); err != nil {
		return 0, err
	}
	b.uses[key] = u
	return u[what], nil
}

// follow waits until the child knows all engines and measures it.
func (r *reports) follow(ctx context.Context, c *Child, begun time.Time, watch time.Duration) (use, error) {
	for int(r.polled.Load()) < len(r.servers) {
		if time.Since(begun) > knownLimit {
			return nil, errors.Newf("%d of %d engines were polled in %s", int(r.polled.Load()), len(r.servers), knownLimit)
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	u := use{
		"known": time.Since(begun).Seconds(),
	}
	if err := wait(ctx, settle(watch)); err != nil {
		return nil, err
	}
	before := r.carried.Load()
	cores, err := c.cores(ctx, watch)
	if err != nil {
		return nil, err
	}
	u["cores"] = cores
	u["link"] = float64(r.carried.Load()-before) / watch.Seconds()
	s, err := c.ask(true)
	u["heap"], u["resident"] = float64(s.Heap), float64(s.Resident)
	return u, err
}
