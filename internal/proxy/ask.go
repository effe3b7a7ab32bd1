package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// askWait is how long an engine is given to state what it does. A new
	// connection and a request take two round trips of 24 ms between regions.
	askWait = 130 * time.Millisecond
	// surveyWait is how long a choice waits for the statements of the engines
	// among which it is made.
	surveyWait = 60 * time.Millisecond
	// surveySize is the number of engines among which a new run is placed.
	surveySize = 4
	// backSize is the number of engines that are asked for the prompt of a
	// caller who comes back for the rest of a stream. It is larger, since the
	// set of engines may have changed meanwhile.
	backSize = 6
	// readRate is the number of prompt tokens that an engine reads in a
	// second, which a kept prompt saves.
	readRate = 5000
)

// PromptKept ends the reason of a sending to an engine that keeps the prompt of a
// caller who came back.
const PromptKept = ", prompt kept"

// survey is a choice that waits for engines' statements.
type survey struct {
	reason string
	// beside is true if the choice is for a second attempt beside one that
	// runs.
	beside bool
	end    time.Time
	// among holds the engines to choose from.
	among []*pool.Upstream
	// open counts the answers to come.
	open map[string]int
	// kept holds the tokens of the prompt that engines keep.
	kept map[string]int
}

// ask asks an engine what it does, once at a time.
func (c *Core) ask(now time.Time, u *pool.Upstream, instance, reason string) {
	key := u.ID() + " " + instance
	if _, ok := c.asking[key]; ok {
		return
	}
	c.asking[key] = now
	c.out = append(c.out, Action{
		kind:     Ask,
		upstream: u,
		instance: instance,
		wait:     askWait,
		reason:   reason,
	})
}

// stated applies an engine's statement, or its silence.
func (c *Core) stated(now time.Time, e Event) {
	delete(c.asking, e.upstream+" "+e.instance)
	if e.instance != "" {
		c.identified(now, e)
		return
	}
	u := c.pool.Get(e.upstream)
	switch {
	case e.alive && u != nil && u.FromOtherIncarnation(e.state):
		c.renamed(u, e.state)
	case e.alive && u != nil:
		u.UpdateState(now, e.state)
	case !e.alive:
		if u != nil {
			c.fell(now, u)
		}
		c.died(now, e.upstream)
	}
	if _, ok := c.unnamed[e.upstream]; !ok {
		c.answered(now, e.upstream, nil)
	}
}

// answered ends the wait of all choices for an engine. The engine that took
// its place, if there is one, is among those to choose from.
func (c *Core) answered(now time.Time, id string, successor *pool.Upstream) {
	for _, x := range c.ordered() {
		if x.survey == nil {
			continue
		}
		if successor != nil && x.survey.open[id] > 0 {
			x.survey.among = append(x.survey.among, successor)
		}
		x.survey.answered(id)
		c.conclude(now, x)
	}
}

// renamed asks the engine that took the place of a listed one for its id.
func (c *Core) renamed(u *pool.Upstream, s pool.State) {
	u.MarkReplaced()
	if !c.fits(u, s) {
		return
	}
	c.unnamed[u.ID()] = s
	c.out = append(c.out, Action{
		kind:     Name,
		upstream: u,
		path:     c.table.Service(u.Entry().Service()).Health(),
		wait:     askWait,
		reason:   "another incarnation",
	})
}

// named lists the engine at the address of a former one under its id.
func (c *Core) named(now time.Time, e Event) {
	s, ok := c.unnamed[e.upstream]
	delete(c.unnamed, e.upstream)
	if old := c.pool.Get(e.upstream); ok && old != nil && e.instance != "" {
		c.pool.AddProvisional(now, old, e.instance, s)
	}
	c.answered(now, e.upstream, c.pool.Get(e.instance))
}

// identified lists the engine that answered under another id than that of the
// former one at its address.
func (c *Core) identified(now time.Time, e Event) {
	if old := c.pool.Get(e.upstream); e.alive && old != nil && c.fits(old, e.state) {
		c.pool.AddProvisional(now, old, e.instance, e.state)
	}
}

// fits reports whether what an engine states fits the service of the former
// one at its address, and no other.
func (c *Core) fits(old *pool.Upstream, s pool.State) bool {
	return c.table != nil && c.table.Identify(s.Memory(), s.Models()) == old.Entry().Service()
}

// died ends all attempts of repeatable streams at an engine that does not
// answer.
func (c *Core) died(now time.Time, id string) {
	for _, x := range c.ordered() {
		if !x.stream() || !x.route.Repeatable() {
			continue
		}
		for _, a := range x.running() {
			if a.up.ID() == id {
				c.giveUp(now, x, a, Silent, "engine dead")
			}
		}
		c.settle(x)
	}
}

// found applies the tokens of a prompt that an engine keeps.
func (c *Core) found(now time.Time, e Event) {
	x := c.live[e.number]
	if x == nil || x.survey == nil {
		return
	}
	x.survey.kept[e.upstream] = e.index
	x.survey.answered(e.upstream)
	c.conclude(now, x)
}

func (s *survey) answered(id string) {
	if s.open[id]--; s.open[id] <= 0 {
		delete(s.open, id)
	}
}

// place starts an attempt at the best of a few engines, which are asked first:
// a VM knows only its own work, and most is that of others. A caller that comes
// back for the rest of a stream is sent to the engine that kept its prompt.
func (c *Core) place(now time.Time, x *exchange, reason string) {
	back := x.q.spec.Position > 0 && x.need.Prompt() != ""
	size := surveySize
	if back {
		size = backSize
	}
	s := &survey{
		reason: reason,
		beside: len(x.running()) > 0,
		end:    now.Add(surveyWait),
		among:  c.pool.Candidates(now, x.need, x.skips, size),
		open:   make(map[string]int),
		kept:   make(map[string]int),
	}
	for _, u := range s.among {
		if !u.HasFreshState(now) {
			s.open[u.ID()]++
			c.ask(now, u, "", "survey")
		}
		if back {
			s.open[u.ID()]++
			c.act(x, Action{
				kind:     Find,
				upstream: u,
				wait:     surveyWait,
				prompt:   x.need.Prompt(),
			})
		}
	}
	x.survey = s
	c.conclude(now, x)
}

// conclude makes the choice once all engines have answered or the time is up.
func (c *Core) conclude(now time.Time, x *exchange) {
	s := x.survey
	if s == nil || len(s.open) > 0 && now.Before(s.end) {
		return
	}
	x.survey = nil
	up := c.pool.Best(now, x.need, s.among, func(u *pool.Upstream) float64 {
		return -float64(s.kept[u.ID()]) / readRate
	})
	switch {
	case s.beside && (up == nil || up.BackingOff(now) || !c.lone(x) || !c.allowed(now, x)):
		// The attempt that runs is not given up.
	case up == nil || up.BackingOff(now):
		c.launch(now, x, s.reason)
	case x.end.Sub(now) < minLeft:
		c.fail(now, x, "no time left", errs.Expired)
	default:
		if s.kept[up.ID()] > 0 {
			s.reason += PromptKept
		}
		c.send(now, x, up, up.ID(), false, s.reason)
	}
	c.settle(x)
}
