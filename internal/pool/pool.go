package pool

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/heard"
	"clementinelink.example/clementinelink/internal/quota"
	"clementinelink.example/clementinelink/internal/stand"
)

const (
	// provisionalTimeout is the time in which the registry must list an
	// incarnation that was discovered by its answer. Outages of the store last
	// for seconds, and upstreams are listed again within about 2 s of its
	// return.
	provisionalTimeout = 15 * time.Second
)

// Pool is the set of upstreams that a VM knows. It is owned by one goroutine
// and not safe for concurrent use.
type Pool struct {
	region string
	domain string
	byID   map[string]*Upstream
	// unlisted holds the latest upstreams that were removed while attempts were in flight
	// there, by id.
	unlisted map[string]*Upstream
	// byService holds the upstreams of each service, sorted by id.
	byService map[string][]*Upstream
	// byAddress holds the upstream that was listed last at each address, even
	// after its removal, so that it can be linked to its successor.
	byAddress map[string]*Upstream
	// failures holds the recent failures of each failure domain.
	failures *heard.Domains
	// reportedSlots holds the largest number of slots that an upstream of a service has
	// reported.
	reportedSlots map[string]int
	// book holds what incarnations have stated, also after their removal.
	book *stand.Book
	// fleet holds the VMs that share the limits of upstreams, or is nil before they
	// are known.
	fleet *quota.Fleet
	// random returns a number in [0, 1).
	random func() float64
}

// New returns an empty pool of a VM in the given region and failure domain. The
// seed determines how ties between upstreams are broken.
func New(region, domain string, seed uint64) *Pool {
	p := &Pool{
		region:        region,
		domain:        domain,
		byID:          make(map[string]*Upstream),
		unlisted:      make(map[string]*Upstream),
		byService:     make(map[string][]*Upstream),
		byAddress:     make(map[string]*Upstream),
		failures:      heard.NewDomains(),
		reportedSlots: make(map[string]int),
		random:        rand.New(rand.NewPCG(seed, 0)).Float64,
	}
	p.book = stand.NewBook(func() float64 { return p.random() })
	return p
}

// Get returns the listed upstream with the id, or nil.
func (p *Pool) Get(id string) *Upstream { return p.byID[id] }

// Find returns the listed upstream with the id, or one that is listed no more but has
// attempts in flight, or nil.
func (p *Pool) Find(id string) *Upstream {
	if u := p.byID[id]; u != nil {
		return u
	}
	if u := p.unlisted[id]; u != nil && u.attempts > 0 {
		return u
	}
	return nil
}

// PassedOn reports whether the upstream that was listed last at the address is one of
// another service.
func (p *Pool) PassedOn(address, service string) bool {
	u := p.byAddress[address]
	return u != nil && u.entry.Service() != service
}

// Len returns the number of listed upstreams.
func (p *Pool) Len() int { return len(p.byID) }

// Service returns the upstreams of a service. The caller must not modify the
// slice.
func (p *Pool) Service(name string) []*Upstream { return p.byService[name] }

// Upsert adds or updates the upstream of a registry entry. An incarnation that
// is leaving stays so whatever the entry says.
func (p *Pool) Upsert(now time.Time, e Entry) *Upstream {
	u := p.byID[e.ID()]
	if u != nil && (p.restarted(u, e) || u.entry.Service() != e.Service() || u.entry.Address() != e.Address()) {
		p.Remove(e.ID())
		u = nil
	}
	if u == nil {
		u = &Upstream{
			entry:    e,
			standing: p.book.Of(now, e.ID(), e.StartedAt()),
		}
		p.byID[e.ID()] = u
		if old := p.byAddress[e.Address()]; old != nil && old.entry.Service() == e.Service() {
			old.successor = u
		}
		p.byAddress[e.Address()] = u
		list := p.byService[e.Service()]
		at, _ := slices.BinarySearchFunc(list, e.ID(), func(a *Upstream, id string) int { return strings.Compare(a.ID(), id) })
		p.byService[e.Service()] = slices.Insert(list, at, u)
		p.placesChanged()
	}
	u.entry = e
	u.provisionalUntil = time.Time{}
	if e.Leaving() {
		p.MarkLeaving(now, u, causeRegistry)
	}
	return u
}

// restarted reports whether the entry is that of another incarnation than u, which
// has the same id.
func (p *Pool) restarted(u *Upstream, e Entry) bool {
	if u.entry.StartedAt() == 0 || e.StartedAt() == 0 {
		return u.Leaving() && !u.standing.Matches(e.StartedAt())
	}
	return u.entry.StartedAt() != e.StartedAt()
}

// AddProvisional adds an incarnation that reported the state s at the address
// of old and that the registry does not list yet. It gets no work after
// provisionalTimeout unless the registry lists it.
func (p *Pool) AddProvisional(now time.Time, old *Upstream, id string, s State) {
	old.gone = id != old.ID()
	if p.byID[id] != nil && id != old.ID() {
		return
	}
	u := p.Upsert(now, old.entry.WithIncarnation(id, s.StartedAt()))
	u.provisionalUntil = now.Add(provisionalTimeout)
	p.UpdateState(now, u, s)
	p.removeUnlisted(now)
}

// removeUnlisted removes the incarnations that the registry never listed, that run no
// attempts, and that were replaced or whose time to be listed is over. A broken upstream
// may name another one in each answer.
func (p *Pool) removeUnlisted(now time.Time) {
	for id, u := range p.byID {
		if !u.provisionalUntil.IsZero() && u.attempts == 0 && (u.gone || !now.Before(u.provisionalUntil)) {
			p.Remove(id)
		}
	}
}

// Remove removes an upstream that the registry no longer lists. Attempts in
// flight keep their reference to it.
func (p *Pool) Remove(id string) *Upstream {
	u := p.byID[id]
	if u == nil {
		return nil
	}
	u.gone = true
	delete(p.byID, id)
	maps.DeleteFunc(p.unlisted, func(_ string, old *Upstream) bool { return old.attempts == 0 })
	if u.attempts > 0 {
		p.unlisted[id] = u
	}
	name := u.entry.Service()
	p.byService[name] = slices.DeleteFunc(p.byService[name], func(a *Upstream) bool { return a == u })
	p.placesChanged()
	return u
}

// CountByState returns the number of listed upstreams by state: "usable",
// "resting" at the upstream's own request, "backing-off" after a failure, "suspect"
// because its failure domain has failed, or "leaving".
func (p *Pool) CountByState(now time.Time) map[string]int {
	count := map[string]int{
		stand.Usable:  0,
		stand.Resting: 0,
		"backing-off": 0,
		"suspect":     0,
		stand.Leaving: 0,
	}
	for _, u := range p.byID {
		switch {
		case !u.Usable():
			count[stand.Leaving]++
		case u.Resting(now):
			count[stand.Resting]++
		case u.BackingOff(now):
			count["backing-off"]++
		case p.Suspect(now, u):
			count["suspect"]++
		default:
			count[stand.Usable]++
		}
	}
	return count
}

// Count returns the number of listed upstreams for which match returns true.
func (p *Pool) Count(match func(*Upstream) bool) int {
	n := 0
	for _, u := range p.byID {
		if match(u) {
			n++
		}
	}
	return n
}

// IDs returns the listed ids, sorted.
func (p *Pool) IDs() []string {
	ids := make([]string, 0, len(p.byID))
	for id := range p.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// RecordUnreachable records that an upstream does not answer, and makes it back
// off. Once several upstreams of a failure domain have failed within a short
// time, the other ones of the domain are suspect until they send something.
func (p *Pool) RecordUnreachable(now time.Time, u *Upstream) {
	u.BackOff(now)
	p.failures.Fail(now, u.entry.Domain(), u.ID())
}

// Suspect reports whether the upstream's failure domain has failed recently and
// the upstream has sent nothing since.
func (p *Pool) Suspect(now time.Time, u *Upstream) bool {
	since, failed := p.failures.FailedSince(now, u.entry.Domain())
	return failed && !u.lastActivity.After(since)
}
