package pool

import (
	"maps"
	"slices"

	"clementinelink.example/clementinelink/internal/stand"
)

// Copy returns a copy of p for trials of a choice. Nothing that is done to it changes p. It
// scores without the random addition and reports no changes. It has only the listed
// upstreams, and knows neither their successors nor who had an address before.
func (p *Pool) Copy() *Pool {
	c := &Pool{
		region:    p.region,
		domain:    p.domain,
		byID:      make(map[string]*Upstream, len(p.byID)),
		unlisted:  make(map[string]*Upstream),
		byService: make(map[string][]*Upstream, len(p.byService)),
		byAddress: make(map[string]*Upstream),
		failures:  p.failures.Copy(),
		random:    func() float64 { return 0 },

		reportedSlots: maps.Clone(p.reportedSlots),
	}
	fleet := *p.book.Fleet()
	c.book, c.fleet = stand.NewBook(c.random), &fleet
	c.book.SetFleet(c.fleet, c.place)
	for name, list := range p.byService {
		// One array for all upstreams takes a fraction of the time of one each.
		upstreams, standings := make([]Upstream, len(list)), make([]stand.Standing, len(list))
		copies := make([]*Upstream, len(list))
		for i, u := range list {
			u.standing.CopyTo(&standings[i], c.book)
			upstreams[i], copies[i] = *u, &upstreams[i]
			upstreams[i].successor, upstreams[i].standing = nil, &standings[i]
			upstreams[i].attemptTimes = slices.Clone(u.attemptTimes)
			c.byID[u.ID()] = &upstreams[i]
		}
		c.byService[name] = copies
	}
	return c
}
