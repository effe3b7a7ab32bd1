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
	// overcommit lets a VM use more than an even share of the engines' slots,
	// because the load balancer in front of the entry VMs does not spread long
	// generations evenly.
	overcommit = 1.5
	// bytesPerToken is the size of one token event on a link between regions.
	bytesPerToken = 120
	// linkShare is the fraction of a link's rate that generations may use. The
	// rest is left for the store, peers and other traffic.
	linkShare = 0.6
	// rebuildEvery is the minimum time between two pool rebuilds of a large
	// fleet. One rebuild takes about 25 ms at 2,200 engines, and a VM that starts
	// receives that many first load reports within seconds.
	rebuildEvery = 500 * time.Millisecond
	// smallFleet is the largest number of engines for which every change rebuilds
	// the pools immediately.
	smallFleet = 64
	// spillAfter is how long a new request waits for a local engine before it may
	// use another region although the local region has live engines.
	spillAfter = 500 * time.Millisecond
)

// poolKey identifies the pool of engines that serve one version of a service in
// one region.
type poolKey struct {
	service string
	version string
	region  string
}

// engineSet holds all known engines and the pools from which the engine of an
// attempt is chosen.
type engineSet struct {
	region  string
	engines map[string]*fleet.Engine
	pools   map[poolKey]*picker.Pool
	// regions lists the regions that have engines, the local one first.
	regions []string
	config  *world.Config
	// links holds the byte budget for the link to each other region.
	links map[string]*budget.Link
	// entryVMs is the number of listed entry VMs; at least 1.
	entryVMs int
	// slots is the total batch limit of each service's live engines as of the
	// last rebuild.
	slots map[string]int
	// pick chooses within one pool.
	pick func(now time.Time, rng *rand.Rand, p *picker.Pool, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine
	// dirty is true when the pools have to be rebuilt from engines.
	dirty   bool
	rebuilt time.Time
}

func newEngineSet(region string) *engineSet {
	return &engineSet{
		region:   region,
		engines:  make(map[string]*fleet.Engine),
		pools:    make(map[poolKey]*picker.Pool),
		links:    make(map[string]*budget.Link),
		slots:    make(map[string]int),
		entryVMs: 1,
		pick: func(now time.Time, rng *rand.Rand, p *picker.Pool, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
			return p.Pick(now, rng, r.Request().Prefix(), r.Continues(), avoid)
		},
	}
}

// recordLoad applies a load report. Reports of unknown engines are ignored.
func (s *engineSet) recordLoad(now time.Time, name string, l fleet.Load) {
	if e, ok := s.engines[name]; ok && e.ApplyLoad(now, l) {
		s.dirty = true
	}
}

// markUnreachable marks an engine that refuses connections as dead. An engine
// with live attempts is left alone, because the fate of its attempts is better
// evidence of its state.
func (s *engineSet) markUnreachable(name string) {
	if e, ok := s.engines[name]; ok && e.Outstanding() == 0 {
		e.MarkDead()
	}
}

// updateMembers applies the platform's list of VMs. An engine that is no longer
// listed is kept while attempts run on it or while it is live.
func (s *engineSet) updateMembers(vms []*world.VM) {
	entryVMs := 0
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Kind() == world.Entry {
			entryVMs++
		}
		if vm.Kind() != world.Engine {
			continue
		}
		listed[vm.Name()] = true
		if e, ok := s.engines[vm.Name()]; ok {
			s.dirty = e.UpdateVM(vm) || s.dirty
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
	s.entryVMs = max(entryVMs, 1)
}

// configure stores the configuration and resizes this VM's link budgets.
func (s *engineSet) configure(now time.Time, m *world.Config) {
	s.config = m
	for _, region := range s.regions {
		l := m.Link(s.region, region)
		if l == nil {
			continue
		}
		if s.links[region] == nil {
			s.links[region] = &budget.Link{}
		}
		s.links[region].Resize(now, linkShare*float64(l.Rate())/float64(s.entryVMs))
	}
}

// rebuildIfDue rebuilds the pools if they are out of date and the minimum time
// since the last rebuild has passed.
func (s *engineSet) rebuildIfDue(now time.Time) {
	if s.dirty && !now.Before(s.nextRebuild()) {
		s.rebuild(now)
	}
}

// nextRebuild returns the earliest time at which the pools may be rebuilt.
func (s *engineSet) nextRebuild() time.Time {
	if len(s.engines) <= smallFleet {
		return s.rebuilt
	}
	return s.rebuilt.Add(rebuildEvery)
}

// rebuild recreates the pools from the known engines.
func (s *engineSet) rebuild(now time.Time) {
	s.dirty = false
	s.rebuilt = now
	clear(s.slots)
	sets := make(map[poolKey][]*fleet.Engine)
	regions := make(map[string]bool)
	for _, e := range s.sorted() {
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

// choose returns the engine for the next attempt of a response, or nil if no
// engine accepts it now.
func (s *engineSet) choose(now time.Time, rng *rand.Rand, r *relay.Response, avoid []*fleet.Engine) *fleet.Engine {
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
	if local != nil && len(avoid) > 0 && !s.hasLiveExcept(local, avoid) {
		// The only live engines left are those that failed this response
		// before.
		if e := s.pick(now, rng, local, r, nil); e != nil {
			return e
		}
	}
	if local != nil && s.hasLive(local) && !r.Continues() && now.Sub(r.Started(now)) < spillAfter {
		return nil
	}
	for _, region := range s.regions {
		k.region = region
		p := s.pools[k]
		if region == s.region || p == nil {
			continue
		}
		e := s.pick(now, rng, p, r, avoid)
		if e != nil && s.takeLinkBudget(now, region, r) {
			return e
		}
	}
	return nil
}

// takeLinkBudget takes the expected bytes of an attempt from the budget of the
// link to a region and reports whether the budget covers them. Traffic over a
// link that is not in the configuration is unlimited.
func (s *engineSet) takeLinkBudget(now time.Time, region string, r *relay.Response) bool {
	if s.config == nil || s.config.Link(s.region, region) == nil {
		return true
	}
	l := s.links[region]
	if l == nil {
		l = &budget.Link{}
		l.Resize(now, linkShare*float64(s.config.Link(s.region, region).Rate())/float64(s.entryVMs))
		s.links[region] = l
	}
	q := r.Request()
	left := max(q.Limit()-r.AcceptedTokens(), 1)
	return l.Allow(now, len(q.Prompt())+len(q.Messages())+left*bytesPerToken)
}

// hasLiveVersion reports whether a live engine in any region has the version
// loaded.
func (s *engineSet) hasLiveVersion(service, version string) bool {
	for _, region := range s.regions {
		p := s.pools[poolKey{
			service: service,
			version: version,
			region:  region,
		}]
		if p != nil && s.hasLive(p) {
			return true
		}
	}
	return false
}

func (s *engineSet) hasLive(p *picker.Pool) bool { return s.hasLiveExcept(p, nil) }

// hasLiveExcept reports whether the pool has a live engine that is not in avoid.
func (s *engineSet) hasLiveExcept(p *picker.Pool, avoid []*fleet.Engine) bool {
	return slices.ContainsFunc(p.Engines(), func(e *fleet.Engine) bool {
		return e.State() == fleet.Live && !slices.Contains(avoid, e)
	})
}

// maxConcurrent returns how many responses of a service this VM may run at
// once; at least 1.
func (s *engineSet) maxConcurrent(service string) int {
	return max(int(overcommit*float64(s.slots[service])/float64(s.entryVMs)), 1)
}

// hasLiveEngine reports whether any engine of the service was live at the last
// rebuild. Without one, as on a VM that just started, no wait can be predicted.
func (s *engineSet) hasLiveEngine(service string) bool { return s.slots[service] > 0 }

// find returns the engine with the name. For an engine that this VM does not
// know, it returns a temporary one with the address from the caller's
// authenticated cursor, or nil if the address is empty.
func (s *engineSet) find(name, address string) *fleet.Engine {
	if e, ok := s.engines[name]; ok {
		return e
	}
	if address == "" {
		return nil
	}
	return fleet.NewEngine(world.NewVM(name, world.Engine, address, "", ""))
}

func (s *engineSet) sorted() []*fleet.Engine {
	es := make([]*fleet.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b *fleet.Engine) int { return cmp.Compare(a.Name(), b.Name()) })
	return es
}
