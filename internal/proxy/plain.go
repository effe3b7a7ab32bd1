package proxy

import (
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/table"
)

const (
	// hedgeShare is the part of a lookup's goal after which a second upstream
	// is asked too. The rest of the goal must hold a whole answer.
	hedgeShare = 0.4
	// minHedge keeps the hedge above the round trip between regions and the
	// usual work.
	minHedge = 55 * time.Millisecond
)

// plan sets the time of the next hedge.
func (c *Core) plan(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	goal := x.route.Goal()
	if goal == 0 || len(x.running()) > 1 || x.ran+1 >= x.route.Attempts() {
		return
	}
	switch {
	case x.route.Kind() == table.Lookup:
		x.hedgeAt = now.Add(max(time.Duration(hedgeShare*float64(goal)), minHedge))
	case x.stream() && !x.opened && x.route.Repeatable():
		x.hedgeAt = now.Add(time.Duration(firstShare * float64(goal)))
	}
}

// hedge starts a second attempt beside one that takes long.
func (c *Core) hedge(now time.Time, x *exchange) {
	x.hedgeAt = time.Time{}
	if !c.lone(x) {
		return
	}
	x.running()[0].up.RecordFault(now)
	if x.need.Memory() > 0 {
		c.place(now, x, "hedge")
		return
	}
	up := c.pool.Pick(now, x.need, x.skips)
	if up == nil || up.BackingOff(now) || !c.allowed(now, x) {
		return
	}
	c.send(now, x, up, up.ID(), false, "hedge")
}

// lone reports whether one attempt runs whose answer has not begun.
func (c *Core) lone(x *exchange) bool { return len(x.running()) == 1 && !x.opened }

// again continues a plain request after an attempt without an answer.
func (c *Core) again(now time.Time, x *exchange, e Event) {
	switch {
	case e.cause.mayHaveRun() && !x.mayRepeat():
		c.fail(now, x, e.cause.String(), errs.Upstream)
	case x.unrun >= maxUnrun:
		c.fail(now, x, "refused by upstreams", errs.Upstream)
	case !c.allowed(now, x):
		c.fail(now, x, "budget of repeats used up", errs.Upstream)
	default:
		c.begin(now, x, "after "+e.cause.String())
	}
}

// replied applies a complete answer.
func (c *Core) replied(now time.Time, x *exchange, a *attempt, answer *Answer) {
	c.end(x, a)
	x.ran++
	if !answer.Failed() {
		c.judge(now, x, a)
		a.up.RecordSuccess(now)
		c.deliver(now, x, answer, "answered")
		return
	}
	c.judge(now, x, a, move.Errors)
	a.up.RecordActivity(now)
	a.up.RecordFault(now)
	if answer.Status() == http.StatusServiceUnavailable {
		// An upstream's 503 without the statement that it did not run the
		// request would promise too much.
		answer = nil
	}
	if answer != nil {
		x.reply = answer
	}
	if len(x.running()) > 0 {
		return
	}
	if x.mayRepeat() && !x.opened && c.allowed(now, x) {
		c.begin(now, x, "after failure")
		return
	}
	c.fail(now, x, "failed by upstream", errs.Upstream)
}

func (c *Core) deliver(now time.Time, x *exchange, answer *Answer, reason string) {
	if x.opened {
		c.finish(now, x, Action{
			kind:   Break,
			reason: "answer in place of a stream",
		})
		return
	}
	c.finish(now, x, Action{
		kind:   Deliver,
		reason: reason,
		answer: answer,
	})
}
