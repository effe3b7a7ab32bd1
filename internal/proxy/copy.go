package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
)

const (
	// copyRefreshShare is the fraction of an on-demand copy's retention time
	// after which the copy is refreshed; a refresh transfers only new output.
	// With a retention of 4 s, a resume recomputes at most 0.8 s of output,
	// which takes 50 ms.
	copyRefreshShare = 0.2
	// copyRetryPause is the wait before a failed copy is retried.
	copyRetryPause = 500 * time.Millisecond
)

// onDemandCopy is an on-demand copy of a run that replaces a lost standby copy.
type onDemandCopy struct {
	holder *pool.Upstream
	// handle identifies the copy at its holder. It is "" until the engine has
	// confirmed the copy.
	handle string
	// next is the earliest time of the next copy request, and pending is true
	// while one is in flight.
	next    time.Time
	pending bool
}

// requestCopy requests or refreshes an on-demand copy of a run whose standby copy
// is lost.
func (c *Core) requestCopy(now time.Time, x *exchange, a *attempt) {
	o := &a.onDemandCopy
	if x.fence.closed || o.pending || now.Before(o.next) || !c.keepsCopies(x) || c.standbyIntact(now, a) {
		return
	}
	retention := c.table.Service(x.need.Service()).Engine().CopyRetention()
	if retention == 0 {
		return
	}
	if o.holder == nil || !o.holder.Available(now) {
		c.releaseCopy(x, a)
		o.handle = ""
		if o.holder = c.pool.PickCopy(now, x.need, a.upstream, x.excludesHolder(a.upstream)); o.holder == nil {
			o.next = now.Add(copyRetryPause)
			return
		}
		o.holder.AddCopyTokens(x.tokens)
	}
	if a.upstream.Resting(now) {
		o.next = a.upstream.RestUntil()
		return
	}
	o.pending = true
	o.next = now.Add(time.Duration(copyRefreshShare * float64(retention)))
	c.emit(x, Action{
		kind:     Copy,
		attempt:  a.number,
		upstream: a.upstream,
		holder:   o.holder,
		timeout:  retention,
		reason:   "standby copy lost",
	})
}

// standbyIntact reports whether the holder of the run's standby copy still has
// it. An incarnation of the holder that started after the attempt was sent has
// lost what was copied before.
func (c *Core) standbyIntact(now time.Time, a *attempt) bool {
	if a.holder == nil {
		return false
	}
	h := a.holder.Latest()
	if h != a.holder && h.Entry().StartedAt() > a.sent.UnixMilli() {
		return false
	}
	return h.Usable() && !h.BackingOff(now)
}

// copyEnded reports whether copies of the exchange's run are kept no longer. They are for
// a time after their latest part, which is no older than the latest piece.
func (c *Core) copyEnded(now time.Time, x *exchange) bool {
	s := c.table.Service(x.need.Service())
	return s != nil && s.Engine() != nil && s.Engine().CopyRetention() > 0 && now.Sub(x.lastDelivered) > s.Engine().CopyRetention()
}

// handleCopied applies the result of a copy request; an empty handle means that
// it failed.
func (c *Core) handleCopied(now time.Time, a *attempt, handle string) {
	o := &a.onDemandCopy
	o.pending = false
	if handle == "" {
		o.next = now.Add(copyRetryPause)
	}
	o.handle = handle
}

// releaseCopy removes the memory of an on-demand copy from its holder's
// account.
func (c *Core) releaseCopy(x *exchange, a *attempt) {
	if a.onDemandCopy.holder != nil {
		a.onDemandCopy.holder.AddCopyTokens(-x.tokens)
		a.onDemandCopy.holder = nil
	}
}
