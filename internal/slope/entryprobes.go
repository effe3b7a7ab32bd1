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
	// tokenGap is the time between two tokens of a measured stream, which makes 25
	// tokens a second.
	tokenGap = 40 * time.Millisecond
	// maxSettleTime lets a started VM fetch the VM list and the first load reports.
	// With a short measurement window, as in tests, settleWindows windows are used
	// instead.
	maxSettleTime = 1500 * time.Millisecond
	settleWindows = 4
	// pollTimeout limits the wait until all engines have been polled.
	pollTimeout = 5 * time.Minute
)

// entryProbes returns the probes that run an entry VM in a child process.
func entryProbes() []*Probe {
	fleetProbe := func(name, unit, size, cost string, sizes []int, target float64, counts func(size int) (engines, entries, workspaces int)) *Probe {
		return &Probe{
			name:      name,
			dimension: size,
			unit:      unit,
			sizes:     sizes,
			target:    target,
			once:      true,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				engines, entries, workspaces := counts(size)
				return b.fleetCost(ctx, cost, engines, entries, workspaces)
			},
		}
	}
	byWorkspaces := func(size int) (int, int, int) { return 1, 1, size }
	byEngines := func(size int) (int, int, int) { return size, 1, 10 }
	byEntries := func(size int) (int, int, int) { return 1, size, 10 }
	entrySizes := []int{9, 45, 180, 360}
	return []*Probe{
		{
			name:      "entry/relay",
			dimension: "tokens/s",
			unit:      "cores",
			sizes:     []int{500, 1000, 2000, 3000},
			target:    1917,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				return b.relayCost(ctx, max(size*int(tokenGap)/int(time.Second), 1), func(c *Child) (float64, error) {
					return c.cores(ctx, b.window)
				})
			},
		},
		{
			name:      "entry/resident by responses",
			dimension: "live responses",
			unit:      "bytes",
			sizes:     []int{20, 40, 80, 160},
			target:    123,
			once:      true,
			measure: func(ctx context.Context, b *Bench, size int) (float64, error) {
				return b.relayCost(ctx, size, func(c *Child) (float64, error) {
					if err := sleep(ctx, b.window); err != nil {
						return 0, err
					}
					s, err := c.requestSample(false)
					return float64(s.Resident), err
				})
			},
		},
		fleetProbe("entry/heap by workspaces", "bytes", "workspaces", "heap", workspaceSizes, targetWorkspaces, byWorkspaces),
		fleetProbe("entry/resident by workspaces", "bytes", "workspaces", "resident", workspaceSizes, targetWorkspaces, byWorkspaces),
		fleetProbe("entry/heap by peers", "bytes", "entry VMs", "heap", entrySizes, targetEntryVMs, byEntries),
		fleetProbe("entry/resident by peers", "bytes", "entry VMs", "resident", entrySizes, targetEntryVMs, byEntries),
		fleetProbe("entry/resident by engines", "bytes", "engines", "resident", engineSizes, targetEngines, byEngines),
		fleetProbe("entry/idle", "cores", "engines", "cores", engineSizes, targetEngines, byEngines),
		fleetProbe("entry/loads", "bytes/s", "engines", "loads", engineSizes, targetEngines, byEngines),
		fleetProbe("entry/known", "s", "engines", "known", engineSizes, targetEngines, byEngines),
	}
}

// startStore starts a store that holds a declaration with a number of
// workspaces. It returns the URL and a function that stops the store.
func startStore(ctx context.Context, workspaces int) (string, func() error, error) {
	base, stop, err := simkv.New().WithRates(1e6, 1e6).Start()
	if err != nil {
		return "", nil, err
	}
	parts, err := decl.Split(newDeclaration(workspaces))
	if err != nil {
		return "", nil, errors.CombineErrors(err, stop())
	}
	client := store.New(base, 1).WithBudget(1e6, 1e6)
	r := submit.NewSubmitter(submit.NewClientStore(client)).Apply(ctx, epoch, submit.NewRequest("first", "", 0, parts))
	if r.State() != submit.Accepted {
		return "", nil, errors.CombineErrors(errors.Newf("submit declaration: %s", strings.Join(r.Lines(), "; ")), stop())
	}
	return base, stop, nil
}

// settleTime returns how long to wait before measuring a child process over a
// window.
func settleTime(window time.Duration) time.Duration { return min(maxSettleTime, settleWindows*window) }

// relayCost starts a store, eight engines and an entry VM, and returns the
// result of measure while the VM relays a number of streams.
func (b *Bench) relayCost(ctx context.Context, streams int, measure func(c *Child) (float64, error)) (float64, error) {
	list := simvms.New(0)
	base, stop, err := list.Start()
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	for i := range 8 {
		e := simeng.New(engineName(i), simeng.WithGap(tokenGap, 0), simeng.WithSlots(streams+16, 64))
		if err := e.Start(); err != nil {
			return 0, err
		}
		defer e.Close()
		list.Add(world.NewVM(e.Name(), world.Engine, e.Address(), "domain-0", "region-0").WithService("draft"))
	}
	kv, stopStore, err := startStore(ctx, 10)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stopStore() }()
	c, err := b.spawn(ctx, EntryArgs(base, kv)...)
	if err != nil {
		return 0, err
	}
	cost, err := b.measureUnderLoad(ctx, c, streams, measure)
	return cost, errors.CombineErrors(err, c.Close())
}

// measureUnderLoad starts a number of streams through the child and returns the
// result of measure, which must return before the streams end. The responses
// are verified: one that is not whole is an error.
func (b *Bench) measureUnderLoad(ctx context.Context, c *Child, streams int, measure func(c *Child) (float64, error)) (float64, error) {
	if err := sleep(ctx, settleTime(b.window)); err != nil {
		return 0, err
	}
	caller := lab.NewCaller([]string{c.address}, lab.Token(0))
	defer caller.Close()
	result := lab.NewResult(time.Second)
	tokens := int((2*settleTime(b.window) + b.window) / tokenGap)
	load := lab.NewLoad(caller, streams, func(n int) *lab.Request {
		return lab.NewRequest("draft", fmt.Sprintf("measured draft %d", n), []string{modelVersion}, uint64(n), tokens)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, streams, result)
	}()
	if err := sleep(ctx, settleTime(b.window)); err != nil {
		return 0, err
	}
	cost, err := measure(c)
	<-done
	if complete := result.Count(lab.Whole); err == nil && complete != streams {
		return 0, errors.Newf("%d of %d responses are whole: %v", complete, streams, result.Notes())
	}
	return cost, err
}

// cores returns the mean number of CPU cores that the child process uses over a
// time window.
func (c *Child) cores(ctx context.Context, window time.Duration) (float64, error) {
	start := time.Now()
	before, err := c.requestSample(false)
	if err != nil {
		return 0, err
	}
	if err := sleep(ctx, window); err != nil {
		return 0, err
	}
	after, err := c.requestSample(false)
	if err != nil {
		return 0, err
	}
	return float64(after.CPU-before.CPU) / float64(time.Since(start).Microseconds()), nil
}

// engineFleet is a VM list with simulated engines, HTTP servers that reply to
// every request with a load report.
type engineFleet struct {
	servers []*httptest.Server
	list    *simvms.Server
	// polled counts the engines whose load report has been fetched.
	polled atomic.Int64
	// transferred counts the bytes on connections to engines in both directions.
	transferred atomic.Int64
}

// meteredConn counts the bytes read and written on a connection.
type meteredConn struct {
	net.Conn
	transferred *atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

// meteredListener counts the bytes of its connections.
type meteredListener struct {
	net.Listener
	transferred *atomic.Int64
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn:        c,
		transferred: l.transferred,
	}, nil
}

// newEngineFleet starts the engines and lists them together with a number of
// entry VMs. The caller must start the list.
func newEngineFleet(engines, entries int) *engineFleet {
	f := &engineFleet{
		list: simvms.New(0, newVMs(0, entries)...),
	}
	for i := range engines {
		var first sync.Once
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			first.Do(func() { f.polled.Add(1) })
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprintf(w, `{"incarnation":%d,"seq":12345,"age_ms":100,"running":12,"waiting":3,"slots":16,"gap_ms":41.5,"versions":["v1"],"role":"mixed","leaving":false}`, 1767225600000+i)
		}))
		s.Listener = &meteredListener{
			Listener:    s.Listener,
			transferred: &f.transferred,
		}
		s.Start()
		f.servers = append(f.servers, s)
		f.list.Add(world.NewVM(engineName(i), world.Engine, s.Listener.Addr().String(),
			fmt.Sprintf("domain-%d", i%9), fmt.Sprintf("region-%d", i%3)).WithService("draft"))
	}
	return f
}

// close stops the engines.
func (f *engineFleet) close() {
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// processCosts holds what one entry VM costs with an idle fleet: "known" is the
// time in seconds until all engines have been polled, "cores" the CPU use,
// "loads" the bytes a second of load reports, and "heap" and "resident" the
// memory in bytes.
type processCosts map[string]float64

// fleetCost returns one of the processCosts of an entry VM with an idle fleet.
// Costs measured with the same numbers of VMs and workspaces are reused.
func (b *Bench) fleetCost(ctx context.Context, cost string, engines, entries, workspaces int) (float64, error) {
	key := [3]int{engines, entries, workspaces}
	if costs := b.measured[key]; costs != nil {
		return costs[cost], nil
	}
	f := newEngineFleet(engines, entries)
	defer f.close()
	base, stop, err := f.list.Start()
	if err != nil {
		return 0, err
	}
	defer func() { _ = stop() }()
	kv, stopStore, err := startStore(ctx, workspaces)
	if err != nil {
		return 0, err
	}
	defer func() { _ = stopStore() }()
	start := time.Now()
	c, err := b.spawn(ctx, EntryArgs(base, kv)...)
	if err != nil {
		return 0, err
	}
	costs, err := f.measure(ctx, c, start, b.window)
	if err := errors.CombineErrors(err, c.Close()); err != nil {
		return 0, err
	}
	b.measured[key] = costs
	return costs[cost], nil
}

// measure waits until the child has polled all engines, and then measures it
// over a window. start is the time at which the child was started.
func (f *engineFleet) measure(ctx context.Context, c *Child, start time.Time, window time.Duration) (processCosts, error) {
	for int(f.polled.Load()) < len(f.servers) {
		if time.Since(start) > pollTimeout {
			return nil, errors.Newf("%d of %d engines were polled in %s", int(f.polled.Load()), len(f.servers), pollTimeout)
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	costs := processCosts{
		"known": time.Since(start).Seconds(),
	}
	if err := sleep(ctx, settleTime(window)); err != nil {
		return nil, err
	}
	before := f.transferred.Load()
	cores, err := c.cores(ctx, window)
	if err != nil {
		return nil, err
	}
	costs["cores"] = cores
	costs["loads"] = float64(f.transferred.Load()-before) / window.Seconds()
	s, err := c.requestSample(true)
	costs["heap"], costs["resident"] = float64(s.Heap), float64(s.Resident)
	return costs, err
}
