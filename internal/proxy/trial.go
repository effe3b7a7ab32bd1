package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/budget"
	"clementinelink.example/clementinelink/internal/heard"
	"clementinelink.example/clementinelink/internal/hedge"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/reap"
)

// Copy returns a copy of c without requests, for trials. Nothing that is done to it changes c, so
// that another goroutine may use it. Its random numbers are draw and then 0.
func (c *Core) Copy(draw float64) *Core {
	s := *c
	s.pool, s.returns, s.order, s.cancelled, s.actions = c.pool.Copy(), c.returns.Copy(), c.order.Copy(), reap.New(), nil
	s.inFlight, s.omitted, s.alarms, s.pending = make(map[uint64]*exchange), len(c.inFlight)+c.omitted, alarm.New[uint64](), nil
	s.budgets, s.hedges = budget.NewShares(budget.Limits{}, c.peers), hedge.New(hedge.Limit{}, move.MinVMs, nil)
	s.stateQueries, s.paths, s.awaitingID = make(map[string]time.Time), heard.NewPaths(queryTimeout, maxPatience), make(map[string]bool)
	s.moves = make(map[string]*serviceMove, len(c.moves))
	for service, m := range c.moves {
		copied, gate, quota := *m, *m.gate, *m.quota
		copied.gate, copied.quota = &gate, &quota
		s.moves[service] = &copied
	}
	s.random = func() (d float64) {
		d, draw = draw, 0
		return d
	}
	return &s
}

// View is what the choice of an upstream for an admitted request begins with.
type View struct {
	x          *exchange
	candidates []*pool.Upstream
}

// View admits a request, and returns nil if it is refused before the choice. Call it on a Copy.
func (c *Core) View(now time.Time, q *Request) *View {
	x := c.admit(now, q)
	if x == nil {
		return nil
	}
	x.need = x.need.WithOthers(c.others(x))
	list, _ := c.candidates(now, x)
	return &View{
		x:          x,
		candidates: list,
	}
}

// Need returns what the request needs.
func (v *View) Need() pool.Need { return v.x.need }

// Candidates returns the upstreams that are considered first if the service has engines.
func (v *View) Candidates() []*pool.Upstream { return v.candidates }

// Move returns the version that the service moves to, or "", and whether it gets the request.
func (v *View) Move() (target string, assigned bool) {
	if v.x.move == nil {
		return "", false
	}
	return v.x.move.target, v.x.wantsNew()
}

// Excluded returns why the request must not be sent to an upstream, or "".
func (v *View) Excluded(u *pool.Upstream) string {
	switch {
	case v.x.fence.excludes(u):
		return promptCharged
	case v.x.wrongVersion(u):
		return "another version"
	default:
		return ""
	}
}
