package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The parts of an upstream's score; the least score is chosen. For an engine,
// one is the delay of about a second that the reading of a prompt causes to
// all other work there; for a plain upstream, it is its whole capacity.
const (
	// readScore is that of a prompt that is being read or waits to be.
	readScore = 1.0
	// runScore is that of a run that produces.
	runScore = 0.5
	// unknownScore is that of an engine that has not stated its state lately.
	unknownScore = 0.4
	// fullScore is that of a run for which memory would have to be freed.
	fullScore = 5
	// regionScore keeps work in the region, whose link is thin and priced.
	regionScore = 0.25
	// domainScore prefers the own failure domain among equals.
	domainScore = 0.02
	// faultScore weighs the share of faulty answers.
	faultScore = 4
	// lastScore puts resting and suspect upstreams behind all others.
	lastScore = 100
	// noise breaks ties, so that VMs which know nothing of each other do not
	// all choose the same upstream.
	noise = 0.08
	// copyRoom is the share of an engine's memory up to which copies are
	// placed on it.
	copyRoom = 0.85
	// readGrowth and runGrowth are the tokens that a run takes after a
	// statement: half of its prompt and its output, or half of its output.
	readGrowth = 3500
	runGrowth  = 550
	// unknownUse is the part of an engine's memory that other VMs are taken to
	// use if it has not stated its state lately.
	unknownUse = 0.25
)

// Need states what an attempt takes.
type Need struct {
	service string
	// memory is the capacity of one upstream in tokens, or 0 for a plain one.
	memory int
	tokens int
	// prompt identifies the prompt, or is "".
	prompt string
}

// NewNeed returns the need of a plain call to a service.
func NewNeed(service string) Need {
	return Need{
		service: service,
	}
}

// WithTokens returns a copy of n for a run that takes tokens of an engine's
// memory.
func (n Need) WithTokens(tokens, memory int) Need {
	n.tokens, n.memory = tokens, memory
	return n
}

// WithPrompt returns a copy of n for a prompt that engines may hold.
func (n Need) WithPrompt(id string) Need {
	n.prompt = id
	return n
}

// Service returns the service's name.
func (n Need) Service() string { return n.service }

// Prompt identifies the prompt, or is "".
func (n Need) Prompt() string { return n.prompt }

// Memory returns the capacity of one engine in tokens, or 0 for a plain
// upstream.
func (n Need) Memory() int { return n.memory }

// Pick returns the upstream for an attempt, or nil when there is none. It skips
// those for which skip returns true.
func (p *Pool) Pick(now time.Time, n Need, skip func(*Upstream) bool) *Upstream {
	return p.Best(now, n, p.service[n.service], func(u *Upstream) float64 {
		if skip != nil && skip(u) {
			return math.Inf(1)
		}
		return 0
	})
}

// Best returns the best upstream of a list, or nil if none may be sent work.
// The function extra adds to an upstream's score; it may be nil.
func (p *Pool) Best(now time.Time, n Need, list []*Upstream, extra func(*Upstream) float64) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	for _, u := range list {
		if !p.open(now, u) {
			continue
		}
		s := p.score(now, n, u)
		if extra != nil {
			s += extra(u)
		}
		if s < least {
			best, least = u, s
		}
	}
	return best
}

// open reports whether the upstream may be sent new work.
func (p *Pool) open(now time.Time, u *Upstream) bool {
	return u.Usable() && (u.until.IsZero() || now.Before(u.until))
}

// Near returns the first healthy engines in the order of the prompt, which is
// the same on all VMs and changes little with the set of addresses, so that a
// prompt that comes back finds the engine that has read it.
func (p *Pool) Near(now time.Time, n Need, skip func(*Upstream) bool, count int) []*Upstream {
	first := make([]*Upstream, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for _, u := range p.service[n.service] {
		if !p.open(now, u) || u.Resting(now) || p.Suspect(now, u) || skip(u) {
			continue
		}
		// The lowest hashes come first.
		w := xxhash.Sum64String(n.prompt + " " + u.Address())
		at, _ := slices.BinarySearch(weights, w)
		if at >= count {
			continue
		}
		first = slices.Insert(first, at, u)[:min(len(first)+1, count)]
		weights = slices.Insert(weights, at, w)[:min(len(weights)+1, count)]
	}
	return first
}

// PickCopy returns the holder of a standby copy of a run on primary: the
// upstream of another failure domain with the most room for it, or nil.
func (p *Pool) PickCopy(now time.Time, n Need, primary *Upstream, skip func(*Upstream) bool) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	for _, u := range p.service[n.service] {
		if u.entry.Domain() == primary.entry.Domain() || !p.open(now, u) || u.Resting(now) || p.Suspect(now, u) || skip != nil && skip(u) {
			continue
		}
		used := p.held(now, u) / float64(n.memory)
		if used+float64(n.tokens)/float64(n.memory) > copyRoom {
			continue
		}
		if !u.Fresh(now) {
			used += unknownUse
		}
		if s := used + noise*p.draw() + faultScore*u.Faults(now); s < least {
			best, least = u, s
		}
	}
	return best
}

// held returns the expected use of an engine's memory in tokens.
func (p *Pool) held(now time.Time, u *Upstream) float64 {
	own := float64(u.tokens + u.copied)
	if u.Fresh(now) {
		st := u.state.spec
		growth := st.Reading*readGrowth + (st.Running-st.Reading)*runGrowth
		return max(own, float64(st.Used+growth+u.recent()*runTokens))
	}
	return own + u.Others(now)*runTokens
}

// delay returns the expected delay of a new run on an engine in seconds.
func (p *Pool) delay(now time.Time, n Need, u *Upstream) float64 {
	var s float64
	if u.Fresh(now) {
		st := u.state.spec
		s = readScore*float64(st.Reading+st.Waiting+u.recent()) + runScore*float64(st.Running-st.Reading)
	} else {
		s = unknownScore + readScore*float64(u.reading) + runScore*(float64(u.work-u.reading)+u.Others(now))
	}
	if p.held(now, u)+float64(n.tokens) > float64(n.memory) {
		s += fullScore
	}
	return s
}

func (p *Pool) score(now time.Time, n Need, u *Upstream) float64 {
	s := faultScore*u.Faults(now) + noise*p.draw()
	if n.memory > 0 {
		s += p.delay(now, n, u)
	} else {
		s += (float64(u.work+1) + u.Others(now)) / float64(max(u.entry.spec.Slots, 1))
		if u.entry.Region() != p.region {
			s += regionScore
		}
	}
	if u.entry.Domain() != p.domain {
		s += domainScore
	}
	if u.Resting(now) || p.Suspect(now, u) {
		s += lastScore
	}
	return s
}
