package claim

import (
	"slices"
	"time"
)

// op is an Ask that waits for a slot. Exactly one of the local call and the
// peer's ticket is told of its verdict.
type op struct {
	ask Ask
	// remote is true for a peer's operation; ticket is then the peer's.
	remote bool
	ticket uint64
	// since is the time of arrival. A verdict that may have changed since the
	// cached revision needs a read that started later.
	since time.Time
	// tried is true when a write that includes the operation may still take
	// effect.
	tried bool
	// direct is true when the soft owner could not be used.
	direct bool
	// dropped is true when nobody waits for the verdict any more.
	dropped bool
	verdict Verdict
	record  *Record
}

// slot is what a VM knows of one slot in the store. At most one store
// operation is in flight for it.
type slot struct {
	number int
	// table is nil until the slot was read.
	table    *table
	revision uint64
	// fresh is the time at which the read of the cached table started.
	fresh time.Time
	queue []*op
	// batch and next belong to the write in flight.
	batch []*op
	next  *table
	busy  bool
	// started is the time at which the operation in flight started.
	started time.Time
	retryAt time.Time
	backoff time.Duration
	// tries is the number of reads since the last reply.
	tries  int
	listed bool
}

// urgent reports whether a claim waits in the slot.
func (s *slot) urgent() bool {
	for _, o := range s.queue {
		if !o.ask.settle && !o.dropped {
			return true
		}
	}
	return false
}

// pending returns the outcome of a key that waits to be written, or nil.
func (s *slot) pending(k Digest) *op {
	for _, list := range [][]*op{s.batch, s.queue} {
		for _, o := range list {
			if o.ask.settle && o.ask.key == k && o.ask.state != State_NOT_RUN {
				return o
			}
		}
	}
	return nil
}

// evaluate applies the queue to the cached table. It returns the operations
// that are done, those that need the write of the draft, and whether the slot
// must be read first.
func (s *slot) evaluate(now time.Time, whole int) (done, need []*op, d *draft, stale bool) {
	d = &draft{
		base:    s.table,
		changed: map[Digest]*Record{},
		whole:   whole,
	}
	// An outcome that waits is applied before a claim can find it missing.
	slices.SortStableFunc(s.queue, func(a, b *op) int {
		switch {
		case a.ask.settle == b.ask.settle:
			return 0
		case a.ask.settle:
			return -1
		default:
			return 1
		}
	})
	// The claim of an outcome in the same queue must not be written after it.
	over := map[ID]bool{}
	for _, o := range s.queue {
		if o.ask.settle {
			over[o.ask.id] = true
		} else if over[o.ask.id] {
			o.verdict, o.record = Late, nil
			continue
		}
		o.verdict, o.record = o.ask.apply(now, d)
		if d.changed[o.ask.key] != nil {
			continue
		}
		if !certain(o.verdict, o.record, o.ask.id) && s.fresh.Before(o.since) {
			return nil, nil, nil, true
		}
	}
	for _, o := range s.queue {
		if d.changed[o.ask.key] != nil && o.verdict != Late {
			need = append(need, o)
		} else {
			done = append(done, o)
		}
	}
	return done, need, d, false
}

// prune removes the operations that nobody waits for.
func (s *slot) prune() {
	kept := s.queue[:0]
	for _, o := range s.queue {
		if !o.dropped {
			kept = append(kept, o)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}
