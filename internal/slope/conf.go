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
	// The target sizes.
	targetWorkspaces = 33000
	targetEntryVMs   = 360
	targetEngines    = 2200
	// modelCount is the number of models in the measured declarations.
	modelCount = 13
	// changesPerDay is the target number of configuration changes a day.
	changesPerDay = 11000
	day           = 24 * time.Hour
)

// workspaceSizes are the numbers of workspaces to measure at.
var workspaceSizes = []int{1000, 4000, 12000, 33000}

// newDeclaration returns a declaration with modelCount models, three regions,
// nine failure domains and size workspaces, whose tokens are those of package
// lab.
func newDeclaration(size int) *decl.Declaration {
	d := decl.New()
	for r := range 3 {
		var domains []string
		for i := r; i < 9; i += 3 {
			domains = append(domains, fmt.Sprintf("domain-%d", i))
		}
		d.Region(fmt.Sprintf("region-%d", r), domains...)
	}
	d.Model(decl.NewModel("draft", modelVersion, decl.NewContract(time.Hour)))
	for i := 1; i < modelCount; i++ {
		d.Model(decl.NewModel(fmt.Sprintf("model-%d", i), modelVersion, decl.NewContract(time.Hour)))
	}
	for i := range size {
		d.Workspace(fmt.Sprintf("workspace-%d", i), lab.Digest(lab.Token(i)), 1, decl.Interactive)
	}
	return d
}

// configProbes returns the probes of the configuration, its submission and its
// distribution, and of the VM list.
func configProbes() []*Probe {
	probe := func(name, unit string, once bool, measure func(ctx context.Context, b *Bench, size int) (float64, error)) *Probe {
		return &Probe{
			name:      name,
			dimension: "workspaces",
			unit:      unit,
			sizes:     workspaceSizes,
			target:    targetWorkspaces,
			once:      once,
			measure:   measure,
		}
	}
	return []*Probe{
		probe("config/decode", "µs", false, decodeCost),
		probe("config/build", "µs", false, buildCost),
		probe("config/update", "µs", false, updateCost),
		probe("config/total", "bytes", true, totalBytes),
		probe("config/change", "bytes", true, changeBytes),
		probe("config/heap", "bytes", true, configHeap),
		{
			name:      "config/head",
			dimension: "recent changes",
			unit:      "bytes",
			sizes:     []int{2, 6, 11, 16},
			target:    16,
			once:      true,
			measure:   headBytes,
		},
		{
			name:      "submit/reads",
			dimension: "changes",
			unit:      "reads",
			sizes:     []int{5, 10, 20, 40},
			target:    changesPerDay,
			once:      true,
			measure: func(ctx context.Context, _ *Bench, size int) (float64, error) {
				s, err := submitChanges(ctx, size)
				return float64(s.Reads()), err
			},
		},
		{
			name:      "submit/writes",
			dimension: "changes",
			unit:      "writes",
			sizes:     []int{5, 10, 20, 40},
			target:    changesPerDay,
			once:      true,
			measure: func(ctx context.Context, _ *Bench, size int) (float64, error) {
				s, err := submitChanges(ctx, size)
				return float64(s.Writes()), err
			},
		},
		{
			name:      "config/spread",
			dimension: "entry VMs",
			unit:      "s",
			sizes:     []int{45, 90, 180, 360},
			target:    targetEntryVMs,
			once:      true,
			measure:   propagationTime,
		},
		{
			name:      "config/members",
			dimension: "entry VMs",
			unit:      "µs",
			sizes:     []int{9, 45, 180, 360},
			target:    targetEntryVMs,
			measure:   configMembersCost,
		},
		{
			name:      "vmlist/bytes",
			dimension: "VMs",
			unit:      "bytes",
			sizes:     []int{45, 300, 1000, 2560},
			target:    targetEntryVMs + targetEngines,
			once:      true,
			measure:   listBytes,
		},
		{
			name:      "vmlist/decode",
			dimension: "VMs",
			unit:      "µs",
			sizes:     []int{45, 300, 1000, 2560},
			target:    targetEntryVMs + targetEngines,
			measure:   listDecodeCost,
		},
		{
			name:      "vmlist/heap",
			dimension: "VMs",
			unit:      "bytes",
			sizes:     []int{45, 300, 1000, 2560},
			target:    targetEntryVMs + targetEngines,
			once:      true,
			measure:   listHeap,
		},
	}
}

// decodeCost returns the CPU time of decoding the parts of a declaration.
func decodeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	parts, err := decl.Split(newDeclaration(size))
	if err != nil {
		return 0, err
	}
	var callErr error
	cost, err := b.cpuPerCall(ctx, func(int) { _, callErr = decl.Join(parts) })
	return cost, errors.CombineErrors(err, callErr)
}

// buildCost returns the CPU time of building a configuration from a decoded
// declaration.
func buildCost(ctx context.Context, b *Bench, size int) (float64, error) {
	d := newDeclaration(size)
	return b.cpuPerCall(ctx, func(int) { build.ConfigFromDeclaration(1, d) })
}

// totalBytes returns the size of all parts of a declaration.
func totalBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	parts, err := decl.Split(newDeclaration(size))
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, p := range parts {
		sum += len(p)
	}
	return float64(sum), nil
}

// changedParts returns the parts of a declaration before and after a change of
// one workspace's weight.
func changedParts(size int) (before, after map[string][]byte, err error) {
	if before, err = decl.Split(newDeclaration(size)); err != nil {
		return nil, nil, err
	}
	last := size - 1
	after, err = decl.Split(newDeclaration(last).Workspace(
		fmt.Sprintf("workspace-%d", last), lab.Digest(lab.Token(last)), 2, decl.Interactive))
	return before, after, err
}

// updateCost returns the CPU time that a VM needs to rebuild its configuration
// after one workspace has changed.
func updateCost(ctx context.Context, b *Bench, size int) (float64, error) {
	before, after, err := changedParts(size)
	if err != nil {
		return 0, err
	}
	builder := build.NewBuilder()
	if _, err := builder.Config(1, before); err != nil {
		return 0, err
	}
	var callErr error
	cost, err := b.cpuPerCall(ctx, func(i int) {
		if _, err := builder.Config(1, []map[string][]byte{after, before}[i%2]); err != nil {
			callErr = err
		}
	})
	return cost, errors.CombineErrors(err, callErr)
}

// changeBytes returns the size of the parts that a change of one workspace's
// weight replaces.
func changeBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	before, after, err := changedParts(size)
	sum := 0
	for name, p := range after {
		if !bytes.Equal(before[name], p) {
			sum += len(p)
		}
	}
	return float64(sum), err
}

// headBytes returns the size of the head after size changes of one workspace
// each. The changes are spaced as on a day with changesPerDay.
func headBytes(_ context.Context, _ *Bench, size int) (float64, error) {
	head, old := &submit.Head{}, decl.New()
	for i := range size {
		next := newDeclaration(100).Workspace(fmt.Sprintf("extra-%d", i), lab.Digest("extra"), i+1, decl.Interactive)
		r := submit.NewRequest(fmt.Sprintf("01980000-0000-7000-8000-%012d", i), "operator", uint64(i), nil)
		p, err := submit.NewPlan(head, r, old, next, epoch.Add(time.Duration(i)*day/changesPerDay))
		if err != nil {
			return 0, err
		}
		head, old = p.Head(), next
	}
	raw, err := head.Encode()
	return float64(len(raw)), err
}

// submitChanges returns the store's operation counts after size submissions that
// each change one workspace.
func submitChanges(ctx context.Context, size int) (simkv.Stats, error) {
	server := simkv.New().WithRates(1e6, 1e6)
	base, stop, err := server.Start()
	if err != nil {
		return simkv.Stats{}, err
	}
	s := submit.NewSubmitter(submit.NewClientStore(store.New(base, 1).WithBudget(1e6, 1e6)))
	for i := range size {
		parts, err := decl.Split(newDeclaration(100).Workspace("extra", lab.Digest("extra"), i+1, decl.Interactive))
		if err != nil {
			return simkv.Stats{}, errors.CombineErrors(err, stop())
		}
		at := epoch.Add(time.Duration(i) * day / changesPerDay)
		r := s.Apply(ctx, at, submit.NewRequest(fmt.Sprintf("change-%d", i), "operator", uint64(i), parts))
		if r.State() != submit.Accepted {
			return simkv.Stats{}, errors.CombineErrors(errors.Newf("change %d: %v", i, r.Lines()), stop())
		}
	}
	counts := server.Stats()
	return counts, stop()
}

// configHeap returns the heap size of the parts, the objects decoded from them
// and the built configuration.
func configHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	var buildErr error
	used := retainedHeap(func() any {
		parts, err := decl.Split(newDeclaration(size))
		if err != nil {
			buildErr = err
			return nil
		}
		b := build.NewBuilder()
		m, err := b.Config(1, parts)
		buildErr = err
		return []any{m, parts, b}
	})
	return used, buildErr
}

// configMembersCost returns the CPU time that the configuration core needs for
// one list of entry VMs.
func configMembersCost(ctx context.Context, b *Bench, size int) (float64, error) {
	vms := newVMs(0, size)
	c := config.New(vms[0], 1, func(uint64, map[string][]byte) (*world.Config, error) { return nil, errors.New("unused") })
	return b.cpuPerCall(ctx, func(int) { c.Step(epoch, config.Members(vms)) })
}

// startListServer starts a VM list of size VMs. About a seventh of them are
// entry VMs, as at the target size. It returns the URL and a function that stops
// the server.
func startListServer(size int) (string, func() error, error) {
	entries := max(size*targetEntryVMs/(targetEntryVMs+targetEngines), 1)
	return simvms.New(0, newVMs(size-entries, entries)...).Start()
}

// listBytes returns the size of one response of the VM list.
func listBytes(ctx context.Context, _ *Bench, size int) (float64, error) {
	base, stop, err := startListServer(size)
	if err != nil {
		return 0, err
	}
	body, err := fetch(ctx, base+"/vms")
	return float64(len(body)), errors.CombineErrors(err, stop())
}

// fetch returns the body of the response to a GET request.
func fetch(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "fetch")
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.CombineErrors(err, resp.Body.Close())
}

// listDecodeCost returns the CPU time of one poll of the VM list. It includes
// the encoding by the simulated server, which runs in the same process.
func listDecodeCost(ctx context.Context, b *Bench, size int) (float64, error) {
	base, stop, err := startListServer(size)
	if err != nil {
		return 0, err
	}
	client := vmlist.New(base)
	var callErr error
	cost, err := b.cpuPerCall(ctx, func(int) {
		if _, err := client.List(ctx); err != nil {
			callErr = err
		}
	})
	return cost, errors.CombineErrors(errors.CombineErrors(err, callErr), stop())
}

// listHeap returns the heap size of a decoded VM list.
func listHeap(_ context.Context, _ *Bench, size int) (float64, error) {
	return retainedHeap(func() any { return newVMs(size, 0) }), nil
}
