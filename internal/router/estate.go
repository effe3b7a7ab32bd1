package router

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/picker"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// overcommit lets a VM use more than its even part of the engines' slots,
	// because the balancer does not spread long generations evenly.
	overcommit = 1.5
	// bytesPerToken is the size of one token's event on a link.
	bytesPerToken = 120
	// linkShare is the part of a link that generations may use; the rest is
	// for the store, peers and other traffic.
	linkShare = 0.6
	// rebuildEvery is the shortest time between two rebuilds of the pools of a
	// large fleet: one takes about 25 ms at 2,200 engines, and a VM that starts
	// sees that many first reports within seconds.
	rebuildEvery = 500 * time.Millisecond
	// smallFleet is the number of engines up to which pools are rebuilt at once.
	smallFleet = 64
	// spillAfter is the wait after which a new request may use an engine of
	// another region although the local region has live ones.
	spillAfter = 500 * time.Millisecond
)

// poolKey names the engines of one version of a service in one region.
type poolKey struct {
	service string
	version string
	region  string
}

// estate holds the engines and the pools that attempts are chosen from.
type estate struct {
	region  string
	engines map[string]*fleet.Engine
	pools   map[poolKey]*picker.Pool
	// regions holds the regions with engines, the local one first.
	regions []string
	config  *world.Map
	// links holds the byte budget towards each other region.
	links map[string]*budget.Link
	// entries is the number of listed entry VMs; at least 1.
	entries int
	// slots holds the slots of the live engines of each service at the last
	// rebuild.
	slots map[string]int
	// pick chooses within one pool.
	pick func(now time.Time, rng *rand.Rand, p *picker.Pool, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine
	// dirty is true when the pools don't match the engines.
	dirty   bool
	rebuilt time.Time
}

func newEstate(region string) *estate {
	return &estate{
		region:  region,
		engines: make(map[string]*fleet.Engine),
		pools:   make(map[poolKey]*picker.Pool),
		links:   make(map[string]*budget.Link),
		slots:   make(map[string]int),
		entries: 1,
		pick: func(now time.Time, rng *rand.Rand, p *picker.Pool, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
			return p.Pick(now, rng, r.Request().Prefix(), r.Continues(), avoid)
		},
	}
}

// report applies a load report.
func (s *estate) report(now time.Time, name string, l fleet.Load) {
	if e, ok := s.engines[name]; ok && e.Report(now, l) {
		s.dirty = true
	}
}

// miss marks an engine that refuses connections. One with live attempts is
// judged by those, because they know more.
func (s *estate) miss(name string) {
	if e, ok := s.engines[name]; ok && e.Outstanding() == 0 {
		e.Fell()
	}
}

// list applies the platform's list. An engine that is not listed any more is
// kept while attempts run on it or while it still answers.
func (s *estate) list(vms []*world.VM) {
	entries := 0
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Kind() == world.Entry {
			entries++
		}
		if vm.Kind() != world.Engine {
			continue
		}
		listed[vm.Name()] = true
		if e, ok := s.engines[vm.Name()]; ok {
			s.dirty = e.Listed(vm) || s.dirty
			continue
		}
		s.engines[vm.Name()] = fleet.NewEngine(vm)
		s.dirty = true
	}
	for name, e := range s.engines {
		if !listed[name] && e.State() != fleet.Live && e.Outstanding() == 0 {
			delete(s.engines, name)
			s.dirty = true
		}
	}
	s.entries = max(entries, 1)
}

// configure sizes the link budgets of this VM.
func (s *estate) configure(now time.Time, m *world.Map) {
	s.config = m
	for _, region := range s.regions {
		l := m.Link(s.region, region)
		if l == nil {
			continue
		}
		if s.links[region] == nil {
			s.links[region] = &budget.Link{}
		}
		s.links[region].Resize(now, linkShare*float64(l.Rate())/float64(s.entries))
	}
}

// refresh rebuilds the pools when they are out of date and due.
func (s *estate) refresh(now time.Time) {
	if s.dirty && !now.Before(s.due()) {
		s.rebuild(now)
	}
}

// due returns the earliest time of the next rebuild.
func (s *estate) due() time.Time {
	if len(s.engines) <= smallFleet {
		return s.rebuilt
	}
	return s.rebuilt.Add(rebuildEvery)
}

// rebuild sorts the engines into pools.
func (s *estate) rebuild(now time.Time) {
	s.dirty = false
	s.rebuilt = now
	clear(s.slots)
	sets := make(map[poolKey][]*fleet.Engine)
	regions := make(map[string]bool)
	for _, e := range s.all() {
		regions[e.VM().Region()] = true
		if e.State() == fleet.Live {
			s.slots[e.VM().Service()] += e.Slots()
		}
		for _, v := range e.Versions() {
			k := poolKey{
				service: e.VM().Service(),
				version: v,
				region:  e.VM().Region(),
			}
			sets[k] = append(sets[k], e)
		}
	}
	clear(s.pools)
	for k, es := range sets {
		s.pools[k] = picker.NewPool(es)
	}
	delete(regions, s.region)
	s.regions = append([]string{s.region}, slices.Sorted(maps.Keys(regions))...)
}

// choose picks an engine for the next attempt of a response, or nil.
func (s *estate) choose(now time.Time, rng *rand.Rand, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
	q := r.Request()
	k := poolKey{
		service: q.Service(),
		version: r.Version(),
		region:  s.region,
	}
	local := s.pools[k]
	if local != nil {
		if e := s.pick(now, rng, local, r, avoid); e != nil {
			return e
		}
	}
	if local != nil && len(avoid) > 0 && !s.usableBeyond(local, avoid) {
		// Only engines that failed this response before are left.
		if e := s.pick(now, rng, local, r, nil); e != nil {
			return e
		}
	}
	if local != nil && s.usable(local) && !r.Continues() && now.Sub(r.Started(now)) < spillAfter {
		return nil
	}
	for _, region := range s.regions {
		k.region = region
		p := s.pools[k]
		if region == s.region || p == nil {
			continue
		}
		e := s.pick(now, rng, p, r, avoid)
		if e != nil && s.afford(now, region, r) {
			return e
		}
	}
	return nil
}

// afford takes the bytes of an attempt from the budget of the link to a
// region. Without a declared link there is no limit.
func (s *estate) afford(now time.Time, region string, r *relay.Response) bool {
	if s.config == nil || s.config.Link(s.region, region) == nil {
		return true
	}
	l := s.links[region]
	if l == nil {
		l = &budget.Link{}
		l.Resize(now, linkShare*float64(s.config.Link(s.region, region).Rate())/float64(s.entries))
		s.links[region] = l
	}
	q := r.Request()
	left := max(q.Limit()-r.Delivered(), 1)
	return l.Allow(now, len(q.Prompt())+len(q.Messages())+left*bytesPerToken)
}

// serves reports whether a live engine of any region has the version.
func (s *estate) serves(service, version string) bool {
	for _, region := range s.regions {
		p := s.pools[poolKey{
			service: service,
			version: version,
			region:  region,
		}]
		if p != nil && s.usable(p) {
			return true
		}
	}
	return false
}

func (s *estate) usable(p *picker.Pool) bool { return s.usableBeyond(p, nil) }

// usableBeyond reports whether the pool has a live engine outside avoid.
func (s *estate) usableBeyond(p *picker.Pool, avoid []*fleet.Engine) bool {
	return slices.ContainsFunc(p.Engines(), func(e *fleet.Engine) bool {
		return e.State() == fleet.Live && !slices.Contains(avoid, e)
	})
}

// places returns the number of this VM's concurrent responses of a service.
func (s *estate) places(service string) int {
	return max(int(overcommit*float64(s.slots[service])/float64(s.entries)), 1)
}

// known reports whether any engine of the service is live. Without one, as on a
// VM that just started, no wait can be predicted.
func (s *estate) known(service string) bool { return s.slots[service] > 0 }

// find returns the engine with the name. An engine that is not listed here is
// reached at the address of an authenticated cursor.
func (s *estate) find(name, address string) *fleet.Engine {
	if e, ok := s.engines[name]; ok {
		return e
	}
	if address == "" {
		return nil
	}
	return fleet.NewEngine(world.NewVM(name, world.Engine, address, "", ""))
}

func (s *estate) all() []*fleet.Engine {
	es := make([]*fleet.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b *fleet.Engine) int { return cmp.Compare(a.Name(), b.Name()) })
	return es
}
