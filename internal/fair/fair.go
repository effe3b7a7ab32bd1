package fair

import (
	"time"

	"clementinelink.example/clementinelink/internal/load"
)

const (
	// halfLife is the half-life of what a workspace has used. One of 88 VMs gets some four
	// streams in 10 s, and must have seen several to compare workspaces.
	halfLife = 20 * time.Second
	// margin is the multiple of the equal share above which a workspace is over its share,
	// so that workspaces with equal demand are not told apart by chance.
	margin = 1.5
	// minRequests is the number of requests that a VM must have seen lately.
	minRequests = 4.0
	// maxWorkspaces bounds the workspaces of a service that are compared, and reviewPause is
	// how long their number counts, so that a decision on a small VM stays under 50 µs.
	maxWorkspaces = 512
	reviewPause   = 100 * time.Millisecond
	// activeShare is the part of a mean request from which a workspace counts as active:
	// one request of the last two half-lives.
	activeShare = 0.25
)

// Shares holds what workspaces have lately used of one service. It is not safe for
// concurrent use.
type Shares struct {
	workspaces map[string]*use
	total      use
	requests   use
	prunedAt   time.Time
	// active is the number of active workspaces as of reviewedAt.
	active     int
	reviewedAt time.Time
}

// use is an amount that decays.
type use struct {
	amount float64
	at     time.Time
}

// New returns shares of which nothing has been used.
func New() *Shares {
	return &Shares{
		workspaces: make(map[string]*use),
	}
}

// Add counts a request of a workspace that takes a number of tokens.
func (s *Shares) Add(now time.Time, workspace string, tokens int) {
	s.prune(now)
	w := s.workspaces[workspace]
	if w == nil && len(s.workspaces) < maxWorkspaces {
		w = &use{}
		s.workspaces[workspace] = w
	}
	if w != nil {
		w.add(now, float64(tokens))
	}
	s.total.add(now, float64(tokens))
	s.requests.add(now, 1)
}

// Over reports whether a workspace has lately used clearly more than an equal share among
// those that are active. It is false if the VM has seen too little to tell.
func (s *Shares) Over(now time.Time, workspace string) bool {
	w := s.workspaces[workspace]
	if w == nil || s.requests.value(now) < minRequests {
		return false
	}
	return w.value(now) > margin*s.total.value(now)/float64(max(s.countActive(now), 1))
}

// countActive returns the number of workspaces that have asked lately.
func (s *Shares) countActive(now time.Time) int {
	if !s.reviewedAt.IsZero() && now.Sub(s.reviewedAt) < reviewPause {
		return s.active
	}
	s.active, s.reviewedAt = 0, now
	least := activeShare * s.total.value(now) / s.requests.value(now)
	for _, other := range s.workspaces {
		if other.value(now) >= least {
			s.active++
		}
	}
	return s.active
}

// copy returns an independent copy.
func (s *Shares) copy() *Shares {
	c := *s
	c.workspaces = make(map[string]*use, len(s.workspaces))
	for name, w := range s.workspaces {
		u := *w
		c.workspaces[name] = &u
	}
	return &c
}

// prune forgets workspaces of whose use nothing is left, once in a half-life.
func (s *Shares) prune(now time.Time) {
	if now.Sub(s.prunedAt) < halfLife {
		return
	}
	s.prunedAt = now
	for name, w := range s.workspaces {
		if w.value(now) == 0 {
			delete(s.workspaces, name)
		}
	}
}

func (u *use) add(now time.Time, amount float64) {
	u.amount, u.at = u.value(now)+amount, now
}

// value returns what is left of the amount.
func (u *use) value(now time.Time) float64 { return u.amount * load.Decay(now.Sub(u.at), halfLife) }
