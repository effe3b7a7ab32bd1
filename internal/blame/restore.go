package blame

import (
	"maps"
	"slices"
	"time"
)

const (
	// writers is the number of VMs that write a charge again that a restored store
	// lacks. Their writes are conditional, so that one of them suffices.
	writers = 2
	// minLeft is the time that a charge must have left to be written again.
	minLeft = 10 * time.Second
)

// Restored applies the charges that a restored store lists. Those in force here that it
// lacks are written again for the rest of their lifetime. Those that have ended here do
// not come back.
func (c *Core) Restored(now time.Time, listed []Charge) []Action {
	c.begin(now)
	clear(c.unstored)
	has := make(map[string]bool, len(listed))
	for _, charge := range listed {
		has[charge.ID()] = true
		if !c.refuse(charge, writers) {
			c.adopt(now, charge, "learned")
		}
	}
	for id := range c.charges {
		if !has[id] {
			c.unstored[id] = true
		}
	}
	c.storeAgain(now, writers)
	return c.actions
}

// Stored applies a charge that the store has. again is true if a VM has written it again
// after a restoration, not knowing that it has ended.
func (c *Core) Stored(now time.Time, charge Charge, again bool) []Action {
	c.begin(now)
	delete(c.unstored, charge.ID())
	if !again || !c.refuse(charge, writers) {
		c.learn(now, charge)
	}
	return c.actions
}

// Missing applies the absence of a charge from the store. confirmed is false if that is
// only due to a restoration or an outage of the store.
func (c *Core) Missing(now time.Time, id string, confirmed bool) []Action {
	c.begin(now)
	if confirmed || !c.unstored[id] {
		c.liftID(now, id)
	}
	return c.actions
}

// refuse reports whether a charge has ended here within the lifetime of one. The first
// VMs of the order delete its key.
func (c *Core) refuse(charge Charge, first int) bool {
	if _, ok := c.ended[charge.ID()]; !ok {
		return false
	}
	if c.comesFirst(charge.ID(), first) {
		c.emit(Action{
			kind:   Unstore,
			charge: charge,
		})
	}
	return true
}

// storeAgain stores the charges that the store lacks, if this VM is one of the first of
// the order.
func (c *Core) storeAgain(now time.Time, first int) {
	for _, id := range slices.Sorted(maps.Keys(c.unstored)) {
		f, ok := c.charges[id]
		left := Lifetime - now.Sub(f.since)
		if ok && left >= minLeft && c.comesFirst(id, first) {
			c.emit(Action{
				kind:   Store,
				charge: f.charge,
				left:   left,
				again:  true,
			})
		}
	}
}

// comesFirst reports whether this VM is one of the first of an order of the VMs that
// depends on id.
func (c *Core) comesFirst(id string, first int) bool {
	ranked := c.ranked(id)
	return slices.Contains(ranked[:min(first, len(ranked))], c.self)
}

// end notes that a charge has ended.
func (c *Core) end(now time.Time, id string) {
	if len(c.ended) >= maxCharges {
		delete(c.ended, slices.MinFunc(slices.Sorted(maps.Keys(c.ended)), func(a, b string) int { return c.ended[a].Compare(c.ended[b]) }))
	}
	c.ended[id] = now
	delete(c.unstored, id)
}
