package enrol

import (
	"time"

	"clementinelink.example/clementinelink/internal/roster"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/errors"
)

const (
	// leaseTime is the lease duration of a VM's own key; other VMs stop counting the VM
	// when it expires. It is the longest lease that the store grants, because counting
	// a stopped VM only makes the other VMs' shares of the common limits smaller.
	leaseTime = 10 * time.Minute
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = 2 * time.Second
	// rewriteSpread is the time over which the VMs write their keys again that a
	// restored store lacks. The other VMs keep such keys for 2.5 s.
	rewriteSpread = time.Second
	// adoptSpread is the time over which the VMs renew the leases that they have taken
	// over. In a copy of the store, such a lease has half of its time left or more.
	adoptSpread = time.Minute
)

// Kind is the kind of a step.
type Kind uint8

// The kinds of steps.
const (
	// Wait waits until Step.Until.
	Wait Kind = iota
	// Renew renews the lease Step.Lease.
	Renew
	// Read reads the VM's own key.
	Read
	// Write writes the VM's own key under a new lease if its revision is Step.Expect.
	Write
)

// Step is what to do next. It is immutable.
type Step struct {
	kind   Kind
	until  time.Time
	lease  string
	expect uint64
}

// Kind returns the kind of the step.
func (s Step) Kind() Kind { return s.kind }

// Until returns the time until which to wait.
func (s Step) Until() time.Time { return s.until }

// Lease returns the lease to renew.
func (s Step) Lease() string { return s.lease }

// Expect returns the expected revision of a write, 0 for an absent key.
func (s Step) Expect() uint64 { return s.expect }

// Core decides how to keep a VM's own key in the store. It is owned by one goroutine.
type Core struct {
	self tree.VM
	// random returns a number in [0, 1).
	random func() float64
	// lease is the lease of the key, or "".
	lease string
	// read is true if expect is the key's revision as far as this VM knows.
	read   bool
	expect uint64
	// dueAt is the time of the next call.
	dueAt time.Time
	// conflicts counts the consecutive writes that another revision has prevented.
	conflicts int
}

// NewCore returns a core for the VM self, whose key is absent if first is true. A wrong
// value costs a call of the store. random returns numbers in [0, 1).
func NewCore(self tree.VM, first bool, random func() float64) *Core {
	return &Core{
		self:   self,
		random: random,
		read:   first,
	}
}

// Next returns the next step.
func (c *Core) Next(now time.Time) Step {
	switch {
	case now.Before(c.dueAt):
		return Step{
			until: c.dueAt,
		}
	case c.lease != "":
		return Step{
			kind:  Renew,
			lease: c.lease,
		}
	case !c.read:
		return Step{
			kind: Read,
		}
	default:
		return Step{
			kind:   Write,
			expect: c.expect,
		}
	}
}

// Renewed applies the result of a renewal.
func (c *Core) Renewed(now time.Time, err error) {
	switch {
	case errors.Is(err, store.ErrExpired):
		c.forget()
		c.dueAt = now
	case err != nil:
		c.dueAt = now.Add(retryDelay)
	default:
		c.dueAt = now.Add(leaseTime / 2)
	}
}

// Found applies the VM's own key as it was read, the zero Entry if it is absent. A key
// that the VM's previous process left, or that the VM wrote before the store was
// restored, is not written again if its value is the same.
func (c *Core) Found(now time.Time, own store.Entry, err error) {
	switch {
	case err != nil:
		c.dueAt = now.Add(retryDelay)
	case c.isOwn(own) && own.Lease() != "":
		c.adopt(now, own)
	default:
		c.read, c.expect, c.dueAt = true, own.Revision(), now
	}
}

// Written applies the result of a write and the lease under which it was performed.
func (c *Core) Written(now time.Time, lease string, err error) {
	c.forget()
	switch {
	case err == nil:
		c.lease, c.conflicts, c.dueAt = lease, 0, now.Add(leaseTime/2)
	case errors.Is(err, store.ErrConflict) && c.conflicts == 0:
		c.conflicts++
		c.dueAt = now
	default:
		c.conflicts = 0
		c.dueAt = now.Add(retryDelay)
	}
}

// Restored applies the VM's own key as a restored store lists it, the zero Entry if it
// does not. It reports whether the key will be written again.
func (c *Core) Restored(now time.Time, own store.Entry) bool {
	c.forget()
	if c.isOwn(own) {
		c.adopt(now, own)
		return false
	}
	c.read, c.expect = true, own.Revision()
	c.dueAt = now.Add(c.spread(rewriteSpread))
	return true
}

// forget forgets what is known of the key.
func (c *Core) forget() { c.lease, c.read, c.expect = "", false, 0 }

// isOwn reports whether an entry describes this VM.
func (c *Core) isOwn(e store.Entry) bool {
	v, err := roster.Decode(e)
	return e.Revision() > 0 && err == nil && roster.Same(v, c.self)
}

// adopt takes over the lease of an entry. The VMs renew such leases at different times.
func (c *Core) adopt(now time.Time, own store.Entry) {
	c.forget()
	c.lease, c.conflicts = own.Lease(), 0
	c.dueAt = now.Add(c.spread(adoptSpread))
}

// spread returns a random part of d.
func (c *Core) spread(d time.Duration) time.Duration { return time.Duration(c.random() * float64(d)) }
