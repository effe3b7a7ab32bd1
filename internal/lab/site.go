package lab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

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
	// restartTries and restartPause bound the wait for an address that an
	// outgoing connection uses for the moment, to 10 s.
	restartTries = 500
	restartPause = 20 * time.Millisecond
)

// Zone is a failure domain of a lab deployment.
type Zone struct {
	name    string
	region  string
	entries int
	engines int
	plains  int
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

// Site is a deployment on loopback: the platform's stand-ins, engines and
// entry VMs, all in this process and joined by TCP.
type Site struct {
	zones   []Zone
	engines []*simeng.Engine
	plains  []*simsvc.Service
	// zoneOf holds the failure domain of each engine and entry VM by name.
	zoneOf map[string]string
	nodes  []*node.Node
	// down holds the entry VMs that are crashed now.
	down  map[int]bool
	store *simkv.Server
	// settings holds those of each entry VM, with its chosen addresses.
	settings []*node.Settings
	// lists holds the VM list that each failure domain sees: the VMs of other
	// domains are reached over the links.
	lists map[string]*simvms.Server
	links map[[2]string]*Link
	delay func(a, b Zone) time.Duration
	// onReport is called with each response that ended on an entry VM, or nil.
	onReport func(r *relay.Response)
	// simple is the timeout of the baseline policy, or 0 for the cadence policy.
	simple time.Duration
	// pulls is the shortest time between two load orders, or 0 for the default.
	pulls time.Duration
	// plain selects the baseline admission.
	plain bool
	log   zerolog.Logger
	// ctx ends with the deployment.
	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// options configures each engine.
	options []simeng.Option
	// host is the IP address of all machines.
	host    string
	storeAt string
	listAt  map[string]string
}

// sites counts the deployments of this process.
var sites atomic.Uint32

// hostAddress returns a loopback address of its own for the machines of a
// deployment. Outgoing connections leave from 127.0.0.1, so that their ports
// never take that of a machine that is restarting.
func hostAddress() string {
	n := sites.Add(1) + uint32(os.Getpid())*16
	return fmt.Sprintf("127.%d.%d.%d", 1+n>>16%200, n>>8%256, 1+n%250)
}

// NewSite returns a deployment with the failure domains. The options apply to
// every engine.
func NewSite(zones []Zone, log zerolog.Logger, options ...simeng.Option) *Site {
	return &Site{
		zones:   zones,
		zoneOf:  make(map[string]string),
		down:    make(map[int]bool),
		lists:   make(map[string]*simvms.Server),
		listAt:  make(map[string]string),
		links:   make(map[[2]string]*Link),
		delay:   func(Zone, Zone) time.Duration { return 0 },
		log:     log,
		options: options,
		host:    hostAddress(),
	}
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

// WithPulls sets the shortest time between two load orders of a move.
func (s *Site) WithPulls(d time.Duration) *Site {
	s.pulls = d
	return s
}

// Start brings everything up.
func (s *Site) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.ctx = ctx
	if err := s.platform(ctx); err != nil {
		return err
	}
	for _, z := range s.zones {
		for i := range z.engines {
			if err := s.addEngine(ctx, z, i); err != nil {
				return err
			}
		}
		for i := range z.plains {
			if err := s.addPlain(ctx, z, i); err != nil {
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

// Close stops everything.
func (s *Site) Close() {
	for i, n := range s.nodes {
		if !s.down[i] {
			n.Close()
		}
	}
	for _, e := range s.engines {
		e.Close()
	}
	for _, p := range s.plains {
		p.Close()
	}
	s.stop()
	s.tasks.Wait()
}

// Engines returns the engines in the order of their failure domains.
func (s *Site) Engines() []*simeng.Engine { return s.engines }

// Nodes returns the entry VMs in the order of their failure domains.
func (s *Site) Nodes() []*node.Node { return s.nodes }

// Store returns the key-value service.
func (s *Site) Store() *simkv.Server { return s.store }

// Link returns the link between two failure domains.
func (s *Site) Link(a, b string) *Link { return s.links[[2]string{min(a, b), max(a, b)}] }

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

// Entries returns the callers' addresses of the entry VMs.
func (s *Site) Entries() []string {
	as := make([]string, len(s.nodes))
	for i, n := range s.nodes {
		as[i] = n.Addr()
	}
	return as
}

// Generated returns the tokens that all engines generated.
func (s *Site) Generated() uint64 {
	var sum uint64
	for _, e := range s.engines {
		sum += e.Generated()
	}
	return sum
}

// Configure submits a declaration as the given revision through the first
// entry VM, and returns when it is in force on all of them.
func (s *Site) Configure(ctx context.Context, revision uint64, d *decl.Declaration) error {
	parts, err := decl.Split(d)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	c := submit.NewClient(s.nodes[0].AdminAddr(), http.DefaultClient)
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
			case <-time.After(cutPoll):
			}
		}
	}
	return nil
}

// applyTimeout bounds the time until a declaration is in force on every VM.
const applyTimeout = 10 * time.Second

// Declaration returns the lab's declaration: the model service "draft" on
// version v1, the plain service "desk" if a failure domain has one, and
// workspaces with tokens "key-0", "key-1", and so on.
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
	s.declarePlains(d)
	for i := range workspaces {
		d.Workspace(fmt.Sprintf("workspace-%d", i), Digest(Token(i)), 1, decl.Interactive)
	}
	return d
}

// linkRate is that of the links between regions today: 30 Mbit/s.
const linkRate = 30_000_000 / 8

// Token returns the bearer token of the numbered workspace.
func Token(i int) string { return fmt.Sprintf("key-%d", i) }

// Digest returns the hex SHA-256 digest of a bearer token.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
