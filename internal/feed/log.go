package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// maxChanges is the largest number of keys whose latest change is kept. It is
// sufficient for a registry of 2,200 upstreams. A VM that has missed more
// changes must ask the store.
const maxChanges = 4000

// The errors for which a VM can't be used as a source of changes.
var (
	// ErrTooOld means that the VM has dropped changes after the requested
	// revision.
	ErrTooOld = errors.New("feed: the changes are no longer kept")
	// ErrUnconfirmed means that the VM received its latest changes from another
	// VM rather than from the store.
	ErrUnconfirmed = errors.New("feed: the VM has no answer of the store")
	// ErrStale means that the store's latest answer to the VM is too old.
	ErrStale = errors.New("feed: the VM's answer of the store is old")
)

// Log holds the latest change of each recently changed key. It is safe for
// concurrent use.
type Log struct {
	mutex   sync.Mutex
	changes []store.Event
	// completeAfter is the revision after which no change is missing from the log.
	completeAfter uint64
	revision      uint64
	// confirmed is when the store confirmed revision, or zero if the latest
	// changes came from another VM.
	confirmed time.Time
	// changed is closed at the next change of the log.
	changed chan struct{}
	now     func() time.Time
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		changed: make(chan struct{}),
		now:     time.Now,
	}
}

// Reset empties the log after the store has listed its keys as of revision.
func (l *Log) Reset(revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes = nil
	l.completeAfter, l.revision = revision, revision
	l.confirm(l.now())
}

// Append adds all changes up to revision. fromStore is true if they came from
// the store, and false if they came from another VM.
func (l *Log) Append(events []store.Event, revision uint64, fromStore bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range events {
		key := e.Entry().Key()
		l.changes = slices.DeleteFunc(l.changes, func(old store.Event) bool { return old.Entry().Key() == key })
		l.changes = append(l.changes, e)
	}
	for ; len(l.changes) > maxChanges; l.changes = l.changes[1:] {
		l.completeAfter = max(l.completeAfter, l.changes[0].Entry().Revision())
	}
	l.revision = max(l.revision, revision)
	at := time.Time{}
	if fromStore {
		at = l.now()
	}
	l.confirm(at)
}

// confirm sets the time of the store's confirmation and wakes all waiters. The
// caller must hold the mutex.
func (l *Log) confirm(at time.Time) {
	l.confirmed = at
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changes is a VM's answer to another VM. It is immutable.
type Changes struct {
	events   []store.Event
	revision uint64
	age      time.Duration
}

// NewChanges returns an answer with the changes up to revision, which the store
// confirmed age ago.
func NewChanges(events []store.Event, revision uint64, age time.Duration) Changes {
	return Changes{
		events:   events,
		revision: revision,
		age:      age,
	}
}

// Events returns the latest change of each key.
func (c Changes) Events() []store.Event { return c.events }

// Revision returns the revision up to which the changes are complete.
func (c Changes) Revision() uint64 { return c.revision }

// Age returns the time since the store confirmed the revision.
func (c Changes) Age() time.Duration { return c.age }

// Wait returns the changes after a revision as soon as there are any. It returns
// no changes when wait has passed, and ctx's error when ctx ends. Other errors
// are ErrTooOld and ErrUnconfirmed.
func (l *Log) Wait(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		c, changed, err := l.changesAfter(after)
		if err != nil || last || len(c.events) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return c, ctx.Err()
		}
	}
}

// changesAfter returns the present changes after a revision, and a channel that
// is closed at the next change of the log.
func (l *Log) changesAfter(revision uint64) (Changes, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.confirmed.IsZero():
		return Changes{}, nil, ErrUnconfirmed
	case revision < l.completeAfter:
		return Changes{}, nil, errors.Wrapf(ErrTooOld, "after %d, kept after %d", revision, l.completeAfter)
	}
	var events []store.Event
	for _, e := range l.changes {
		if e.Entry().Revision() > revision {
			events = append(events, e)
		}
	}
	return NewChanges(events, l.revision, l.now().Sub(l.confirmed)), l.changed, nil
}
