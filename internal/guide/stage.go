package guide

import (
	"context"
	"fmt"
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
	// deadline is that of the lab's model service.
	deadline = 20 * time.Second
	// tokenGap is the engines' token gap.
	tokenGap = 10 * time.Millisecond
	// tokens is the length of a response of a load, about 0.6 s.
	tokens = 60
	// workers is the number of requests of a load at a time.
	workers = 8
	// settle lets the VM list and the first load reports come in.
	settle = 1500 * time.Millisecond
	// finish bounds a load and a shutdown.
	finish = 30 * time.Second
)

// The addresses of the store and the VM list in the pages.
const (
	storeHost = "10.0.0.10:7000"
	listHost  = "10.0.0.11:7001"
)

// hosts are the addresses of the entry VMs in the pages, in the order of the
// site's.
var hosts = [...]string{"10.0.1.1", "10.0.2.1", "10.1.1.1"}

// Stage is the deployment of one page. One goroutine uses it.
type Stage struct {
	site *lab.Site
	// acts are the directives by their first word.
	acts map[string]func(args []string) error
	// sent numbers the requests of all loads, so that each is another one.
	sent int
	// load holds the result of the load that runs, or nil.
	load chan error
	// leaving holds the result of each shutdown by the VM's name.
	leaving map[string]chan error
}

// NewStage starts two regions with three failure domains, each with one entry
// VM, two engines and one plain service.
func NewStage(ctx context.Context, log zerolog.Logger) (*Stage, error) {
	site := lab.NewSite([]lab.Zone{
		lab.NewZone("gab-mill", "gabrovo", 1, 2).WithPlains(1),
		lab.NewZone("gab-annex", "gabrovo", 1, 2).WithPlains(1),
		lab.NewZone("plv-depot", "plovdiv", 1, 2).WithPlains(1),
	}, log, simeng.WithGap(tokenGap, 0)).WithDelays(1500*time.Microsecond, 12*time.Millisecond)
	s := &Stage{
		site:    site,
		leaving: make(map[string]chan error),
	}
	s.acts = map[string]func(args []string) error{
		"declare":  s.declare,
		"wait":     s.wait,
		"store":    s.store,
		"lose":     s.lose,
		"restore":  s.restore,
		"kill":     s.kill,
		"crash":    s.crash,
		"restart":  s.restart,
		"bad":      s.bad,
		"leave":    s.leave,
		"unlist":   s.unlist,
		"shutdown": s.shutDown,
		"left":     s.left,
		"load":     s.run,
		"begin":    s.begin,
		"end":      s.end,
	}
	return s, site.Start(ctx)
}

// Close ends the deployment.
func (s *Stage) Close() {
	if s.load != nil {
		<-s.load
	}
	for _, c := range s.leaving {
		<-c
	}
	s.site.Close()
}

// Address returns the operators' addresses of the entry VMs as the pages write
// them, for CLEMENTINE_ADDRESS.
func (s *Stage) Address() string {
	var list []string
	for _, h := range hosts {
		list = append(list, h+":8081")
	}
	return strings.Join(list, ",")
}

// Names returns the addresses in the pages with those on loopback.
func (s *Stage) Names() map[string]string {
	names := map[string]string{
		storeHost: s.site.StoreAddr(),
		listHost:  s.site.ListAddr("gab-mill"),
	}
	for i, n := range s.site.Nodes() {
		names[hosts[i]+":8080"] = n.Addr()
		names[hosts[i]+":8081"] = n.AdminAddr()
		names[hosts[i]+":8082"] = n.PeerAddr()
	}
	return names
}

// Act carries out the words of a directive.
func (s *Stage) Act(words string) error {
	args := strings.Fields(words)
	act := s.acts[args[0]]
	if act == nil {
		return errors.Newf("unknown directive %q", args[0])
	}
	return act(args[1:])
}

// argument returns the only argument.
func argument(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.Newf("needs one argument, not %d", len(args))
	}
	return args[0], nil
}

// declare applies the lab's declaration, with model service draft on version v1
// and plain service desk, as revision 1.
func (s *Stage) declare([]string) error {
	if err := s.site.Configure(context.Background(), 1, s.site.Declaration(deadline, 1)); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

func (s *Stage) wait(args []string) error {
	text, err := argument(args)
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	time.Sleep(d)
	return err
}

// store takes "outage TIME" or "up".
func (s *Stage) store(args []string) error {
	if len(args) == 1 && args[0] == "up" {
		return s.fault(simkv.Clear())
	}
	if len(args) != 2 || args[0] != "outage" {
		return errors.Newf("store: unknown arguments %v", args)
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return s.fault(simkv.Outage(d))
}

func (s *Stage) fault(f simkv.Fault) error {
	if !s.site.Store().Inject(f) {
		return errors.New("store: it takes no faults")
	}
	return nil
}

func (s *Stage) lose(args []string) error {
	name, err := argument(args)
	if err == nil {
		s.site.LoseDomain(name)
	}
	return err
}

func (s *Stage) restore(args []string) error {
	name, err := argument(args)
	if err != nil {
		return err
	}
	return s.site.RestoreDomain(name)
}

// kill takes "engines" or the name of one.
func (s *Stage) kill(args []string) error {
	name, err := argument(args)
	if err != nil {
		return err
	}
	killed := 0
	for _, e := range s.site.Engines() {
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

// bad makes a version answer with errors on every engine.
func (s *Stage) bad(args []string) error {
	version, err := argument(args)
	if err != nil {
		return err
	}
	for _, e := range s.site.Engines() {
		if err := e.Inject(simeng.NewFault(simeng.Bad, 0).WithKind(simeng.BadError).WithVersion(version)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) entry(args []string) (int, error) {
	name, err := argument(args)
	if err != nil {
		return 0, err
	}
	i := s.site.Entry(name)
	if i < 0 {
		return 0, errors.Newf("no entry VM %s", name)
	}
	return i, nil
}

func (s *Stage) crash(args []string) error {
	i, err := s.entry(args)
	if err == nil {
		s.site.Crash(i)
	}
	return err
}

func (s *Stage) restart(args []string) error {
	i, err := s.entry(args)
	if err != nil {
		return err
	}
	return s.site.Restart(i)
}

func (s *Stage) leave(args []string) error {
	name, err := argument(args)
	if err == nil {
		s.site.Leave(name)
	}
	return err
}

func (s *Stage) unlist(args []string) error {
	name, err := argument(args)
	if err == nil {
		s.site.Unlist(name)
	}
	return err
}

// shutDown takes a VM's name and the time for the load balancer.
func (s *Stage) shutDown(args []string) error {
	if len(args) != 2 {
		return errors.New("shutdown: needs a name and a time")
	}
	i, err := s.entry(args[:1])
	if err != nil {
		return err
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	s.leaving[args[0]] = ended
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), finish)
		defer stop()
		ended <- s.site.ShutDown(ctx, i, d)
	}()
	return nil
}

// left waits for the end of a shutdown, which must interrupt no request.
func (s *Stage) left(args []string) error {
	name, err := argument(args)
	if err != nil {
		return err
	}
	ended := s.leaving[name]
	if ended == nil {
		return errors.Newf("left: %s is not shut down", name)
	}
	delete(s.leaving, name)
	return <-ended
}

// run sends a load and waits for it.
func (s *Stage) run(args []string) error {
	if err := s.begin(args); err != nil {
		return err
	}
	return s.end(nil)
}

// begin starts a load of a number of generations through all entry VMs. Each
// must be whole, or refused where the directive says so; with "any" the load is
// there for its effects on a version that fails.
func (s *Stage) begin(args []string) error {
	if s.load != nil || len(args) == 0 {
		return errors.New("load: needs a number, one at a time")
	}
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	want := lab.Whole
	judged := len(args) < 2 || args[1] != "any"
	if len(args) == 2 && args[1] == lab.Refused.String() {
		want = lab.Refused
	}
	first := s.sent
	s.sent += count
	ended := make(chan error, 1)
	s.load = ended
	entries := s.site.Entries()
	go func() {
		caller := lab.NewCaller(entries, lab.Token(0)).WithLimit(finish)
		defer caller.Close()
		result := lab.NewResult(time.Second)
		lab.NewLoad(caller, workers, func(n int) *lab.Question {
			return lab.NewQuestion("draft", fmt.Sprintf("pattern %d", first+n), []string{"v1", "v2"}, uint64(first+n), tokens)
		}).Run(context.Background(), count, result)
		if got := result.Count(want); judged && got != count {
			err = errors.Newf("load: %d of %d responses are %s: %v", got, count, want, result.Notes())
		}
		ended <- err
	}()
	return nil
}

// end waits for the load.
func (s *Stage) end([]string) error {
	if s.load == nil {
		return errors.New("end: no load runs")
	}
	err := <-s.load
	s.load = nil
	return err
}
