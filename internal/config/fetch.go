package config

import (
	"time"

	"github.com/cockroachdb/errors"
)

// handleFetch keeps the fetched parts that match the digest in their key. If
// parts are still missing, the next source is tried at once, or after a delay
// when all sources have failed, and a newer head becomes the target.
func (c *Core) handleFetch(now time.Time, e Event) {
	if !c.fetch.complete(e.op) || c.target == nil {
		return
	}
	for key, value := range e.parts {
		if matchesDigest(key, value) {
			c.parts[key] = value
		}
	}
	if len(c.missingKeys()) == 0 {
		return
	}
	delay := c.recordFailure(&c.fetch)
	if c.fetch.failures >= len(c.fetchSources()) {
		c.fetch.notBefore = now.Add(delay)
	}
	if c.newest != nil && c.newest.revision > c.target.revision {
		c.retarget()
	}
}

// retarget makes the newest head the target and reuses the parts that it shares
// with the revision in force and the previous target.
func (c *Core) retarget() {
	c.target = c.newest
	reused := make(map[string][]byte, len(c.target.parts))
	for _, p := range c.target.parts {
		key := p.Key()
		if v, ok := c.current.parts[key]; ok {
			reused[key] = v
		}
		if v, ok := c.parts[key]; ok {
			reused[key] = v
		}
	}
	c.parts = reused
}

// adoptTarget builds and publishes the target, whose parts are complete, or
// rejects it if it can't be built.
func (c *Core) adoptTarget() {
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
		c.rejected = h.revision
		c.reject(errors.Wrapf(err, "config: revision %d", h.revision))
		return
	}
	c.current = &Snapshot{
		head:   h,
		parts:  c.parts,
		config: m,
	}
	c.parts = nil
	c.actions = append(c.actions, Action{
		kind:     Publish,
		snapshot: c.current,
	})
}

func (c *Core) reject(err error) {
	c.actions = append(c.actions, Action{
		kind: Reject,
		err:  err,
	})
}

// missingKeys returns the keys of the target's parts that have not been fetched.
func (c *Core) missingKeys() []string {
	var keys []string
	for _, p := range c.target.parts {
		if _, ok := c.parts[p.Key()]; !ok {
			keys = append(keys, p.Key())
		}
	}
	return keys
}

// fetchSources returns the sources of the target's parts in the order to try
// them: the peers that have its revision, then the store, as "". Peers come
// first because their number grows with the fleet and the store's rate limit
// does not. The first peer differs from VM to VM, to spread the load.
func (c *Core) fetchSources() []string {
	sources := []string{}
	for _, p := range c.peers {
		if c.peerRevisions[p] >= c.target.revision {
			sources = append(sources, p)
		}
	}
	if len(sources) > 1 {
		first := int(watchRank(c.self.Name()) % uint64(len(sources)))
		sources = append(sources[first:len(sources):len(sources)], sources[:first]...)
	}
	return append(sources, "")
}
