package loads

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/table"
)

// The size of a pattern.
const (
	vmCount     = 12
	engineCount = 24
	domainCount = 6
	regionCount = 2
	span        = 34 * time.Second
	// slowFactor is how much longer a third of the engines takes.
	slowFactor = 1.3
)

// world is the model of the VMs, engines and callers of one pattern.
type world struct {
	*clock
	seed    uint64
	random  *rand.Rand
	vms     []*vm
	engines map[string]*engine
	// list holds the engines in order.
	list     []*engine
	groups   []*group
	requests uint64
	// open is the number of callers whose response has not ended.
	open int
	// started counts the incarnations of engines.
	started int
	// reasons counts the ends other than complete responses by their reason.
	reasons map[string]int
}

func newWorld(seed uint64) *world {
	w := &world{
		clock:   newClock(),
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, 2)),
		engines: make(map[string]*engine),
		reasons: make(map[string]int),
	}
	for i := range engineCount {
		e := &engine{
			w:       w,
			index:   i,
			address: fmt.Sprintf("10.0.0.%d:80", i+1),
			domain:  w.domainName(i),
			region:  w.regionName(i),
			memory:  engineMemory,
			speed:   1,
			slowed:  1,
		}
		if e.third() == 0 {
			e.speed = slowFactor
		}
		e.start()
		w.engines[e.address] = e
		w.list = append(w.list, e)
	}
	for i := range vmCount {
		w.vms = append(w.vms, newVM(w, i))
	}
	return w
}

func (w *world) domainName(i int) string { return fmt.Sprintf("d%d", i%domainCount) }
func (w *world) regionName(i int) string {
	return fmt.Sprintf("r%d", i%domainCount/(domainCount/regionCount))
}

// third returns the third of the engines to which the engine belongs, from 0 to 2. Each
// failure domain has engines of more than one of them.
func (e *engine) third() int { return (e.index/domainCount + e.index%domainCount) % 3 }

func (w *world) engineID(e *engine) string {
	w.started++
	return fmt.Sprintf("e%02d-%03d", e.index, w.started)
}

func (w *world) engineAt(u *pool.Upstream) *engine { return w.engines[u.Address()] }

// count notes the reason of an end other than a complete response.
func (w *world) count(a proxy.Action) { w.reasons[a.Kind().String()+": "+a.Reason()]++ }

// table returns the routing table of the groups.
func (w *world) table() *table.Table {
	t := table.New(1, table.Limits{})
	for _, r := range []struct {
		name     string
		priority int
	}{
		{
			name:     "urgent",
			priority: 0,
		},
		{
			name:     "routine",
			priority: 2,
		},
	} {
		t.AddRoute(table.NewRoute(table.RouteSpec{
			Name:      r.name,
			Host:      "h",
			Prefix:    "/" + r.name,
			Kind:      table.Stream,
			Resumable: true,
			Attempts:  5,
			Timeout:   callTimeout,
			Goal:      goals[r.name],
			Gap:       longestPause,
			Priority:  r.priority,
			Shares:    []table.Share{table.NewShare("model", 1)},
		}))
	}
	t.AddService(table.NewService("model", "/healthz", table.NewEngine(engineSlots, engineMemory, true, "m").WithCopyRetention(4*time.Second)))
	for _, g := range w.groups {
		t.AddWorkspace(table.NewWorkspace(g.name, -1), []string{g.name})
	}
	return t
}

// goals holds the time to the first piece by route.
var goals = map[string]time.Duration{
	"urgent":  4 * time.Second,
	"routine": 10 * time.Second,
}

// run lets the callers come and runs until all of them have gone.
func (w *world) run() {
	var names []string
	for _, v := range w.vms {
		names = append(names, v.name)
	}
	for _, v := range w.vms {
		v.step(proxy.NewConfigure(w.table()))
		v.step(proxy.NewPeers(v.name, names))
		v.step(proxy.NewMembers(w.entries(), nil))
	}
	for _, g := range w.groups {
		for at := g.from; ; {
			at += time.Duration(w.random.ExpFloat64() / g.rate * float64(time.Second))
			if at >= g.to {
				break
			}
			w.after(at, func() { w.come(g) })
		}
	}
	end := w.now.Add(span)
	for (w.now.Before(end) || w.open > 0) && w.next() {
	}
}

// entries returns the entries of the engines that are up.
func (w *world) entries() []pool.Entry {
	var list []pool.Entry
	for _, e := range w.list {
		if !e.down {
			list = append(list, e.entry())
		}
	}
	return list
}

// publish tells each VM of a change of the registry within a quarter of a second.
func (w *world) publish(listed []pool.Entry, unlisted []string) {
	for _, v := range w.vms {
		w.after(50*time.Millisecond+time.Duration(w.random.IntN(200))*time.Millisecond, func() {
			v.step(proxy.NewMembers(listed, unlisted))
		})
	}
}

// silence makes the engines of a failure domain stand still.
func (w *world) silence(domain string, d time.Duration) {
	for _, e := range w.list {
		if e.domain == domain {
			e.silentUntil = w.now.Add(d)
		}
	}
}

// crash makes the engines of a failure domain lose all runs and start again after d.
func (w *world) crash(domain string, d time.Duration) {
	for _, e := range w.list {
		if e.domain != domain {
			continue
		}
		old := e.id
		e.crash()
		w.after(d, func() {
			e.start()
			w.publish([]pool.Entry{e.entry()}, []string{old})
		})
	}
}

// leave makes every third engine accept no new work.
func (w *world) leave() {
	var list []pool.Entry
	for _, e := range w.list {
		if e.third() == 1 {
			e.leaving = true
			e.note()
			list = append(list, e.entry())
		}
	}
	w.publish(list, nil)
}

// slow makes an engine take longer for d now and then.
func (w *world) slow(e *engine, every, d time.Duration, factor float64) {
	pause := time.Duration(w.random.ExpFloat64() * float64(every))
	w.after(pause, func() {
		e.slowed = factor
		w.after(d, func() {
			e.slowed = 1
			w.slow(e, every, d, factor)
		})
	})
}

// quantile returns a quantile of the times in ms, or "-" if there are none.
func quantile(list []time.Duration, q float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprint(at(list, q).Milliseconds())
}

func at(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))]
}
