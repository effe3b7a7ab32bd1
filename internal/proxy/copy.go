package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// copyAgain is the part of the time that an ordered copy lasts after which
	// it is ordered again; only what is new is transferred. With 4 s, a resume
	// reads up to 0.8 s of output again, which takes 50 ms.
	copyAgain = 0.2
	// copyRetry is the pause after an order that failed.
	copyRetry = 500 * time.Millisecond
)

// ordered is a copy of a run that was ordered because the standby copy was
// lost.
type ordered struct {
	holder *pool.Upstream
	// handle names the copy; it is "" until the engine has confirmed it.
	handle string
	// next is when the copy must be ordered again, and pending is true while
	// an order is on its way.
	next    time.Time
	pending bool
}

// keepCopy orders a copy of a producing run whose standby copy is lost.
func (c *Core) keepCopy(now time.Time, x *exchange, a *attempt) {
	o := &a.ordered
	if o.pending || now.Before(o.next) || !c.copies(x) || c.hasCopy(now, a) {
		return
	}
	hold := c.table.Service(x.need.Service()).Engine().CopyRetention()
	if hold == 0 {
		return
	}
	if o.holder == nil || !intact(now, o.holder) {
		c.releaseCopy(x, a)
		o.handle = ""
		if o.holder = c.pool.PickCopy(now, x.need, a.up, x.skips); o.holder == nil {
			o.next = now.Add(copyRetry)
			return
		}
		o.holder.AddCopyTokens(x.tokens)
	}
	o.pending = true
	o.next = now.Add(time.Duration(copyAgain * float64(hold)))
	c.act(x, Action{
		kind:     Copy,
		attempt:  a.number,
		upstream: a.up,
		holder:   o.holder,
		wait:     hold,
		reason:   "standby copy lost",
	})
}

// hasCopy reports whether the run's standby copy is still there. The holder's
// successor has none of what was sent before its birth.
func (c *Core) hasCopy(now time.Time, a *attempt) bool {
	if a.holder == nil {
		return false
	}
	h := a.holder.Latest()
	if h != a.holder && h.Entry().Born() > a.sent.UnixMilli() {
		return false
	}
	return h.Usable() && !h.BackingOff(now)
}

func intact(now time.Time, u *pool.Upstream) bool {
	return u.Usable() && !u.BackingOff(now) && u.Latest() == u
}

// copied applies the result of an order.
func (c *Core) copied(now time.Time, a *attempt, handle string) {
	o := &a.ordered
	o.pending = false
	if handle == "" {
		o.next = now.Add(copyRetry)
	}
	o.handle = handle
}

// releaseCopy closes the books of an ordered copy.
func (c *Core) releaseCopy(x *exchange, a *attempt) {
	if a.ordered.holder != nil {
		a.ordered.holder.AddCopyTokens(-x.tokens)
		a.ordered.holder = nil
	}
}
