package slope

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/build"
	"clementinelink.example/clementinelink/internal/config"
	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/internal/vmlist"
	"clementinelink.example/clementinelink/internal/world"
	"clementinelink.example/clementinelink/pkg/decl"
)

const (
	// workspaces, nodes and engines are the sizes that are built for.
	workspaces = 33000
	nodes      = 360
	engines    = 2200
	models     = 13
	// changes is the number of configuration changes a day.
	changes = 11000
	day     = 24 * time.Hour
)

var workspaceSizes = []int{1000, 4000, 12000, 33000}

// declaration returns a declaration with 13 models, three regions and a number
// of workspaces, whose tokens are those of package lab.
func declaration(size int) *decl.Declaration {
	d := decl.New()
	for r := range 3 {
		var domains []string
		for i := r; i < 9; i += 3 {
			domains = append(domains, fmt.Sprintf("domain-%d", i))
		}
		d.Region(fmt.Sprintf("region-%d", r), domains...)
	}
	d.Model(decl.NewModel("draft", version, decl.NewContract(time.Hour)))
	for i := 1; i < models; i++ {
		d.Model(decl.NewModel(fmt.Sprintf("model-%d", i), version, decl.NewContract(time.Hour)))
	}
	for i := range size {
		d.Workspace(fmt.Sprintf("workspace-%d", i), lab.Digest(lab.Token(i)), 1, decl.Interactive)
	}
	return d
}

// configProbes are the costs of the declaration at numbers of workspaces.
func configProbes() []*Probe {
	probe := func(name, unit string, once bool, measure func(ctx context.Context, b *Bench, size int) (float64, error)) *Probe {
		return &Probe{
			name:    name,
			size:    "workspaces",
			unit:    unit,
			sizes:   workspaceSizes,
			target:  workspaces,
			once:    once,
			measure: measure,
		}
	}
	return []*Probe{
		probe("config/decode", "µs", false, decode),
		probe("config/build", "µs", false, buildMap),
		probe("config/update", "µs", false, update),
		probe("config/total", "bytes", true, totalBytes),
		probe("config/change", "bytes", true, changeBytes),
		probe("config/heap", "bytes", true, configHeap),
		{
			name:    "config/head",
			size:    "recent changes",
			unit:    "bytes",
			sizes:   []int{2, 6, 11, 16},
			target:  16,
			once:    true,
			measure: headBytes,
		},
		{
			name:   "submit/reads",
			size:   "changes",
			unit:   "reads",
			sizes:  []int{5, 10, 20, 40},
			target: changes,
			once:   true,
			measure: func(ctx context.Context, _ *Bench, size int) (float64, error) {
				s, err := submitted(ctx, size)
				return float64(s.Reads()), err
			},
		},
		{
			name:   "submit/writes",
			size:   "changes",
			unit:   "writes",
			sizes:  []int{5, 10, 20, 40},
			target: changes,
			once:   true,
			measure: func(ctx context.Context, _ *Bench, size int) (float64, error) {
				s, err := submitted(ctx, size)
				return float64(s.Writes()), err
			},
		},
		{
			name:    "config/spread",
			size:    "entry VMs",
			unit:    "s",
			sizes:   []int{45, 90, 180, 360},
			target:  nodes,
			once:    true,
			measure: spread,
		},
		{
			name:    "config/members",
			size:    "entry VMs",
			unit:    "µs",
			sizes:   []int{9, 45, 180, 360},
			target:  nodes,
			measure: configMembers,
		},
		{
			name:    "vmlist/bytes",
			size:    "VMs",
			unit:    "bytes",
			sizes:   []int{45, 300, 1000, 2560},
			target:  nodes + engines,
			once:    true,
			measure: listBytes,
		},
		{
			name:    "vmlist/decode",
			size:    "VMs",
			unit:    "µs",
			sizes:   []int{45, 300, 1000, 2560},
			target:  nodes + engines,
			measure: listDecode,
		},
		{
			name:    "vmlist/heap",
			size:    "VMs",
			unit:    "bytes",
			sizes:   []int{45, 300, 1000, 2560},
			target:  nodes + engines,
			once:    true,
			measure: listHeap,
		},
	}
}

func decode(ctx context.Context, b *Bench, size int) (float64, error) {
	parts, err := decl.Split(declaration(size))
	if err != nil {
		return 0, err
	}
	var failed error
	cost, err := b.loop(ctx, func(int) { _, failed = decl.Join(parts) })
	return cost, errors.CombineErrors(err, failed)
}

func buildMap(ctx context.Context, b *Bench, size int) (float64, error) {
	d := declaration(size)
	return b.loop(ctx, func(int) { build.World(1, d) })
}

func totalBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	parts, err := decl.Split(declaration(size))
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, p := range parts {
		sum += len(p)
	}
	return float64(sum), nil
}

// change returns the parts of a declaration before and after a change of one
// workspace's weight.
func change(size int) (before, after map[string][]byte, err error) {
	if before, err = decl.Split(declaration(size)); err != nil {
		return nil, nil, err
	}
	last := size - 1
	after, err = decl.Split(declaration(last).Workspace(
		fmt.Sprintf("workspace-%d", last), lab.Digest(lab.Token(last)), 2, decl.Interactive))
	return before, after, err
}

// update returns the processor time of a change of one workspace on a VM.
func update(ctx context.Context, b *Bench, size int) (float64, error) {
	before, after, err := change(size)
	if err != nil {
		return 0, err
	}
	builder := build.NewBuilder()
	if _, err := builder.Map(1, before); err != nil {
		return 0, err
	}
	var failed error
	cost, err := b.loop(ctx, func(i int) {
		if _, err := builder.Map(1, []map[string][]byte{after, before}[i%2]); err != nil {
			failed = err
		}
	})
	return cost, errors.CombineErrors(err, failed)
}

// changeBytes returns the size of the parts that a change of one workspace's
// weight replaces.
func changeBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	before, after, err := change(size)
	sum := 0
	for name, p := range after {
		if !bytes.Equal(before[name], p) {
			sum += len(p)
		}
	}
	return float64(sum), err
}

// headBytes returns the size of the head after a number of changes of one
// workspace each.
func headBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	head, old := &submit.Head{}, decl.New()
	for i := range size {
		next := declaration(100).Workspace(fmt.Sprintf("extra-%d", i), lab.Digest("extra"), i+1, decl.Interactive)
		r := submit.NewRequest(fmt.Sprintf("01980000-0000-7000-8000-%012d", i), "operator", uint64(i), nil)
		p, err := submit.NewPlan(head, r, old, next, epoch.Add(time.Duration(i)*day/changes))
		if err != nil {
			return 0, err
		}
		head, old = p.Head(), next
	}
	raw, err := head.Encode()
	return float64(len(raw)), err
}

// submitted returns the store's counts after a number of submissions that each
// change one workspace.
func submitted(ctx context.Context, size int) (simkv.Stats, error) {
	server := simkv.New().WithRates(1e6, 1e6)
	base, stop, err := server.Start()
	if err != nil {
		return simkv.Stats{}, err
	}
	s := submit.NewSubmitter(submit.Over(store.New(base, 1).WithBudget(1e6, 1e6)))
	for i := range size {
		parts, err := decl.Split(declaration(100).Workspace("extra", lab.Digest("extra"), i+1, decl.Interactive))
		if err != nil {
			return simkv.Stats{}, errors.CombineErrors(err, stop())
		}
		at := epoch.Add(time.Duration(i) * day / changes)
		r := s.Apply(ctx, at, submit.NewRequest(fmt.Sprintf("change-%d", i), "operator", uint64(i), parts))
		if r.State() != submit.Accepted {
			return simkv.Stats{}, errors.CombineErrors(errors.Newf("change %d: %v", i, r.Lines()), stop())
		}
	}
	counts := server.Stats()
	return counts, stop()
}

// configHeap returns the heap of the parts, the objects decoded from them and
// the built configuration.
func configHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	var failed error
	used := heap(func() any {
		parts, err := decl.Split(declaration(size))
		if err != nil {
			failed = err
			return nil
		}
		b := build.NewBuilder()
		m, err := b.Map(1, parts)
		failed = err
		return []any{m, parts, b}
	})
	return used, failed
}

// configMembers steps the list of entry VMs through the configuration core.
func configMembers(ctx context.Context, b *Bench, size int) (float64, error) {
	vms := listOf(0, size)
	c := config.New(vms[0], 1, func(uint64, map[string][]byte) (*world.Map, error) { return nil, errors.New("unused") })
	return b.loop(ctx, func(int) { c.Step(epoch, config.Members(vms)) })
}

// listServer runs a list with about a seventh of entry VMs, as at full size.
func listServer(size int) (string, func() error, error) {
	entries := max(size*nodes/(nodes+engines), 1)
	return simvms.New(0, listOf(size-entries, entries)...).Start()
}

// listBytes returns the size of one answer of the VM list.
func listBytes(ctx context.Context, _ *Bench, size int) (float64, error) {
	base, stop, err := listServer(size)
	if err != nil {
		return 0, err
	}
	body, err := fetch(ctx, base+"/vms")
	return float64(len(body)), errors.CombineErrors(err, stop())
}

// fetch returns the body at a URL.
func fetch(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "fetch")
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.CombineErrors(err, resp.Body.Close())
}

// listDecode returns the processor time of one poll of the VM list, of which
// the stand-in's encoding is a part.
func listDecode(ctx context.Context, b *Bench, size int) (float64, error) {
	base, stop, err := listServer(size)
	if err != nil {
		return 0, err
	}
	client := vmlist.New(base)
	var failed error
	cost, err := b.loop(ctx, func(int) {
		if _, err := client.List(ctx); err != nil {
			failed = err
		}
	})
	return cost, errors.CombineErrors(errors.CombineErrors(err, failed), stop())
}

func listHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return heap(func() any { return listOf(size, 0) }), nil
}
