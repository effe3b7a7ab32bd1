package config

import "time"

// operation tracks one kind of operation, of which at most one is pending.
type operation struct {
	// pending is the op of the unanswered operation, or 0.
	pending   uint64
	notBefore time.Time
	// failures counts the failures since the last success.
	failures int
}

// ready reports whether the operation may be issued at now.
func (o *operation) ready(now time.Time) bool { return o.pending == 0 && !now.Before(o.notBefore) }

// complete marks the operation as answered. It returns false for an answer to
// an earlier operation.
func (o *operation) complete(op uint64) bool {
	if op != o.pending || op == 0 {
		return false
	}
	o.pending = 0
	return true
}

// readsStore reports whether this VM should read the head from the store: it is
// a watcher, has just restarted, or no peer has reported for too long.
func (c *Core) readsStore(now time.Time) bool {
	return c.watcher || c.starting || now.Sub(c.lastHeard) >= peerSilenceTimeout
}

// issueOperations emits the operations that are due.
func (c *Core) issueOperations(now time.Time) {
	if c.readsStore(now) && c.read.ready(now) {
		c.startOperation(&c.read, Action{
			kind: Read,
		})
	}
	if c.watcher && c.cursorValid && c.watch.ready(now) {
		c.startOperation(&c.watch, Action{
			kind:  Watch,
			after: c.cursor,
		})
	}
	if c.target != nil && c.fetch.ready(now) {
		sources := c.fetchSources()
		c.startOperation(&c.fetch, Action{
			kind: Fetch,
			peer: sources[c.fetch.failures%len(sources)],
			keys: c.missingKeys(),
		})
	}
}

func (c *Core) startOperation(o *operation, a Action) {
	c.lastOp++
	o.pending = c.lastOp
	a.op = c.lastOp
	c.actions = append(c.actions, a)
}

// scheduleWake emits a Wake for the next time at which something is due, unless
// that Wake is already pending.
func (c *Core) scheduleWake(now time.Time) {
	var at time.Time
	consider := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if c.read.pending == 0 {
		if c.readsStore(now) {
			consider(c.read.notBefore)
		} else {
			consider(c.lastHeard.Add(peerSilenceTimeout))
		}
	}
	if c.watcher && c.cursorValid && c.watch.pending == 0 {
		consider(c.watch.notBefore)
	}
	if c.target != nil && c.fetch.pending == 0 {
		consider(c.fetch.notBefore)
	}
	if c.starting {
		consider(c.startedAt.Add(startupStoreWait))
		consider(c.askDeadline)
	}
	if at.IsZero() || at.Equal(c.lastWake) {
		return
	}
	c.lastWake = at
	c.actions = append(c.actions, Action{
		kind: Wake,
		at:   at,
	})
}

// recordFailure counts a failure and returns the delay before the next attempt.
func (c *Core) recordFailure(o *operation) time.Duration {
	delay := min(initialBackoff<<min(o.failures, 10), maxBackoff)
	o.failures++
	return c.jitter(delay)
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Float64()*float64(d))
}
