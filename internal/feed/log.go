package feed

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// recheckDelay is how long an entry that a restoration of the store has brought back is
// taken for one that is about to go again. Upstreams write their keys again within 2 s, and
// the keys of those that have ended expire some seconds after the store's return.
const recheckDelay = 5 * time.Second

// maxDeleted is the number of deleted keys that are kept. A VM that has missed
// more deletions must ask the store.
const maxDeleted = 4000

// The errors for which a VM can't be used as a source.
var (
	// ErrTooOld means that the VM has dropped changes after the requested
	// revision.
	ErrTooOld = errors.New("feed: the changes are no longer kept")
	// ErrNotListed means that the VM has not read the store's keys yet.
	ErrNotListed = errors.New("feed: the VM has no list of the keys")
	// ErrStale means that the store's latest answer that the VM knows of is too
	// old, or is older than that of the VM that asks.
	ErrStale = errors.New("feed: the VM's answer of the store is old")
)

// Log holds a copy of the store's keys and the latest change of each. It is safe
// for concurrent use.
type Log struct {
	mutex sync.Mutex
	// latest holds the latest change of each key, including deleted keys, which keep
	// their last value.
	latest map[string]store.Event
	// held holds the keys whose state outlived a restoration of the store. A change that
	// is older than that state does not replace it.
	held map[string]bool
	// stays reports whether a known entry stays in force although a restored store lists
	// another one instead, which is the zero Entry if it lists none.
	stays func(known, listed store.Entry) bool
	// recheckAt is the time from which the entries count that a restoration has brought
	// back, or zero.
	recheckAt time.Time
	// deleted is the number of deleted keys in latest.
	deleted int
	// older holds the large values that were replaced lately.
	older history
	// packer keeps the short forms of large values.
	packer *bulk.Packer
	// completeAfter is the revision after which no change is missing from the log.
	completeAfter uint64
	revision      uint64
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
		latest:  make(map[string]store.Event),
		held:    make(map[string]bool),
		stays:   func(store.Entry, store.Entry) bool { return false },
		packer:  bulk.NewPacker(),
		changed: make(chan struct{}),
		now:     time.Now,
	}
}

// WithStays sets the function that reports whether a known entry stays in force although
// a restored store lists another one instead, which is the zero Entry if it lists none.
// Call it before any other method.
func (l *Log) WithStays(stays func(known, listed store.Entry) bool) *Log {
	l.stays = stays
	return l
}

// Reset replaces the keys by a list as of revision, which the store confirmed age
// ago, and returns the present entries. Keys that the list lacks count as deleted at
// revision, so VMs that know the keys before the list need only the difference. A change
// that the log holds and that is newer than the list remains.
//
// The list of a restored store may lack what is in force, or hold what was replaced. What
// stays in force counts as changed at revision.
func (l *Log) Reset(entries []store.Entry, revision uint64, age time.Duration) []store.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	restored := !l.confirmed.IsZero() && store.Era(revision) > store.Era(l.revision)
	if l.confirmed.IsZero() || restored {
		l.completeAfter = revision
	}
	if restored {
		l.recheckAt = l.now().Add(recheckDelay)
	}
	listed := make(map[string]store.Event, len(entries))
	for _, e := range entries {
		listed[e.Key()] = store.NewEvent(e, false)
	}
	for key, e := range l.latest {
		listed[key] = l.merge(e, listed[key], revision, restored)
	}
	l.latest, l.revision, l.deleted = listed, max(l.revision, revision), 0
	for _, e := range listed {
		if e.Deleted() {
			l.deleted++
		}
	}
	if l.deleted > maxDeleted {
		l.dropDeleted()
	}
	l.confirm(age)
	return l.entries()
}

// merge returns the state of a known key after a list as of revision, which has the key as
// listed, or as the zero Event if it lacks it. The caller must hold the mutex.
func (l *Log) merge(known, listed store.Event, revision uint64, restored bool) store.Event {
	old, now := known.Entry(), listed.Entry()
	key, absent := old.Key(), now.Revision() == 0
	if now.Revision() > old.Revision() {
		l.older.add(old)
	}
	if old.Revision() > revision && old.Revision() > now.Revision() {
		return known
	}
	if l.outlives(known, now, restored) {
		l.held[key] = true
		return store.NewEvent(store.NewEntry(key, old.Value(), revision, now.Lease()), known.Deleted())
	}
	if l.held[key] {
		// VMs that know the state before would take the change for an older one.
		now = store.NewEntry(key, now.Value(), revision, now.Lease())
	}
	delete(l.held, key)
	switch {
	case !absent:
		return store.NewEvent(now, false)
	case known.Deleted():
		return known
	default:
		return store.NewEvent(store.NewEntry(key, old.Value(), revision, ""), true)
	}
}

// outlives reports whether the known state of a key stays in force although a list has
// now for it, which is the zero Entry if it has none. An upstream that has left may be
// listed again after a restoration, for a while. The caller must hold the mutex.
func (l *Log) outlives(known store.Event, now store.Entry, restored bool) bool {
	switch {
	case !restored && !l.held[known.Entry().Key()]:
		return false
	case known.Deleted():
		return now.Revision() > 0 && l.now().Before(l.recheckAt) &&
			(l.stays(known.Entry(), now) || bytes.Equal(known.Entry().Value(), now.Value()))
	default:
		return l.stays(known.Entry(), now)
	}
}

// Held returns the keys, sorted, whose state outlived a restoration of the store and that
// the store has not changed since.
func (l *Log) Held() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Sorted(maps.Keys(l.held))
}

// Recheck reports whether the keys must be listed again, because an entry that a
// restoration has brought back is still left out.
func (l *Log) Recheck() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.recheckAt.IsZero() || l.now().Before(l.recheckAt) {
		return false
	}
	for key := range l.held {
		if l.latest[key].Deleted() {
			return true
		}
	}
	l.recheckAt = time.Time{}
	return false
}

// Append adds all changes up to revision, which the store confirmed age ago, and returns
// those that count.
func (l *Log) Append(events []store.Event, revision uint64, age time.Duration) []store.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counting := make([]store.Event, 0, len(events))
	for _, e := range events {
		old, known := l.latest[e.Entry().Key()]
		switch {
		case known && old.Entry().Revision() > e.Entry().Revision():
			counting = append(counting, e)
			continue
		case known && !e.Deleted() && l.outlives(old, e.Entry(), false):
			continue
		}
		counting = append(counting, e)
		delete(l.held, e.Entry().Key())
		if known && old.Deleted() {
			l.deleted--
		}
		if old.Entry().Revision() < e.Entry().Revision() {
			l.older.add(old.Entry())
		}
		if e.Deleted() {
			l.deleted++
			e = store.NewEvent(store.NewEntry(e.Entry().Key(), old.Entry().Value(), e.Entry().Revision(), ""), true)
		}
		l.latest[e.Entry().Key()] = e
	}
	if l.deleted > maxDeleted {
		l.dropDeleted()
	}
	l.revision = max(l.revision, revision)
	l.confirm(age)
	return counting
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
	c := NewChanges(events, l.revision, now.Sub(l.confirmed))
	c.quiet = min(c.age, now.Sub(l.heardAt))
	return c
}

// Revision returns the revision up to which the log is complete, or 0 before the
// first list.
func (l *Log) Revision() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.revision
}

// large returns the present large values.
func (l *Log) large() []store.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []store.Entry
	for _, e := range l.latest {
		if !e.Deleted() && len(e.Entry().Value()) >= bulk.MinSize {
			list = append(list, e.Entry())
		}
	}
	return list
}

// value returns the value that a key had at a revision, or nil if it is not kept.
func (l *Log) value(key string, revision uint64) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if e := l.latest[key].Entry(); e.Revision() == revision {
		return e.Value()
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

// Changes is a VM's answer to another VM. It is immutable.
type Changes struct {
	events   []store.Event
	revision uint64
	age      time.Duration
	// quiet is the time since a part of an answer of the store arrived. It is at most age.
	quiet time.Duration
	// transfer is the time from the first byte of the answer to its last one, or 0 if
	// it was not measured.
	transfer time.Duration
	// wireBytes is the size of the values as they were sent by another VM, or 0.
	wireBytes int
	// mismatch is the error of differences that did not fit and were asked for again as
	// whole values, or nil.
	mismatch error
}

// NewChanges returns an answer with the changes up to revision, which the store
// confirmed age ago.
func NewChanges(events []store.Event, revision uint64, age time.Duration) Changes {
	return Changes{
		events:   events,
		revision: revision,
		age:      age,
		quiet:    age,
	}
}

// Events returns the latest change of each key.
func (c Changes) Events() []store.Event { return c.events }

// Revision returns the revision up to which the changes are complete.
func (c Changes) Revision() uint64 { return c.revision }

// Age returns the time since the store confirmed the revision.
func (c Changes) Age() time.Duration { return c.age }

// size returns the number of bytes of the changes' values.
func (c Changes) size() int {
	n := 0
	for _, e := range c.events {
		n += len(e.Entry().Value())
	}
	return n
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
	}
	var events []store.Event
	if revision < l.revision {
		for _, e := range l.latest {
			if e.Entry().Revision() > revision {
				events = append(events, e)
			}
		}
		slices.SortFunc(events, byRevision)
	}
	return l.answer(events), nil
}

// list returns all present keys as of a revision after the given one. The caller must
// hold the mutex.
func (l *Log) list(after uint64) (Changes, error) {
	if l.confirmed.IsZero() || l.revision <= after {
		return Changes{}, ErrNotListed
	}
	entries := l.entries()
	events := make([]store.Event, 0, len(entries))
	for _, e := range entries {
		events = append(events, store.NewEvent(e, false))
	}
	slices.SortFunc(events, byRevision)
	return l.answer(events), nil
}

// entries returns the present entries. The caller must hold the mutex.
func (l *Log) entries() []store.Entry {
	entries := make([]store.Entry, 0, len(l.latest)-l.deleted)
	for _, e := range l.latest {
		if !e.Deleted() {
			entries = append(entries, e.Entry())
		}
	}
	return entries
}
