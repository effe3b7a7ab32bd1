package mirror

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// maxDeleted is the number of deleted keys that are kept. A VM that has missed
// more deletions must ask the store.
const maxDeleted = 4000

// The errors for which a VM can't be used as a source. Their texts begin with the part that
// passes them on to other VMs.
var (
	// ErrTooOld means that the VM has dropped changes after the requested
	// revision.
	ErrTooOld = errors.New("feed: the changes are no longer kept")
	// ErrNotListed means that the VM has not read the store's keys yet.
	ErrNotListed = errors.New("feed: the VM has no list of the keys")
)

// Log holds a copy of the store's keys and the latest change of each. Apart from the
// methods that set it up, it is safe for concurrent use.
type Log struct {
	mutex sync.Mutex
	// latest holds the latest change of each key, including deleted keys, which keep
	// their last value.
	latest map[string]store.Event
	// held holds changes that stay in force after a restoration of the store instead of
	// the latest ones, which are older by their writer's account. A held deletion is that
	// of an upstream that had left and is listed again.
	held map[string]store.Event
	// repeated holds the positions at which a restored store has the latest changes again.
	repeated map[string]uint64
	// rules decide what stays in force.
	rules Rules
	// settledAt is the time from which the restored store's state counts again.
	settledAt time.Time
	// deleted is the number of deleted keys in latest.
	deleted int
	// older holds the large values that were replaced lately.
	older history
	// packer keeps the short forms of large values.
	packer *bulk.Packer
	// completeAfter is the revision after which no change is missing from the log, but
	// for those in gaps.
	completeAfter uint64
	gaps          []gap
	// crossing is true while the first answer of a later era is applied.
	crossing bool
	revision uint64
	// confirmed is when the store answered that revision is its latest, or zero
	// before the first list. Another VM may have received that answer.
	confirmed time.Time
	// heardAt is when a part of an answer of the store to a read of the keys reached this
	// VM, or one that it reads from. It may be before confirmed.
	heardAt time.Time
	// changed is closed at the next change of the log.
	changed chan struct{}
	now     func() time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		latest: make(map[string]store.Event),
		held:   make(map[string]store.Event),
		rules:  noRules,

		repeated: make(map[string]uint64),
		packer:   bulk.NewPacker(),
		changed:  make(chan struct{}),
		now:      time.Now,
	}
}

// WithRules sets the rules for what stays in force after a restoration of the store. Call
// it before any other method.
func (l *Log) WithRules(r Rules) *Log {
	l.rules = r
	return l
}

// WithClock sets the function that returns the present time, time.Now by default. Call it
// before any other method.
func (l *Log) WithClock(now func() time.Time) *Log {
	l.now = now
	return l
}

// Packer returns what keeps the short forms of large values for the VMs that ask. It may be
// called concurrently.
func (l *Log) Packer() *bulk.Packer { return l.packer }

// Reset replaces the keys by a list as of revision, which the store confirmed age
// ago, and returns the entries in force. Keys that the list lacks count as deleted at
// revision, so VMs that know the keys before the list need only the difference. A change
// that the log holds and that is newer than the list remains. The list of another VM may
// have a key twice: first what stays in force after a restoration, and then what the
// store has.
func (l *Log) Reset(entries []store.Entry, revision uint64, age time.Duration) []store.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.cross(now, revision)
	if l.confirmed.IsZero() {
		l.completeAfter = revision
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key()] = true
		if store.Era(e.Revision()) < store.Era(revision) {
			// It stays in force although the store has another value, or none.
			l.settledAt = now.Add(settleDelay)
		}
	}
	for _, e := range entries {
		l.apply(now, store.NewEvent(e, false))
	}
	l.deleteOthers(now, listed, revision)
	l.finish(revision, age)
	return l.inForce()
}

// deleteOthers deletes the keys that a list as of revision lacks. The caller must hold the
// mutex.
func (l *Log) deleteOthers(now time.Time, listed map[string]bool, revision uint64) {
	for key, e := range l.latest {
		if !listed[key] && !e.Deleted() && e.Entry().Revision() <= revision {
			l.apply(now, store.NewEvent(store.NewEntry(key, nil, revision, ""), true))
		}
	}
}

// Append adds all changes up to revision, which the store confirmed age ago, and returns
// those that are in force.
func (l *Log) Append(events []store.Event, revision uint64, age time.Duration) []store.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	l.cross(now, revision)
	counting := make([]store.Event, 0, len(events))
	for _, e := range events {
		if l.apply(now, e) {
			counting = append(counting, e)
		}
	}
	l.finish(revision, age)
	return counting
}

// apply makes e the latest change of its key, unless the log has a newer one, and reports
// whether it is in force. The caller must hold the mutex.
func (l *Log) apply(now time.Time, e store.Event) bool {
	key := e.Entry().Key()
	old, known := l.latest[key]
	if known && old.Entry().Revision() > e.Entry().Revision() {
		return l.hold(now, old, e)
	}
	if known && l.repeats(old, e) {
		l.repeated[key] = e.Entry().Revision()
		return false
	}
	view := old
	if h, ok := l.held[key]; ok {
		view = h
	}
	if e.Deleted() {
		e = store.NewEvent(store.NewEntry(key, old.Entry().Value(), e.Entry().Revision(), ""), true)
	}
	if old.Entry().Revision() < e.Entry().Revision() && !old.Deleted() {
		l.older.add(old.Entry())
		if at := l.relocated(old); at.Entry().Revision() != old.Entry().Revision() {
			l.older.add(at.Entry())
		}
	}
	delete(l.repeated, key)
	l.latest[key] = e
	l.deleted += count(e.Deleted()) - count(old.Deleted())
	if known && l.outlives(now, view, e) {
		l.held[key] = view
		return false
	}
	delete(l.held, key)
	return true
}

// count returns 1 if b is true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// finish ends a change of the log. The caller must hold the mutex.
func (l *Log) finish(revision uint64, age time.Duration) {
	if l.deleted > maxDeleted {
		l.dropDeleted()
	}
	l.revision, l.crossing = max(l.revision, revision), false
	l.confirm(age)
}

// dropDeleted drops the older half of the deleted keys. The caller must hold the
// mutex.
func (l *Log) dropDeleted() {
	var deleted []store.Event
	for _, e := range l.latest {
		if e.Deleted() {
			deleted = append(deleted, e)
		}
	}
	slices.SortFunc(deleted, byRevision)
	for _, e := range deleted[:len(deleted)/2] {
		delete(l.latest, e.Entry().Key())
		delete(l.held, e.Entry().Key())
		l.completeAfter = max(l.completeAfter, e.Entry().Revision())
		l.deleted--
	}
}

func byRevision(a, b store.Event) int {
	return cmp.Or(cmp.Compare(a.Entry().Revision(), b.Entry().Revision()), cmp.Compare(a.Entry().Key(), b.Entry().Key()))
}

// confirm sets the time of the store's confirmation and wakes all waiters. The
// caller must hold the mutex.
func (l *Log) confirm(age time.Duration) {
	l.confirmed = l.now().Add(-age)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Hear notes that a part of an answer of the store arrived age ago. While a large answer
// arrives, the store does not confirm a revision.
func (l *Log) Hear(age time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at := l.now().Add(-age); at.After(l.heardAt) {
		l.heardAt = at
	}
}

// answer returns an answer with changes up to the log's revision. The caller must hold
// the mutex.
func (l *Log) answer(events []store.Event) Changes {
	now := l.now()
	return NewChanges(events, l.revision, now.Sub(l.confirmed)).WithQuiet(now.Sub(l.heardAt))
}

// Revision returns the revision up to which the log is complete, or 0 before the
// first list.
func (l *Log) Revision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.revision
}

// Large returns the large values, present and held.
func (l *Log) Large() []store.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []store.Entry
	for _, changes := range []map[string]store.Event{l.latest, l.held} {
		for _, e := range changes {
			if !e.Deleted() && len(e.Entry().Value()) >= bulk.MinSize {
				list = append(list, e.Entry())
			}
		}
	}
	return list
}

// Value returns the value that a key had at a revision, or nil if it is not kept.
func (l *Log) Value(key string, revision uint64) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range []store.Event{l.latest[key], l.held[key]} {
		if !e.Deleted() && e.Entry().Revision() == revision {
			return e.Entry().Value()
		}
	}
	return l.older.value(key, revision)
}

// Confirmed returns when the store confirmed the revision, or the zero time before
// the first list.
func (l *Log) Confirmed() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.confirmed
}

// Wait returns the changes after a revision as soon as there are any. It returns
// no changes when wait has passed, and ctx's error when ctx ends. Other errors
// are ErrTooOld and ErrNotListed.
func (l *Log) Wait(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	return l.await(ctx, wait, func() (Changes, bool, error) {
		c, err := l.changesAfter(after)
		return c, err != nil || len(c.events) > 0, err
	})
}

// List returns all keys as of a revision after the given one. It waits until they have
// been read, and returns ErrNotListed if that does not happen in time.
func (l *Log) List(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	return l.await(ctx, wait, func() (Changes, bool, error) {
		c, err := l.list(after)
		return c, err == nil, err
	})
}

// await calls read after each change of the log until it is done or wait has
// passed. It calls read with the mutex held.
func (l *Log) await(ctx context.Context, wait time.Duration, read func() (c Changes, done bool, err error)) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		l.mutex.Lock()
		c, done, err := read()
		changed := l.changed
		l.mutex.Unlock()
		if done || last {
			return c, err
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return Changes{}, ctx.Err()
		}
	}
}

// changesAfter returns the present changes after a revision. The caller must hold
// the mutex.
func (l *Log) changesAfter(revision uint64) (Changes, error) {
	switch {
	case l.confirmed.IsZero():
		return Changes{}, ErrNotListed
	case revision < l.completeAfter:
		return Changes{}, errors.Wrapf(ErrTooOld, "after %s, kept after %s", store.Text(revision), store.Text(l.completeAfter))
	case l.inGap(revision):
		return Changes{}, errors.Wrapf(ErrTooOld, "after %s, not known before the store was restored", store.Text(revision))
	}
	var events []store.Event
	if revision < l.revision {
		events = l.selected(func(e store.Event) bool { return e.Entry().Revision() > revision })
	}
	return l.answer(events), nil
}

// selected returns the latest and the held changes for which is returns true, in order of
// their revisions. The caller must hold the mutex.
func (l *Log) selected(is func(e store.Event) bool) []store.Event {
	events := make([]store.Event, 0)
	for _, changes := range []map[string]store.Event{l.latest, l.held} {
		for _, e := range changes {
			if is(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortFunc(events, byRevision)
	return events
}

// list returns all present keys as of a revision after the given one. The caller must
// hold the mutex.
func (l *Log) list(after uint64) (Changes, error) {
	if l.confirmed.IsZero() || l.revision <= after {
		return Changes{}, ErrNotListed
	}
	events := l.selected(func(e store.Event) bool { return !e.Deleted() })
	for i, e := range events {
		events[i] = l.relocated(e)
	}
	return l.answer(events), nil
}
