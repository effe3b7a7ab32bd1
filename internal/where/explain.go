package where

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
)

// The errors of requests that can't be explained.
var (
	ErrNoTable = errors.New("the VM has no configuration yet, or knows no upstream")
	ErrNoRoute = errors.New("no route has this host and path")
)

// maxTimers bounds the timers up to the answer. A request waits for the queries of a placement
// and for one upstream, after which it is sent or refused.
const maxTimers = 16

// Explain returns what becomes of a request that arrives now, if no upstream states anything
// until it is sent or refused. It works on copies of c and changes nothing.
func Explain(now time.Time, vm string, c *proxy.Core, s proxy.RequestSpec) (*Report, error) {
	t := c.Table()
	if t == nil || c.Pool().Len() == 0 {
		return nil, ErrNoTable
	}
	rt := t.Match(s.Host, s.Path)
	if rt == nil {
		return nil, ErrNoRoute
	}
	r := &Report{
		VM:       vm,
		Table:    t.Version(),
		Route:    rt.Name(),
		Kind:     rt.Kind().String(),
		Services: []Service{},
	}
	if w := t.WorkspaceForKey(s.Key); w != nil && !rt.Public() {
		r.Workspace = w.Name()
	}
	q := proxy.NewRequest(s)
	for i, share := range rt.Shares() {
		if draw, fraction := rt.Draw(i); fraction > 0 {
			r.Services = append(r.Services, explain(now, c, q, share.Service(), draw, fraction))
		}
	}
	return r, nil
}

// explain returns the course of a request whose draw selects the service.
func explain(now time.Time, c *proxy.Core, q *proxy.Request, service string, draw, fraction float64) Service {
	s := Service{
		Service:   service,
		Fraction:  fraction,
		Asked:     []string{},
		Upstreams: []Upstream{},
	}
	before := c.Copy(draw)
	if v := before.View(now, q); v != nil {
		s.Target, s.New = v.Move()
		s.Upstreams = upstreams(now, before.Pool(), v)
	}
	run(now, c.Copy(draw), q, &s)
	return s
}

// run lets a copy of the core decide about the request up to its first attempt or its end.
func run(now time.Time, c *proxy.Core, q *proxy.Request, s *Service) {
	at, actions := now, c.Step(now, proxy.NewArrive(q))
	for range maxTimers {
		for _, a := range actions {
			if s.apply(a, at.Sub(now)) {
				return
			}
		}
		next, ok := c.Next()
		if !ok {
			break
		}
		at, actions = next, c.Step(next, proxy.Event{})
	}
	s.Answer = Answer{
		Kind:   "wait",
		Reason: "for an upstream",
		After:  at.Sub(now).Milliseconds(),
	}
}

// apply adds an action to the course and reports whether it settles it.
func (s *Service) apply(a proxy.Action, after time.Duration) bool {
	switch a.Kind() {
	case proxy.QueryState, proxy.QueryPrompt:
		if id := a.Upstream().ID(); !slices.Contains(s.Asked, id) {
			s.Asked = append(s.Asked, id)
		}
		return false
	case proxy.Send:
		e := a.Upstream().Entry()
		s.Answer = Answer{
			Kind:     "send",
			Reason:   a.Reason(),
			After:    after.Milliseconds(),
			Upstream: e.ID(),
			Address:  e.Address(),
			Version:  e.Version(),
			Rank:     a.Rank(),
		}
		if a.Holder() != nil {
			s.Answer.Holder = a.Holder().ID()
		}
		return true
	case proxy.Refuse:
		s.Answer = Answer{
			Kind:   "refuse",
			Reason: a.Reason(),
			After:  after.Milliseconds(),
			Status: a.Problem().Status(),
			Retry:  a.Problem().Retry().Milliseconds(),
		}
		return true
	}
	return false
}

// upstreams returns the upstreams of the request's service, those that may be chosen first and
// the others after them, each in order of their scores.
func upstreams(now time.Time, p *pool.Pool, v *proxy.View) []Upstream {
	list := []Upstream{}
	least := math.Inf(1)
	for _, u := range p.Service(v.Need().Service()) {
		r := describe(now, p, v, u)
		if r.First {
			least = min(least, r.Score)
		}
		list = append(list, r)
	}
	for i := range list {
		u := &list[i]
		u.Near = u.First && u.Score < least+pool.MaxNoise
		u.Score = round(u.Score)
	}
	slices.SortStableFunc(list, func(a, b Upstream) int {
		if a.First != b.First {
			if a.First {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Score, b.Score)
	})
	return list
}

// describe returns what is known of an upstream.
func describe(now time.Time, p *pool.Pool, v *proxy.View, u *pool.Upstream) Upstream {
	e, n, score := u.Entry(), v.Need(), p.Score(now, v.Need(), u)
	r := Upstream{
		ID:       e.ID(),
		Address:  e.Address(),
		Domain:   e.Domain(),
		Region:   e.Region(),
		Version:  e.Version(),
		State:    p.State(now, n, u),
		Excluded: v.Excluded(u),
		Score:    score.Total(),
		Parts:    make(map[string]float64),
		Attempts: u.Attempts(),
		Tokens:   u.Tokens(),
		Others:   round(u.Load().Others(now)),
		Slots:    u.Slots(),
		Speed:    round(u.Load().SlowDown(now)),
		Limit:    u.Limit(),
		Ages:     make(map[string]int64),
	}
	r.Running, r.Waiting, r.Used = u.Reported()
	score.Parts(func(name string, value float64) { r.Parts[name] = round(value) })
	u.Evidence(now, func(kind string, age time.Duration) { r.Ages[kind] = age.Milliseconds() })
	switch r.State {
	case "resting":
		r.Free = u.RestUntil().Sub(now).Milliseconds()
	case "limited":
		r.Free = u.AvailableAt(now, n).Sub(now).Milliseconds()
	case "leaving":
	default:
		// If no engine qualifies for a placement, all upstreams are compared.
		all := n.Memory() == 0 || len(v.Candidates()) == 0
		r.First = r.Excluded == "" && (all || slices.Contains(v.Candidates(), u))
	}
	return r
}

// round rounds to three decimals.
func round(x float64) float64 { return math.Round(1000*x) / 1000 }
