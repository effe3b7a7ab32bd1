package fair

import "time"

// The ranks of work at an engine, which takes prompts in their order. They run from 0
// (first) to 9.
const (
	// resumedRank is the rank of a resumed stream of the most urgent routes; those of
	// others have the next one. They precede all new work, because their callers wait for
	// the next piece.
	resumedRank = 2
	// newRank is the rank of new work of the most urgent routes. Those of less urgent ones
	// follow in steps of urgencyStep, of which there are maxLater. The rank between two
	// steps is that of workspaces over their share.
	newRank     = 4
	urgencyStep = 2
	maxLater    = 2
)

// Order ranks the work of one VM at engines. It is not safe for concurrent use.
type Order struct {
	// shared is true if workspaces share engines equally.
	shared bool
	// shares holds what workspaces have used of each service.
	shares map[string]*Shares
	// observe is called with the rank of each attempt. It may be nil.
	observe func(rank int)
}

// NewOrder returns an order by urgency alone, or with shared also by what workspaces have
// used.
func NewOrder(shared bool) *Order {
	return &Order{
		shared: shared,
		shares: make(map[string]*Shares),
	}
}

// WithObserver sets the function that is called with the rank of each attempt. It must be
// called before any other method.
func (o *Order) WithObserver(observe func(rank int)) *Order {
	o.observe = observe
	return o
}

// Copy returns an independent copy without an observer.
func (o *Order) Copy() *Order {
	c := NewOrder(o.shared)
	for service, s := range o.shares {
		c.shares[service] = s.copy()
	}
	return c
}

// Count counts a request of a workspace that takes a number of tokens.
func (o *Order) Count(now time.Time, service, workspace string, tokens int) {
	if !o.shared || workspace == "" || tokens == 0 {
		return
	}
	s := o.shares[service]
	if s == nil {
		s = New()
		o.shares[service] = s
	}
	s.Add(now, workspace, tokens)
}

// Rank returns the rank of an attempt for a workspace, or "". later is the number of
// priorities that are more urgent than its route's, and begun is true if the caller has
// output.
func (o *Order) Rank(now time.Time, service, workspace string, later int, begun bool) int {
	rank := o.rank(now, service, workspace, later, begun)
	if o.observe != nil {
		o.observe(rank)
	}
	return rank
}

func (o *Order) rank(now time.Time, service, workspace string, later int, begun bool) int {
	later = min(later, maxLater)
	if begun {
		return resumedRank + min(later, 1)
	}
	rank := newRank + urgencyStep*later
	if s := o.shares[service]; s != nil && s.Over(now, workspace) {
		rank++
	}
	return rank
}
