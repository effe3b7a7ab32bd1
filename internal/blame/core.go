package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Lifetime is how long a charge is in force, after which its parts are tried
	// again.
	Lifetime = 10 * time.Minute
	// collectors is the number of VMs that collect the losses of a part, and
	// substitutes the number of VMs that can take the place of each.
	collectors  = 2
	substitutes = 2
	// maxTargets bounds the VMs to which one loss is sent, at least one for each part.
	maxTargets = MaxParts
	// askTimeout is the time after which an accusation without an answer is made
	// again.
	askTimeout = 5 * time.Second
	// settleTime is how long a charge that was lifted is not learned again, since
	// announcements of it may still be under way.
	settleTime = time.Second
	// maxCharges bounds the charges in force. The oldest are dropped first.
	maxCharges = 256
)

// inForce is a charge that is in force.
type inForce struct {
	charge Charge
	since  time.Time
}

// Core holds what one VM knows of the losses of engines. It is not safe for
// concurrent use.
type Core struct {
	self string
	// vms holds the names of the VMs that collect losses, sorted.
	vms       []string
	ledger    *Ledger
	survivals *Survivals
	charges   map[string]inForce
	// lifted holds when charges were lifted, by id, for askTimeout.
	lifted map[string]time.Time
	// ended holds when charges ended, by id, for Lifetime, and unstored the ids of
	// those in force that a restored store lacks.
	ended    map[string]time.Time
	unstored map[string]bool
	// asking holds when the accusations were made whose answers are awaited.
	asking  map[suspect]time.Time
	actions []Action
}

// New returns the core of the VM named self, which knows no other VM.
func New(self string) *Core {
	return &Core{
		self:      self,
		vms:       []string{self},
		ledger:    NewLedger(),
		survivals: NewSurvivals(),
		charges:   make(map[string]inForce),
		lifted:    make(map[string]time.Time),
		ended:     make(map[string]time.Time),
		unstored:  make(map[string]bool),
		asking:    make(map[suspect]time.Time),
	}
}

// SetVMs sets the names of the VMs that collect losses.
func (c *Core) SetVMs(names []string) {
	c.vms = append(slices.Clone(names), c.self)
	slices.Sort(c.vms)
	c.vms = slices.Compact(c.vms)
}

// VMs returns the names of the VMs that collect losses, sorted. The caller must not
// change the slice.
func (c *Core) VMs() []string { return c.vms }

// Charges returns the charges in force, in a stable order.
func (c *Core) Charges() []Charge {
	ids := slices.Sorted(maps.Keys(c.charges))
	list := make([]Charge, 0, len(ids))
	for _, id := range ids {
		list = append(list, c.charges[id].charge)
	}
	return list
}

// begin starts a list of actions, and drops the charges that have expired and the
// accusations that have timed out.
func (c *Core) begin(now time.Time) {
	c.actions = nil
	maps.DeleteFunc(c.lifted, func(_ string, at time.Time) bool { return now.Sub(at) > askTimeout })
	maps.DeleteFunc(c.asking, func(_ suspect, since time.Time) bool { return now.Sub(since) > askTimeout })
	maps.DeleteFunc(c.ended, func(_ string, at time.Time) bool { return now.Sub(at) > Lifetime })
	for id, f := range c.charges {
		if now.Sub(f.since) > Lifetime {
			c.end(now, id)
			c.drop(id, "expired")
		}
	}
}

// Lost reports a run of this VM whose engine was lost.
func (c *Core) Lost(now time.Time, lost Run) []Action {
	c.begin(now)
	if len(lost.Parts()) == 0 || c.covered(lost) {
		return c.actions
	}
	c.emit(Action{
		kind:    Report,
		run:     lost,
		targets: c.targets(lost),
	})
	return c.actions
}

// covered reports whether a charge in force covers the run.
func (c *Core) covered(lost Run) bool { return len(c.Known(lost)) > 0 }

// Known returns the charges in force that cover a lost run.
func (c *Core) Known(lost Run) []Charge {
	var list []Charge
	for _, charge := range c.Charges() {
		if charge.Matches(lost.Service(), lost.Parts()) && (!charge.Restricted() || charge.Struck() == lost.Version()) {
			list = append(list, charge)
		}
	}
	return list
}

// targets returns the VMs that collect the losses of a run's parts.
func (c *Core) targets(lost Run) [][]string {
	var list [][]string
	seen := make(map[string]bool)
	each := min(collectors, maxTargets/len(lost.Parts()))
	for _, part := range lost.Parts() {
		ranked := c.ranked(part)
		for i := range min(each, len(ranked)) {
			if seen[ranked[i]] {
				continue
			}
			seen[ranked[i]] = true
			target := []string{ranked[i]}
			for j := collectors + i; j < len(ranked) && len(target) <= substitutes; j += collectors {
				target = append(target, ranked[j])
			}
			list = append(list, target)
		}
	}
	return list
}

// ranked returns the VMs in the order in which they collect the losses of a part.
// All VMs find the same order, and a change of the VMs moves few parts.
func (c *Core) ranked(part string) []string {
	type weight struct {
		name string
		hash uint64
	}
	weights := make([]weight, 0, len(c.vms))
	for _, name := range c.vms {
		weights = append(weights, weight{
			name: name,
			hash: xxhash.Sum64String(name + "\x00" + part),
		})
	}
	slices.SortFunc(weights, func(a, b weight) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name)) })
	most := min(len(weights), collectors*(substitutes+1))
	names := make([]string, 0, most)
	for _, w := range weights[:most] {
		names = append(names, w.name)
	}
	return names
}

// Collect counts a loss that a VM reports.
func (c *Core) Collect(now time.Time, lost Run) []Action {
	c.begin(now)
	if c.covered(lost) {
		return c.actions
	}
	for _, a := range c.ledger.Add(now, lost) {
		if _, ok := c.asking[a.suspect]; ok || c.charged(a) {
			continue
		}
		c.asking[a.suspect] = now
		c.emit(Action{
			kind:       Ask,
			accusation: a,
		})
	}
	return c.actions
}

// charged reports whether the accused parts are charged already.
func (c *Core) charged(a Accusation) bool {
	for _, restricted := range []bool{false, true} {
		if _, ok := c.charges[NewCharge(a.suspect.service, a.parts, a.suspect.version, restricted).ID()]; ok {
			return true
		}
	}
	return false
}

// Seen returns which parts this VM has seen survive after a time.
func (c *Core) Seen(service string, parts []string, after time.Time) []Sight {
	return c.survivals.Since(service, parts, after)
}

// Answered decides about an accusation, given what all VMs have seen survive since
// its first loss. silent is the number of VMs that run but did not answer. If they
// are the majority, this VM may be cut off and the losses its own, so that nothing
// is decided.
func (c *Core) Answered(now time.Time, a Accusation, sights []Sight, silent int) []Action {
	c.begin(now)
	delete(c.asking, a.suspect)
	if 2*silent > len(c.vms) {
		return c.actions
	}
	restricted := false
	parts := slices.Clone(a.parts)
	for _, s := range sights {
		if s.version != a.suspect.version {
			restricted = restricted || s.part == a.suspect.part
			continue
		}
		c.ledger.Clear(a.suspect.service, s.part, s.version, s.at)
		parts = slices.DeleteFunc(parts, func(p string) bool { return p == s.part })
	}
	if !slices.Contains(parts, a.suspect.part) {
		return c.actions
	}
	charge := NewCharge(a.suspect.service, parts, a.suspect.version, restricted)
	if at, ok := c.lifted[charge.ID()]; ok && !a.since.After(at) {
		c.ledger.Clear(a.suspect.service, a.suspect.part, a.suspect.version, at)
		return c.actions
	}
	c.raise(now, charge, "accused")
	return c.actions
}

// raise puts a charge in force that this VM has found, and makes it known.
func (c *Core) raise(now time.Time, charge Charge, reason string) {
	if !c.adopt(now, charge, reason) {
		return
	}
	c.emit(Action{
		kind:   Announce,
		charge: charge,
	})
	c.emit(Action{
		kind:   Store,
		charge: charge,
		left:   Lifetime,
	})
}

// lift ends a charge that this VM has refuted, and makes that known.
func (c *Core) lift(now time.Time, charge Charge, reason string) {
	c.lifted[charge.ID()] = now
	c.end(now, charge.ID())
	c.drop(charge.ID(), reason)
	c.emit(Action{
		kind:   Announce,
		charge: charge,
		lifted: true,
	})
	c.emit(Action{
		kind:   Unstore,
		charge: charge,
	})
}

// Learn puts a charge in force that another VM has found.
func (c *Core) Learn(now time.Time, charge Charge) []Action {
	c.begin(now)
	c.learn(now, charge)
	return c.actions
}

// learn puts a charge in force unless it was lifted just now.
func (c *Core) learn(now time.Time, charge Charge) {
	if at, ok := c.lifted[charge.ID()]; !ok || now.Sub(at) >= settleTime {
		c.adopt(now, charge, "learned")
	}
}

// Expire ends the charges whose lifetime is over, and stores those again that a restored
// store still lacks.
func (c *Core) Expire(now time.Time) []Action {
	c.begin(now)
	c.storeAgain(now, len(c.vms))
	return c.actions
}

// Lift ends the charge with an id.
func (c *Core) Lift(now time.Time, id string) []Action {
	c.begin(now)
	c.liftID(now, id)
	return c.actions
}

// liftID ends the charge with an id that another VM has lifted.
func (c *Core) liftID(now time.Time, id string) {
	c.lifted[id] = now
	c.end(now, id)
	c.drop(id, "lifted")
}

// adopt puts a charge in force and reports whether it was not yet.
func (c *Core) adopt(now time.Time, charge Charge, reason string) bool {
	id := charge.ID()
	if _, ok := c.charges[id]; ok || !charge.Valid() {
		return false
	}
	if len(c.charges) >= maxCharges {
		c.drop(slices.MinFunc(slices.Sorted(maps.Keys(c.charges)), func(a, b string) int {
			return c.charges[a].since.Compare(c.charges[b].since)
		}), "too many charges")
	}
	delete(c.ended, id)
	c.charges[id] = inForce{
		charge: charge,
		since:  now,
	}
	c.emit(Action{
		kind:   Fence,
		charge: charge,
		reason: reason,
	})
	return true
}

// drop ends a charge. The losses that led to it no longer count.
func (c *Core) drop(id, reason string) {
	f, ok := c.charges[id]
	if !ok {
		return
	}
	delete(c.charges, id)
	for _, part := range f.charge.parts {
		c.ledger.forget(f.charge.service, part, f.charge.struck)
	}
	c.emit(Action{
		kind:   Fence,
		charge: f.charge,
		lifted: true,
		reason: reason,
	})
}

// Survived reports a run of this VM that its engine survived, which may refute
// charges.
func (c *Core) Survived(now time.Time, r Run) []Action {
	c.begin(now)
	c.survivals.Add(now, r)
	for _, charge := range c.Charges() {
		if charge.service != r.Service() || !slices.ContainsFunc(charge.parts, r.has) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(charge.parts), r.has)
		switch {
		case r.Version() == charge.struck && len(rest) == 0:
			c.lift(now, charge, "survived")
		case r.Version() == charge.struck:
			c.raise(now, NewCharge(charge.service, rest, charge.struck, charge.restricted), "a part survived")
			c.lift(now, charge, "a part survived")
		case len(rest) == 0 && !charge.restricted:
			c.raise(now, NewCharge(charge.service, charge.parts, charge.struck, true), "another version survived")
			c.lift(now, charge, "another version survived")
		}
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }
