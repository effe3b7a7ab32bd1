package claim

import (
	"slices"
	"time"
)

// pendingOp is an Operation that waits for its slot. Its verdict goes either to
// the local call or to the peer that asked for the operation.
type pendingOp struct {
	operation Operation
	// remote is true when a peer asked for the operation; ticket then identifies
	// the peer's request.
	remote bool
	ticket uint64
	// arrivedAt is the time at which the operation was submitted. A verdict that
	// a newer revision could change is valid only if the cached table was read
	// after that time.
	arrivedAt time.Time
	// maybeWritten is true when a write of the operation, by this VM or by the
	// soft owner, has an unknown result and may still take effect.
	maybeWritten bool
	// bypassOwner is true when the slot's soft owner didn't reply, so that this VM
	// uses the store itself.
	bypassOwner bool
	// abandoned is true when the call that waited for the verdict has ended.
	abandoned bool
	verdict   Verdict
	record    *Record
}

// slot caches one slot of the store and queues the operations on it. At most
// one store operation is in flight for a slot.
type slot struct {
	number int
	// table is nil before the first read and after a write that conflicted or
	// whose result is unknown.
	table    *table
	revision uint64
	// known is the latest table that this VM has read or written. lost holds its records
	// that the slot lacks, because the store was restored from a copy; they are written
	// again before anything else is decided. repair is true if there are any, or packed
	// ones, which table has already.
	known *table
	// knownAt is the revision of known.
	knownAt uint64
	lost    []*Record
	repair  bool
	// readAt is the time at which the store operation that gave the cached table
	// started.
	readAt time.Time
	queue  []*pendingOp
	// writing and nextTable are the operations and the new table of the write in
	// flight.
	writing   []*pendingOp
	nextTable *table
	inFlight  bool
	// startedAt is the time at which the store operation in flight started.
	startedAt time.Time
	retryAt   time.Time
	backoff   time.Duration
	// failedReads is the number of reads without a reply since the last success.
	failedReads int
	inReady     bool
}

// hasClaim reports whether a claim waits in the slot.
func (s *slot) hasClaim() bool {
	for _, o := range s.queue {
		if !o.operation.isOutcome && !o.abandoned {
			return true
		}
	}
	return false
}

// pendingOutcome returns the operation that records an outcome of the key and
// is queued or being written, or nil.
func (s *slot) pendingOutcome(k Digest) *pendingOp {
	for _, list := range [][]*pendingOp{s.writing, s.queue} {
		for _, o := range list {
			if o.operation.isOutcome && o.operation.key == k && o.operation.state != State_NOT_RUN {
				return o
			}
		}
	}
	return nil
}

// evaluate applies the queue to the cached table. It returns the operations
// that are done without a write, those that need the draft to be written, and
// whether the cached table is too old to decide, so that the slot must be read
// first.
func (s *slot) evaluate(now time.Time, wholeLimit int) (done, toWrite []*pendingOp, d *draft, stale bool) {
	d = &draft{
		base:       s.table,
		changed:    map[Digest]*Record{},
		wholeLimit: wholeLimit,
	}
	for _, r := range s.lost {
		d.put(r)
	}
	// Outcomes are applied before claims, so that a claim sees every outcome that
	// is queued with it.
	slices.SortStableFunc(s.queue, func(a, b *pendingOp) int {
		switch {
		case a.operation.isOutcome == b.operation.isOutcome:
			return 0
		case a.operation.isOutcome:
			return -1
		default:
			return 1
		}
	})
	// A claim whose own outcome is in the queue must not be written: it would
	// take the key again after its release.
	hasOutcome := map[ID]bool{}
	for _, o := range s.queue {
		if o.operation.isOutcome {
			hasOutcome[o.operation.id] = true
		} else if hasOutcome[o.operation.id] {
			o.verdict, o.record = TooLate, nil
			continue
		}
		o.verdict, o.record = o.operation.apply(now, d)
		if d.changed[o.operation.key] != nil {
			continue
		}
		if !holdsForLaterRevisions(o.verdict, o.record, o.operation.id) && s.readAt.Before(o.arrivedAt) {
			return nil, nil, nil, true
		}
	}
	for _, o := range s.queue {
		if d.changed[o.operation.key] != nil && o.verdict != TooLate {
			toWrite = append(toWrite, o)
		} else {
			done = append(done, o)
		}
	}
	return done, toWrite, d, false
}

// dropAbandoned removes the queued operations whose call has ended.
func (s *slot) dropAbandoned() {
	kept := s.queue[:0]
	for _, o := range s.queue {
		if !o.abandoned {
			kept = append(kept, o)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}
