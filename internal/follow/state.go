package follow

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

const (
	// minPause and maxPause bound the pause after a failed call, which
	// doubles with each consecutive failure. Every call is charged for, even
	// one that the store refuses.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// emptyPause replaces maxPause while no keys are known, since the VM can't
	// serve requests until then.
	emptyPause = 200 * time.Millisecond
	// watchWait is how long a watch waits for a change. A longer wait needs
	// fewer calls, but a watch that the store lost while it was unresponsive
	// is noticed only when the wait and the deadline of the call have passed.
	// Changes must take effect on time again 4 s after the store has recovered.
	watchWait = 2500 * time.Millisecond
	// failedWait replaces watchWait after a failed call.
	failedWait = 250 * time.Millisecond
	// minOutage is how long calls must have failed before missing keys are
	// kept for a while, since their leases may have expired only because of
	// the outage.
	minOutage = time.Second
	// rewriteTime is the time that running upstreams take to write their keys
	// again after the store has recovered.
	rewriteTime = 2500 * time.Millisecond
	// defaultSettleTime is the time after the store's recovery from which its word
	// counts again, unless another one is set.
	defaultSettleTime = 4 * time.Second
	// settleMargin is the time before that at which no key may be kept any more, since
	// requests that are sent just before reach their upstream later.
	settleMargin = 300 * time.Millisecond
)

// Change is a set of changed keys. It contains each key at most once.
type Change struct {
	put     []store.Entry
	deleted []string
	// confirmed is when the store confirmed the change, or zero for kept keys whose
	// time has passed.
	confirmed time.Time
	// restored is true for the first change since the store was restored from a copy.
	restored bool
}

// NewChange returns a change of new or updated entries and of deleted keys.
func NewChange(put []store.Entry, deleted []string) Change {
	return Change{
		put:     put,
		deleted: deleted,
	}
}

// Put returns the new and updated entries.
func (c Change) Put() []store.Entry { return c.put }

// Deleted returns the keys that no longer exist or are no longer followed.
func (c Change) Deleted() []string { return c.deleted }

// Confirmed returns when the store confirmed the change, or the zero time for kept
// keys whose time has passed.
func (c Change) Confirmed() time.Time { return c.confirmed }

// Restored reports whether the store was restored from a copy, so that it may have lost
// what was written to it before this change. Such a change has all keys that VMs write.
func (c Change) Restored() bool { return c.restored }

// Len returns the number of changed keys.
func (c Change) Len() int { return len(c.put) + len(c.deleted) }

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return c.Len() == 0 }

// discard removes the key from the change, so that a later change of the key
// replaces an earlier one.
func (c *Change) discard(key string) {
	c.put = slices.DeleteFunc(c.put, func(e store.Entry) bool { return e.Key() == key })
	c.deleted = slices.DeleteFunc(c.deleted, func(k string) bool { return k == key })
}

// absence is that of a key that is still kept.
type absence struct {
	// until is the time until which the key is kept.
	until time.Time
	// lost is true if a restored store lacks the key. The upstream can only write it again
	// while the store serves it, so that a later outage prolongs the time; it does not
	// prolong that of other keys, which may have been removed.
	lost bool
}

// State decides which call to make next and computes the changes from the
// answers. It is not safe for concurrent use.
type State struct {
	// revisions holds the revision of each key.
	revisions map[string]uint64
	// synced is true while a watch after revision misses no change.
	synced   bool
	revision uint64
	// failures counts the consecutive failed calls.
	failures int
	// failingSince is when the first of them failed.
	failingSince time.Time
	// lostAt is the latest time at which the store is known not to have served this
	// VM: when it refused a call, or when a call began that was never answered.
	lostAt time.Time
	// backAt is when the store first stated, since the latest answer, that it has lost the
	// history, or zero.
	backAt time.Time
	// keepUntil is the time until which keys that go missing are kept after an
	// outage. It is at most maxKeep after lostAt.
	keepUntil time.Time
	// maxKeep is how long after the store's recovery missing keys are kept at most.
	maxKeep time.Duration
	// missing holds the keys that are missing from the store but still kept.
	missing map[string]absence
	// changed holds the keys of the change that is being computed.
	changed map[string]bool
}

// NewState returns a state without known keys.
func NewState() *State {
	return &State{
		revisions: make(map[string]uint64),
		missing:   make(map[string]absence),
		maxKeep:   defaultSettleTime - settleMargin,
	}
}

// Synced reports whether the next call is a watch; otherwise it is a list.
func (s *State) Synced() bool { return s.synced }

// Revision returns the revision to watch after.
func (s *State) Revision() uint64 { return s.revision }

// Kept returns the number of keys that are missing from the store but still kept.
func (s *State) Kept() int { return len(s.missing) }

// Failing reports whether the latest call failed.
func (s *State) Failing() bool { return s.failures > 0 }

// Listed applies a complete list.
func (s *State) Listed(now time.Time, entries []store.Entry, revision uint64) Change {
	c := s.begin(now, revision)
	s.resetFailures(now)
	s.synced, s.revision = true, revision
	s.changed = make(map[string]bool, len(entries))
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key()] = true
		s.put(&c, e)
	}
	for key := range s.revisions {
		if !listed[key] {
			s.remove(now, &c, key)
		}
	}
	return c
}

// Watched applies the result of a watch. One of an earlier era has no effect.
func (s *State) Watched(now time.Time, events []store.Event, revision uint64) Change {
	if store.Era(revision) < store.Era(s.revision) {
		return Change{}
	}
	c := s.begin(now, revision)
	s.resetFailures(now)
	s.revision = max(s.revision, revision)
	s.changed = make(map[string]bool, len(events))
	for _, e := range events {
		key := e.Entry().Key()
		switch {
		case !e.Deleted():
			s.put(&c, e.Entry())
		case e.Entry().Revision() >= s.revisions[key]:
			s.remove(now, &c, key)
		}
	}
	return c
}

// begin returns an empty change that brings the state to a revision.
func (s *State) begin(now time.Time, revision uint64) Change {
	c := Change{
		restored: s.revision > 0 && store.Era(revision) > store.Era(s.revision),
	}
	if c.restored {
		s.keep(now)
	}
	return c
}

// Failed applies the error of a poll that began at the given time, and returns the
// pause before the next one. lostAt is the latest time at which the store is known not
// to have served this VM.
func (s *State) Failed(now, began, lostAt time.Time, err error) time.Duration {
	if errors.Is(err, store.ErrCompacted) {
		s.synced = false
		if s.backAt.IsZero() {
			s.backAt = now
		}
		return 0
	}
	if s.failures == 0 {
		s.failingSince = now
	}
	s.failures++
	s.lostAt = lostAt
	longest := maxPause
	if len(s.revisions) == 0 {
		longest = emptyPause
	}
	pause := min(minPause<<min(s.failures-1, 8), longest)
	return max(pause-now.Sub(began), minPause)
}

// Expired returns the missing keys that were not written again in time after an
// outage, as deleted.
func (s *State) Expired(now time.Time) Change {
	var c Change
	for key, m := range s.missing {
		if now.Before(m.until) || s.waits(m) {
			continue
		}
		delete(s.revisions, key)
		delete(s.missing, key)
		c.deleted = append(c.deleted, key)
	}
	return c
}

// NextExpiry returns the earliest time at which Expired returns a key, or the zero
// time if none is kept.
func (s *State) NextExpiry() time.Time {
	var next time.Time
	for _, m := range s.missing {
		if !s.waits(m) && (next.IsZero() || m.until.Before(next)) {
			next = m.until
		}
	}
	return next
}

// waits reports whether a key is kept until the store is back.
func (s *State) waits(m absence) bool { return m.lost && s.failures > 0 }

// Wait returns how long a watch that starts at now should wait for a change. The
// wait is short after a failure, because a watch that starts while the store is
// unresponsive is never answered. It ends no later than missing keys expire.
func (s *State) Wait(now time.Time) time.Duration {
	if s.failures > 0 {
		return failedWait
	}
	next := s.NextExpiry()
	if next.IsZero() {
		return watchWait
	}
	return min(max(next.Sub(now), time.Millisecond), watchWait)
}

// resetFailures ends a row of failures. After an outage it starts the time in
// which missing keys are kept.
func (s *State) resetFailures(now time.Time) {
	if s.failures > 0 && now.Sub(s.failingSince) >= minOutage {
		s.keep(now)
		for key, m := range s.missing {
			if m.lost {
				m.until = s.keepUntil
				s.missing[key] = m
			}
		}
	}
	s.failures, s.backAt = 0, time.Time{}
}

// keep starts the time in which missing keys are kept. The store has not been back for
// longer than since the latest time at which it is known to have been lost.
func (s *State) keep(now time.Time) {
	s.keepUntil = now.Add(rewriteTime)
	away := time.Time{}
	if s.failures > 0 {
		away = s.lostAt
	}
	for _, at := range []time.Time{away, s.backAt} {
		if latest := at.Add(s.maxKeep); !at.IsZero() && latest.Before(s.keepUntil) {
			s.keepUntil = latest
		}
	}
}

// put adds an entry to the change if it is newer than the known one, or stays in force
// instead of it after a restoration of the store.
func (s *State) put(c *Change, e store.Entry) {
	delete(s.missing, e.Key())
	if known := s.revisions[e.Key()]; e.Revision() <= known && store.Era(e.Revision()) == store.Era(known) {
		return
	}
	s.revisions[e.Key()] = e.Revision()
	s.discard(c, e.Key())
	c.put = append(c.put, e)
}

// discard removes a key that is about to be added to the change, if it has it already.
func (s *State) discard(c *Change, key string) {
	if s.changed[key] {
		c.discard(key)
	}
	s.changed[key] = true
}

// remove adds a deleted key to the change, or keeps the key as missing after an
// outage. A write of a kept key in the same change remains: it may tell that the
// upstream leaves.
func (s *State) remove(now time.Time, c *Change, key string) {
	if _, ok := s.revisions[key]; !ok {
		return
	}
	if now.Before(s.keepUntil) {
		m, ok := s.missing[key]
		if !ok {
			m.until = s.keepUntil
		}
		m.lost = c.restored
		s.missing[key] = m
		return
	}
	delete(s.revisions, key)
	delete(s.missing, key)
	s.discard(c, key)
	c.deleted = append(c.deleted, key)
}
