package lab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/netsim"
	"clementinelink.example/clementinelink/internal/node"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/simeng"
	"clementinelink.example/clementinelink/internal/simkv"
	"clementinelink.example/clementinelink/internal/simsvc"
	"clementinelink.example/clementinelink/internal/simvms"
	"clementinelink.example/clementinelink/internal/submit"
	"clementinelink.example/clementinelink/pkg/decl"
)

const (
	// cursorKey signs the cursors of a lab deployment.
	cursorKey = "00112233445566778899aabbccddeeff"
	// restartAttempts and restartPause limit the wait for a listening address
	// to 10 s. An outgoing connection may hold its port for a while.
	restartAttempts = 500
	restartPause    = 20 * time.Millisecond
)

// Zone is a failure domain of a lab deployment.
type Zone struct {
	name          string
	region        string
	entries       int
	engines       int
	plainServices int
}

// NewZone returns a failure domain with numbers of entry VMs and engines.
func NewZone(name, region string, entries, engines int) Zone {
	return Zone{
		name:    name,
		region:  region,
		entries: entries,
		engines: engines,
	}
}

// Site is a deployment on loopback. The simulated platform services, the engines
// and the entry VMs all run in this process and communicate over TCP.
type Site struct {
	zones         []Zone
	engines       []*simeng.Engine
	plainServices []*simsvc.Service
	// zoneOf holds the failure domain of each engine, plain service and entry
	// VM by name.
	zoneOf map[string]string
	nodes  []*node.Node
	// down holds the entry VMs that are crashed or shut down, by index.
	down  map[int]bool
	store *simkv.Server
	// settings holds the settings of each entry VM, including the addresses
	// that were assigned at its first start.
	settings []*node.Settings
	// vmLists holds the VM list served to each failure domain. It gives VMs of
	// other domains the addresses of the links to them.
	vmLists map[string]*simvms.Server
	links   map[[2]string]*netsim.Link
	delay   func(a, b Zone) time.Duration
	// onResponse, if not nil, is called with each response that ended on an
	// entry VM.
	onResponse func(r *relay.Response)
	// baselineTimeout is the timeout of the baseline policy, or 0 for the
	// cadence policy.
	baselineTimeout time.Duration
	// loadOrderInterval is the shortest time between two load orders of a move,
	// or 0 for the default.
	loadOrderInterval time.Duration
	// baselineAdmission selects first-come-first-served admission.
	baselineAdmission bool
	log               zerolog.Logger
	// ctx is canceled when the deployment is closed.
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// options are applied to every engine.
	options []simeng.Option
	// hostIP is the IP address of all engines, plain services and entry VMs.
	hostIP      string
	storeAddr   string
	vmListAddrs map[string]string
	// listen and dial are the network, by default that of the machine.
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// pollInterval is the time between two checks whether a new revision is in use.
const pollInterval = 5 * time.Millisecond

// siteCount counts the deployments of this process.
var siteCount atomic.Uint32

// hostAddress returns a loopback address that only one deployment uses.
// Outgoing connections use 127.0.0.1 as their source, so they can't occupy a
// port that a restarting VM needs.
func hostAddress() string {
	n := siteCount.Add(1) + uint32(os.Getpid())*16
	return fmt.Sprintf("127.%d.%d.%d", 1+n>>16%200, n>>8%256, 1+n%250)
}

// NewSite returns a deployment with the failure domains. The options apply to
// every engine. Start brings it up.
func NewSite(zones []Zone, log zerolog.Logger, options ...simeng.Option) *Site {
	return &Site{
		zones:       zones,
		zoneOf:      make(map[string]string),
		down:        make(map[int]bool),
		vmLists:     make(map[string]*simvms.Server),
		vmListAddrs: make(map[string]string),
		links:       make(map[[2]string]*netsim.Link),
		delay:       func(Zone, Zone) time.Duration { return 0 },
		log:         log,
		options:     options,
		hostIP:      hostAddress(),
		listen:      netsim.ListenTCP,
		dial:        (&net.Dialer{}).DialContext,
	}
}

// WithNetwork replaces the network of the machine. Clients of the deployment must
// use the same one. Call it before Start.
func (s *Site) WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) *Site {
	s.listen, s.dial = listen, dial
	return s
}

// WithDelays sets the one-way delays between failure domains of one region
// and between regions.
func (s *Site) WithDelays(domains, regions time.Duration) *Site {
	s.delay = func(a, b Zone) time.Duration {
		if a.region == b.region {
			return domains
		}
		return regions
	}
	return s
}

// WithLoadOrderInterval sets the shortest time between two load orders of a move.
func (s *Site) WithLoadOrderInterval(d time.Duration) *Site {
	s.loadOrderInterval = d
	return s
}

// Start starts the simulated platform services, the engines, the plain services
// and the entry VMs.
func (s *Site) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.ctx = ctx
	if err := s.startPlatform(ctx); err != nil {
		return err
	}
	for _, z := range s.zones {
		for i := range z.engines {
			if err := s.addEngine(ctx, z, i); err != nil {
				return err
			}
		}
		for i := range z.plainServices {
			if err := s.addPlainService(ctx, z, i); err != nil {
				return err
			}
		}
	}
	for _, z := range s.zones {
		for i := range z.entries {
			if err := s.addNode(ctx, z, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close stops everything that Start started.
func (s *Site) Close() {
	for i, n := range s.nodes {
		if !s.down[i] {
			n.Close()
		}
	}
	for _, e := range s.engines {
		e.Close()
	}
	for _, p := range s.plainServices {
		p.Close()
	}
	s.stop()
	s.tasks.Wait()
}

// Engines returns the engines in the order of their failure domains.
func (s *Site) Engines() []*simeng.Engine { return s.engines }

// Nodes returns the entry VMs in the order of their failure domains.
func (s *Site) Nodes() []*node.Node { return s.nodes }

// Store returns the simulated key-value store.
func (s *Site) Store() *simkv.Server { return s.store }

// Link returns the link between two failure domains.
func (s *Site) Link(a, b string) *netsim.Link { return s.links[[2]string{min(a, b), max(a, b)}] }

// CutRegion cuts or restores the links between a region and the others.
func (s *Site) CutRegion(region string, cut bool) {
	for _, a := range s.zones {
		for _, b := range s.zones {
			if a.region == region && b.region != region {
				s.Link(a.name, b.name).Cut(cut)
			}
		}
	}
}

// CrossBytes returns the bytes carried between regions.
func (s *Site) CrossBytes() int64 {
	var sum int64
	for i, a := range s.zones {
		for _, b := range s.zones[:i] {
			if a.region != b.region {
				sum += s.Link(a.name, b.name).Carried()
			}
		}
	}
	return sum
}

// Domain returns the failure domain of an engine or entry VM.
func (s *Site) Domain(name string) string { return s.zoneOf[name] }

// EntryAddrs returns the addresses that the entry VMs serve callers on.
func (s *Site) EntryAddrs() []string {
	as := make([]string, len(s.nodes))
	for i, n := range s.nodes {
		as[i] = n.Addr()
	}
	return as
}

// Generated returns the total number of tokens that the engines have generated.
func (s *Site) Generated() uint64 {
	var sum uint64
	for _, e := range s.engines {
		sum += e.Generated()
	}
	return sum
}

// Configure submits a declaration as the given revision through the first entry
// VM and returns once every entry VM uses it.
func (s *Site) Configure(ctx context.Context, revision uint64, d *decl.Declaration) error {
	parts, err := decl.Split(d)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	transport := &http.Transport{
		DialContext: s.dial,
	}
	defer transport.CloseIdleConnections()
	c := submit.NewClient(s.nodes[0].AdminAddr(), &http.Client{
		Transport: transport,
	})
	r, _, err := c.Apply(ctx, submit.NewRequest(fmt.Sprintf("lab-%d", revision), "lab", revision-1, parts))
	if err != nil {
		return errors.Wrap(err, "lab: apply")
	}
	if r.State() != submit.Accepted {
		return errors.Newf("lab: apply: %s: %v", r.State(), r.Lines())
	}
	for _, n := range s.nodes {
		for n.Revision() < revision {
			select {
			case <-ctx.Done():
				return errors.Newf("lab: revision %d is not in force everywhere", revision)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// applyTimeout limits the time until every VM uses a new declaration.
const applyTimeout = 10 * time.Second

// Declaration returns the lab's declaration: the model service "draft" on
// version v1, the plain service "desk" if a failure domain has one, and
// workspaces with the tokens "key-0", "key-1", and so on.
func (s *Site) Declaration(deadline time.Duration, workspaces int) *decl.Declaration {
	d := decl.New()
	domains := make(map[string][]string)
	var regions []string
	for _, z := range s.zones {
		if domains[z.region] == nil {
			regions = append(regions, z.region)
		}
		domains[z.region] = append(domains[z.region], z.name)
	}
	for _, r := range regions {
		d.Region(r, domains[r]...)
	}
	for i := 1; i < len(regions); i++ {
		d.Link(regions[0], regions[i], linkRate)
	}
	d.Model(decl.NewModel("draft", "v1", decl.NewContract(deadline)))
	s.declarePlainServices(d)
	for i := range workspaces {
		d.Workspace(fmt.Sprintf("workspace-%d", i), Digest(Token(i)), 1, decl.Interactive)
	}
	return d
}

// linkRate is the capacity of the links between regions in bytes per second: 30
// Mbit/s.
const linkRate = 30_000_000 / 8

// Token returns the bearer token of the numbered workspace.
func Token(i int) string { return fmt.Sprintf("key-%d", i) }

// Digest returns the hex SHA-256 digest of a bearer token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
