package config

import (
	"time"

	"github.com/cockroachdb/errors"
)

// answerFetch takes the parts that match their digest.
func (c *Core) answerFetch(now time.Time, e Event) {
	if !c.fetch.ends(e.op) || c.target == nil {
		return
	}
	for key, value := range e.parts {
		if verify(key, value) {
			c.parts[key] = value
		}
	}
	if len(c.missing()) == 0 {
		return
	}
	delay := c.fail(&c.fetch)
	if c.fetch.failures >= len(c.sources()) {
		c.fetch.next = now.Add(delay)
	}
	if c.newest != nil && c.newest.revision > c.target.revision {
		c.aim()
	}
}

// aim makes the newest head the target and reuses the parts that it shares
// with the revision in force and the target before.
func (c *Core) aim() {
	c.target = c.newest
	kept := make(map[string][]byte, len(c.target.parts))
	for _, p := range c.target.parts {
		key := p.Key()
		if v, ok := c.force.parts[key]; ok {
			kept[key] = v
		}
		if v, ok := c.parts[key]; ok {
			kept[key] = v
		}
	}
	c.parts = kept
}

// finish publishes the target, whose parts are complete, or refuses it.
func (c *Core) finish() {
	h := c.target
	c.target = nil
	if c.newest == h {
		c.newest = nil
	}
	named := make(map[string][]byte, len(h.parts))
	for _, p := range h.parts {
		named[p.name] = c.parts[p.Key()]
	}
	m, err := c.build(h.revision, named)
	if err != nil {
		c.refused = h.revision
		c.reject(errors.Wrapf(err, "config: revision %d", h.revision))
		return
	}
	c.force = &Snapshot{
		head:  h,
		parts: c.parts,
		world: m,
	}
	c.parts = nil
	c.out = append(c.out, Action{
		kind:     Publish,
		snapshot: c.force,
	})
}

func (c *Core) reject(err error) {
	c.out = append(c.out, Action{
		kind: Reject,
		err:  err,
	})
}

// missing returns the keys of the target's parts that are not there yet.
func (c *Core) missing() []string {
	var keys []string
	for _, p := range c.target.parts {
		if _, ok := c.parts[p.Key()]; !ok {
			keys = append(keys, p.Key())
		}
	}
	return keys
}

// sources returns where the target's parts may be: the peers that have its
// revision, since their number grows with the fleet and the store's rate does
// not, then the store. The first of the peers differs from VM to VM.
func (c *Core) sources() []string {
	found := []string{}
	for _, p := range c.peers {
		if c.known[p] >= c.target.revision {
			found = append(found, p)
		}
	}
	if len(found) > 1 {
		first := int(rank(c.self.Name()) % uint64(len(found)))
		found = append(found[first:len(found):len(found)], found[:first]...)
	}
	return append(found, "")
}
