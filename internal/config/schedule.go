package config

import "time"

// slot is one kind of operation, of which at most one is pending.
type slot struct {
	// pending is the op without an answer, or 0.
	pending  uint64
	next     time.Time
	failures int
}

// free reports whether the operation may be issued.
func (s *slot) free(now time.Time) bool { return s.pending == 0 && !now.Before(s.next) }

// ends marks the operation as answered; it is false for an old answer.
func (s *slot) ends(op uint64) bool {
	if op != s.pending || op == 0 {
		return false
	}
	s.pending = 0
	return true
}

// reads reports whether this VM reads the head from the store at now.
func (c *Core) reads(now time.Time) bool {
	return c.watcher || c.starting || now.Sub(c.heard) >= lonely
}

// issue emits the operations that are due.
func (c *Core) issue(now time.Time) {
	if c.reads(now) && c.read.free(now) {
		c.perform(&c.read, Action{
			kind: Read,
		})
	}
	if c.watcher && c.synced && c.watch.free(now) {
		c.perform(&c.watch, Action{
			kind:  Watch,
			after: c.cursor,
		})
	}
	if c.target != nil && c.fetch.free(now) {
		sources := c.sources()
		c.perform(&c.fetch, Action{
			kind: Fetch,
			peer: sources[c.fetch.failures%len(sources)],
			keys: c.missing(),
		})
	}
}

func (c *Core) perform(s *slot, a Action) {
	c.op++
	s.pending = c.op
	a.op = c.op
	c.out = append(c.out, a)
}

// schedule emits Wake for the next time at which something is due.
func (c *Core) schedule(now time.Time) {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if c.read.pending == 0 {
		if c.reads(now) {
			sooner(c.read.next)
		} else {
			sooner(c.heard.Add(lonely))
		}
	}
	if c.watcher && c.synced && c.watch.pending == 0 {
		sooner(c.watch.next)
	}
	if c.target != nil && c.fetch.pending == 0 {
		sooner(c.fetch.next)
	}
	if c.starting {
		sooner(c.begun.Add(patience))
		sooner(c.until)
	}
	if at.IsZero() || at.Equal(c.woke) {
		return
	}
	c.woke = at
	c.out = append(c.out, Action{
		kind: Wake,
		at:   at,
	})
}

// fail counts a failure and returns the delay after it.
func (c *Core) fail(s *slot) time.Duration {
	d := min(backoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	return c.jitter(d)
}

// jitter returns between a half and one and a half of d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Float64()*float64(d))
}
