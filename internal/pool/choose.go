package pool

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The terms of an upstream's score; the lowest score is chosen. For an engine, 1
// is the delay of about a second that reading a prompt causes to all other work
// there. For a plain upstream, 1 is its whole capacity.
const (
	// prefillScore is the score of a prompt that is being read or waits to be
	// read.
	prefillScore = 1.0
	// decodeScore is the score of a run that is generating output.
	decodeScore = 0.5
	// unknownScore is added for an engine without a fresh state.
	unknownScore = 0.4
	// fullScore is added if memory would have to be freed for the run.
	fullScore = 5
	// regionScore is added for another region, since links between regions are
	// narrow and billed.
	regionScore = 0.25
	// workScore is added for each usual duration of work by which a plain upstream is
	// slower. Work takes some 15 ms, a third of the round trips to another region.
	workScore = 0.08
	// domainScore is added for another failure domain, so that the VM's own one
	// is preferred among equals.
	domainScore = 0.02
	// faultScore is the weight of the fault rate.
	faultScore = 4
	// lastResortScore ranks upstreams that are backing off or suspect after all
	// others.
	lastResortScore = 100
	// MaxNoise is the range of a random addition, so that VMs that choose
	// independently do not all choose the same upstream.
	MaxNoise = 0.08
	// maxCopyUse is the fraction of an engine's memory that may be in use after
	// a copy is placed on it.
	maxCopyUse = 0.85
	// prefillGrowth and decodeGrowth are the tokens of memory by which a run is
	// expected to grow after the engine reported its state: half of its prompt
	// plus its output while it reads the prompt, or half of its output after
	// that.
	prefillGrowth = 3500
	decodeGrowth  = 550
	// unknownMemoryUse is the fraction of an engine's memory that other VMs are
	// assumed to use if the engine has no fresh state.
	unknownMemoryUse = 0.25
)

// Need describes what an attempt requires of an upstream.
type Need struct {
	service string
	// memory is the capacity of one engine in tokens, or 0 for a plain
	// upstream.
	memory int
	// tokens is the memory that the run takes.
	tokens int
	// prompt identifies the prompt, or is "".
	prompt string
	// others is the number of requests that the limit of an upstream must leave for
	// more urgent ones; see stand.Standing.AvailableAt.
	others int
}

// NewNeed returns the need of a request to a plain service.
func NewNeed(service string) Need {
	return Need{
		service: service,
	}
}

// WithTokens returns a copy of n for a run that takes tokens of the memory of
// an engine, which has memory tokens in total.
func (n Need) WithTokens(tokens, memory int) Need {
	n.tokens, n.memory = tokens, memory
	return n
}

// WithPrompt returns a copy of n for a run with the identified prompt, which
// engines may have cached.
func (n Need) WithPrompt(id string) Need {
	n.prompt = id
	return n
}

// WithOthers returns a copy of n that leaves a number of requests within the limit of
// an upstream for more urgent ones. With a negative number it may go beyond the limit
// by as many.
func (n Need) WithOthers(others int) Need {
	n.others = others
	return n
}

// Service returns the service's name.
func (n Need) Service() string { return n.service }

// Prompt returns the identifier of the prompt, or "".
func (n Need) Prompt() string { return n.prompt }

// Memory returns the capacity of one engine in tokens, or 0 for a plain
// upstream.
func (n Need) Memory() int { return n.memory }

// Pick returns the best upstream of the need's service, or nil if there is
// none. It excludes upstreams for which skip returns true; skip may be nil.
func (p *Pool) Pick(now time.Time, n Need, skip func(*Upstream) bool) *Upstream {
	return p.Best(now, n, p.byService[n.service], func(u *Upstream) float64 {
		if skip != nil && skip(u) {
			return math.Inf(1)
		}
		return 0
	})
}

// HasUpstream reports whether Pick would return an upstream.
func (p *Pool) HasUpstream(now time.Time, n Need, skip func(*Upstream) bool) bool {
	return slices.ContainsFunc(p.byService[n.service], func(u *Upstream) bool { return p.eligible(now, n, u) && !skip(u) })
}

// HasRoom reports whether Pick would return an upstream that neither has failed lately nor
// is known to be full.
func (p *Pool) HasRoom(now time.Time, n Need, skip func(*Upstream) bool) bool {
	return p.HasUpstream(now, n, func(u *Upstream) bool {
		return u.BackingOff(now) || p.Suspect(now, u) || u.full(now, n) || skip(u)
	})
}

// Best returns the upstream of the list with the lowest score, or nil if none
// may be sent work. The result of extra is added to an upstream's score; extra
// may be nil.
func (p *Pool) Best(now time.Time, n Need, list []*Upstream, extra func(*Upstream) float64) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	for _, u := range list {
		if !p.eligible(now, n, u) {
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

// eligible reports whether the upstream may be sent new work now: it is usable and not
// resting, and its limit permits the need.
func (p *Pool) eligible(now time.Time, n Need, u *Upstream) bool {
	return p.usable(now, u) && !u.Resting(now) && !now.Before(u.standing.AvailableAt(now, n.others))
}

// usable reports whether the upstream may be sent new work once it neither rests nor
// is at its limit: it is not leaving, and its provisional listing has not expired.
func (p *Pool) usable(now time.Time, u *Upstream) bool {
	return u.Usable() && (u.provisionalUntil.IsZero() || now.Before(u.provisionalUntil))
}

// Candidates returns up to count healthy engines in the order of a hash of the
// prompt and the engine's address (rendezvous hashing). All VMs use the same
// order, and it changes little with the set of addresses, so a prompt that is
// sent again reaches the engine that has read it.
func (p *Pool) Candidates(now time.Time, n Need, skip func(*Upstream) bool, count int) []*Upstream {
	first := make([]*Upstream, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for _, u := range p.byService[n.service] {
		if !p.eligible(now, n, u) || u.BackingOff(now) || p.Suspect(now, u) || skip(u) {
			continue
		}
		// The engines with the lowest hashes are chosen.
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

// PickCopy returns the holder for a standby copy of a run on primary, or nil if
// there is none: the least used upstream of another failure domain that has
// enough memory.
func (p *Pool) PickCopy(now time.Time, n Need, primary *Upstream, skip func(*Upstream) bool) *Upstream {
	var best *Upstream
	least := math.Inf(1)
	for _, u := range p.byService[n.service] {
		if u.entry.Domain() == primary.entry.Domain() || !p.usable(now, u) || u.Resting(now) || u.BackingOff(now) || p.Suspect(now, u) || skip != nil && skip(u) {
			continue
		}
		used := p.expectedMemory(now, u) / float64(n.memory)
		if used+float64(n.tokens)/float64(n.memory) > maxCopyUse {
			continue
		}
		if !u.HasFreshState(now) {
			used += unknownMemoryUse
		}
		if s := used + MaxNoise*p.random() + faultScore*u.FaultRate(now); s < least {
			best, least = u, s
		}
	}
	return best
}

// expectedMemory returns the expected memory use of an engine in tokens.
func (p *Pool) expectedMemory(now time.Time, u *Upstream) float64 {
	own := float64(u.tokens + u.copyTokens)
	if u.HasFreshState(now) {
		st := &u.state
		growth := st.Prefilling()*prefillGrowth + (st.Running()-st.Prefilling())*decodeGrowth
		return max(own, float64(st.Used()+growth+u.unreportedAttempts()*otherRunTokens))
	}
	return own + u.load.Others(now)*otherRunTokens
}

// score returns the score of an upstream for an attempt; lower is better.
func (p *Pool) score(now time.Time, n Need, u *Upstream) float64 {
	var s Score
	p.addScore(now, n, u, &s)
	return s.Total() + MaxNoise*p.random()
}

// HasSpace reports whether an upstream can begin one more request at once: it has a free
// slot, if the number of its slots is known, and memory, and has not failed lately.
func (p *Pool) HasSpace(now time.Time, n Need, u *Upstream) bool {
	if slots := u.Slots(); slots > 0 && float64(u.attempts)+u.load.Others(now) >= float64(slots) {
		return false
	}
	return p.eligible(now, n, u) && !u.BackingOff(now) && !p.Suspect(now, u) && !u.full(now, n)
}
