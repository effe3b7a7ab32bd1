package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// maxChanges bounds the keys whose latest change is kept. It holds a registry
// of 2,200 upstreams; a VM that missed more asks the store.
const maxChanges = 4000

// Errors of a VM that is asked for changes.
var (
	// ErrTooOld means that changes after the revision were dropped.
	ErrTooOld = errors.New("feed: the changes are no longer kept")
	// ErrSecondHand means that the VM itself was not last told by the store.
	ErrSecondHand = errors.New("feed: the VM has no answer of the store")
	// ErrStale means that the store's latest answer to the VM is too old.
	ErrStale = errors.New("feed: the VM's answer of the store is old")
)

// Log keeps the latest change of each key. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	changes []store.Event
	// start is the revision after which changes are complete.
	start    uint64
	revision uint64
	// confirmed is when the store confirmed the revision; zero if another VM
	// did since.
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

// Reset begins anew after the store listed its keys as of the revision.
func (l *Log) Reset(revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes = nil
	l.start, l.revision = revision, revision
	l.confirm(l.now())
}

// Append adds changes up to the revision; direct is true if the store gave
// them.
func (l *Log) Append(events []store.Event, revision uint64, direct bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, e := range events {
		key := e.Entry().Key()
		l.changes = slices.DeleteFunc(l.changes, func(old store.Event) bool { return old.Entry().Key() == key })
		l.changes = append(l.changes, e)
	}
	for ; len(l.changes) > maxChanges; l.changes = l.changes[1:] {
		l.start = max(l.start, l.changes[0].Entry().Revision())
	}
	l.revision = max(l.revision, revision)
	at := time.Time{}
	if direct {
		at = l.now()
	}
	l.confirm(at)
}

func (l *Log) confirm(at time.Time) {
	l.confirmed = at
	close(l.changed)
	l.changed = make(chan struct{})
}

// Changes is an answer to another VM.
type Changes struct {
	events   []store.Event
	revision uint64
	age      time.Duration
}

// NewChanges returns an answer: the changes up to a revision, which the store
// confirmed an age ago.
func NewChanges(events []store.Event, revision uint64, age time.Duration) Changes {
	return Changes{
		events:   events,
		revision: revision,
		age:      age,
	}
}

// Events returns the latest change of each key.
func (c Changes) Events() []store.Event { return c.events }

// Revision returns the revision up to which they are complete.
func (c Changes) Revision() uint64 { return c.revision }

// Age returns the time since the store confirmed the revision.
func (c Changes) Age() time.Duration { return c.age }

// Wait returns the changes after a revision as soon as there are any, and none
// after wait or when ctx ends.
func (l *Log) Wait(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		c, changed, err := l.after(after)
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

func (l *Log) after(revision uint64) (Changes, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.confirmed.IsZero():
		return Changes{}, nil, ErrSecondHand
	case revision < l.start:
		return Changes{}, nil, errors.Wrapf(ErrTooOld, "after %d, kept after %d", revision, l.start)
	}
	var events []store.Event
	for _, e := range l.changes {
		if e.Entry().Revision() > revision {
			events = append(events, e)
		}
	}
	return NewChanges(events, l.revision, l.now().Sub(l.confirmed)), l.changed, nil
}
