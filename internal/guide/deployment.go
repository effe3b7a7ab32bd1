package guide

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/lab"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simkv"
)

const (
	// serviceDeadline is the deadline of the model service "draft".
	serviceDeadline = 20 * time.Second
	// tokenGap is the time between two tokens of an engine.
	tokenGap = 10 * time.Millisecond
	// responseTokens is the length of each response to a load. With tokenGap a
	// response takes about 0.6 s.
	responseTokens = 60
	// loadConcurrency is the number of concurrent requests of a load.
	loadConcurrency = 8
	// settleTime lets the entry VMs fetch the VM list and the first load reports.
	settleTime = 1500 * time.Millisecond
	// finishTimeout limits each request of a load and each shutdown.
	finishTimeout = 30 * time.Second
)

// The page addresses of the store and the VM list.
const (
	storeHost = "10.0.0.10:7000"
	listHost  = "10.0.0.11:7001"
)

// entryHosts are the page addresses of the entry VMs, in the order of
// lab.Site.Nodes.
var entryHosts = [...]string{"10.0.1.1", "10.0.2.1", "10.1.1.1"}

// Deployment is the simulated site that the commands of one page run against. It
// carries out the page's directives. It is not safe for concurrent use.
type Deployment struct {
	site *lab.Site
	// directives holds the function for each directive by its first word.
	directives map[string]func(args []string) error
	// requestsSent counts the requests of all loads. Prompts and seeds are numbered
	// from it, so that no two requests are equal.
	requestsSent int
	// loadResult receives the result of the running load. It is nil without one.
	loadResult chan error
	// shutdownResults holds, by VM name, the channel that receives the result of
	// each shutdown.
	shutdownResults map[string]chan error
	// edges holds the metrics listeners of clementinedge that the page started, and
	// edgeAddresses their addresses.
	edges         []*http.Server
	edgeAddresses []string
}

// NewDeployment starts a site of two regions with three failure domains in
// total, each with one entry VM, two engines and one plain service. The caller
// must call Close.
func NewDeployment(ctx context.Context, log zerolog.Logger) (*Deployment, error) {
	site := lab.NewSite([]lab.Zone{
		lab.NewZone("gab-mill", "gabrovo", 1, 2).WithPlainServices(1),
		lab.NewZone("gab-annex", "gabrovo", 1, 2).WithPlainServices(1),
		lab.NewZone("plv-depot", "plovdiv", 1, 2).WithPlainServices(1),
	}, log, simeng.WithGap(tokenGap, 0)).WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	d := &Deployment{
		site:            site,
		shutdownResults: make(map[string]chan error),
	}
	d.directives = map[string]func(args []string) error{
		"declare":  d.applyDeclaration,
		"wait":     d.wait,
		"store":    d.injectStoreFault,
		"lose":     d.loseDomain,
		"restore":  d.restoreDomain,
		"kill":     d.killEngines,
		"crash":    d.crashEntry,
		"restart":  d.restartEntry,
		"bad":      d.failVersion,
		"leave":    d.markLeaving,
		"unlist":   d.unlist,
		"shutdown": d.startShutdown,
		"left":     d.awaitShutdown,
		"load":     d.runLoad,
		"begin":    d.startLoad,
		"end":      d.awaitLoad,
		"edge":     d.startEdge,
	}
	return d, site.Start(ctx)
}

// Close waits for a running load and for shutdowns, then stops the site.
func (d *Deployment) Close() {
	if d.loadResult != nil {
		<-d.loadResult
	}
	for _, c := range d.shutdownResults {
		<-c
	}
	for _, e := range d.edges {
		_ = e.Close()
	}
	d.site.Close()
}

// AdminAddresses returns the page addresses of the entry VMs' operator
// listeners, separated by commas, for CLEMENTINE_ADDRESS.
func (d *Deployment) AdminAddresses() string {
	var list []string
	for _, h := range entryHosts {
		list = append(list, h+":8081")
	}
	return strings.Join(list, ",")
}

// Addresses returns a new map from page addresses to loopback addresses.
func (d *Deployment) Addresses() map[string]string {
	addresses := map[string]string{
		storeHost: d.site.StoreAddr(),
		listHost:  d.site.VMListAddr("gab-mill"),
	}
	for i, n := range d.site.Nodes() {
		addresses[entryHosts[i]+":8080"] = n.Addr()
		addresses[entryHosts[i]+":8081"] = n.AdminAddr()
		addresses[entryHosts[i]+":8082"] = n.PeerAddr()
	}
	d.addEdges(addresses)
	return addresses
}

// RunDirective carries out a directive. words must not be blank.
func (d *Deployment) RunDirective(words string) error {
	args := strings.Fields(words)
	run := d.directives[args[0]]
	if run == nil {
		return errors.Newf("unknown directive %q", args[0])
	}
	return run(args[1:])
}

// singleArgument returns the only argument. Any other number is an error.
func singleArgument(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.Newf("needs one argument, not %d", len(args))
	}
	return args[0], nil
}

// applyDeclaration submits the lab's declaration as revision 1. It contains the
// model service "draft" on version v1 and the plain service "desk".
func (d *Deployment) applyDeclaration([]string) error {
	if err := d.site.Configure(context.Background(), 1, d.site.Declaration(serviceDeadline, 1)); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// wait takes a duration.
func (d *Deployment) wait(args []string) error {
	text, err := singleArgument(args)
	if err != nil {
		return err
	}
	pause, err := time.ParseDuration(text)
	time.Sleep(pause)
	return err
}

// injectStoreFault takes "outage TIME", which makes the store unavailable for
// that time, or "up", which clears all of its faults.
func (d *Deployment) injectStoreFault(args []string) error {
	if len(args) == 1 && args[0] == "up" {
		return d.injectFault(simkv.ClearFaults())
	}
	if len(args) != 2 || args[0] != "outage" {
		return errors.Newf("store: unknown arguments %v", args)
	}
	outage, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return d.injectFault(simkv.Outage(outage))
}

// injectFault injects a fault into the store.
func (d *Deployment) injectFault(f simkv.Fault) error {
	if !d.site.Store().Inject(f) {
		return errors.New("store: the fault is unknown or the store is not running")
	}
	return nil
}

// loseDomain takes the name of a failure domain.
func (d *Deployment) loseDomain(args []string) error {
	name, err := singleArgument(args)
	if err == nil {
		d.site.LoseDomain(name)
	}
	return err
}

// restoreDomain takes the name of a failure domain.
func (d *Deployment) restoreDomain(args []string) error {
	name, err := singleArgument(args)
	if err != nil {
		return err
	}
	return d.site.RestoreDomain(name)
}

// killEngines takes the name of an engine, or "engines" for all of them.
func (d *Deployment) killEngines(args []string) error {
	name, err := singleArgument(args)
	if err != nil {
		return err
	}
	killed := 0
	for _, e := range d.site.Engines() {
		if name == "engines" || name == e.Name() {
			e.Kill()
			killed++
		}
	}
	if killed == 0 {
		return errors.Newf("kill: no engine %s", name)
	}
	return nil
}

// failVersion takes a version and makes every engine answer requests for it with
// errors.
func (d *Deployment) failVersion(args []string) error {
	version, err := singleArgument(args)
	if err != nil {
		return err
	}
	for _, e := range d.site.Engines() {
		if err := e.Inject(simeng.NewFault(simeng.Bad, 0).WithKind(simeng.BadError).WithVersion(version)); err != nil {
			return err
		}
	}
	return nil
}

// entryIndex returns the index in the site of the entry VM that the only
// argument names.
func (d *Deployment) entryIndex(args []string) (int, error) {
	name, err := singleArgument(args)
	if err != nil {
		return 0, err
	}
	i := d.site.EntryIndex(name)
	if i < 0 {
		return 0, errors.Newf("no entry VM %s", name)
	}
	return i, nil
}

// crashEntry takes the name of an entry VM.
func (d *Deployment) crashEntry(args []string) error {
	i, err := d.entryIndex(args)
	if err == nil {
		d.site.Crash(i)
	}
	return err
}

// restartEntry takes the name of a crashed entry VM.
func (d *Deployment) restartEntry(args []string) error {
	i, err := d.entryIndex(args)
	if err != nil {
		return err
	}
	return d.site.Restart(i)
}

// markLeaving takes the name of a VM and marks it as leaving in every VM list.
func (d *Deployment) markLeaving(args []string) error {
	name, err := singleArgument(args)
	if err == nil {
		d.site.MarkLeaving(name)
	}
	return err
}

// unlist takes the name of a VM and removes it from every VM list.
func (d *Deployment) unlist(args []string) error {
	name, err := singleArgument(args)
	if err == nil {
		d.site.RemoveVM(name)
	}
	return err
}

// startShutdown takes the name of an entry VM and the time that its load
// balancer has to notice. It shuts the VM down in the background.
func (d *Deployment) startShutdown(args []string) error {
	if len(args) != 2 {
		return errors.New("shutdown: needs a name and a time")
	}
	i, err := d.entryIndex(args[:1])
	if err != nil {
		return err
	}
	drain, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	result := make(chan error, 1)
	d.shutdownResults[args[0]] = result
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), finishTimeout)
		defer stop()
		result <- d.site.ShutDown(ctx, i, drain)
	}()
	return nil
}

// awaitShutdown takes the name of an entry VM and waits for the end of its
// shutdown. It returns an error if the shutdown interrupted a request.
func (d *Deployment) awaitShutdown(args []string) error {
	name, err := singleArgument(args)
	if err != nil {
		return err
	}
	result := d.shutdownResults[name]
	if result == nil {
		return errors.Newf("left: %s has no shutdown in progress", name)
	}
	delete(d.shutdownResults, name)
	return <-result
}

// runLoad takes the arguments of startLoad and waits for the end of the load.
func (d *Deployment) runLoad(args []string) error {
	if err := d.startLoad(args); err != nil {
		return err
	}
	return d.awaitLoad(nil)
}

// startLoad takes a number of generations and starts to send them through all
// entry VMs in the background. Each response must be whole, or refused if the
// second argument is "refused". With "any" the responses are not checked, which
// is for pages about a version that fails.
func (d *Deployment) startLoad(args []string) error {
	if d.loadResult != nil || len(args) == 0 {
		return errors.New("load: needs a number of requests, and no other load may be running")
	}
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	want := lab.Whole
	checked := len(args) < 2 || args[1] != "any"
	if len(args) == 2 && args[1] == lab.Refused.String() {
		want = lab.Refused
	}
	first := d.requestsSent
	d.requestsSent += count
	done := make(chan error, 1)
	d.loadResult = done
	entries := d.site.EntryAddrs()
	go func() {
		caller := lab.NewCaller(entries, lab.Token(0)).WithTimeout(finishTimeout)
		defer caller.Close()
		result := lab.NewResult(time.Second)
		lab.NewLoad(caller, loadConcurrency, func(n int) *lab.Request {
			return lab.NewRequest("draft", fmt.Sprintf("pattern %d", first+n), []string{"v1", "v2"}, uint64(first+n), responseTokens)
		}).Run(context.Background(), count, result)
		if got := result.Count(want); checked && got != count {
			err = errors.Newf("load: %d of %d responses are %s: %v", got, count, want, result.Notes())
		}
		done <- err
	}()
	return nil
}

// awaitLoad waits for the end of the running load and returns its result.
func (d *Deployment) awaitLoad([]string) error {
	if d.loadResult == nil {
		return errors.New("end: no load is running")
	}
	err := <-d.loadResult
	d.loadResult = nil
	return err
}
