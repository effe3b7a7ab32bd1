package mirror

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/store"
)

// settleDelay is how long after a restoration of the store was noticed its state may be
// older than what is in force. Operators and upstreams write again within 2 s, and the keys
// of upstreams that have ended expire some seconds after the store's return.
const settleDelay = 5 * time.Second

// maxGaps is the number of restorations over which VMs can follow the changes.
const maxGaps = 4

// Rules decide what stays in force after a restoration of the store.
type Rules struct {
	// Foreign reports whether only others than VMs write a key, so that VMs use its value
	// and not its revision.
	Foreign func(key string) bool
	// Stays reports whether a known entry stays in force although the store has another
	// one, which is the zero Entry if it has none. settled is true once the writers have
	// had the time to write again.
	Stays func(known, listed store.Entry, settled bool) bool
}

// noRules lets nothing stay in force.
var noRules = Rules{
	Foreign: func(string) bool { return false },
	Stays:   func(store.Entry, store.Entry, bool) bool { return false },
}

// gap is the span of revisions between the latest one that the log knew before a
// restoration and that of its first answer afterwards. The log does not have all changes
// after a revision within it.
type gap struct {
	from uint64
	to   uint64
}

// cross notes a restoration of the store if revision is of a later era than the log. The
// caller must hold the mutex.
func (l *Log) cross(now time.Time, revision uint64) {
	if l.confirmed.IsZero() || store.Era(revision) <= store.Era(l.revision) {
		return
	}
	l.settledAt, l.crossing = now.Add(settleDelay), true
	l.gaps = append(l.gaps, gap{
		from: l.revision,
		to:   revision,
	})
	if len(l.gaps) > maxGaps {
		l.completeAfter = max(l.completeAfter, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
}

// inGap reports whether changes after a revision may be missing. The caller must hold the
// mutex.
func (l *Log) inGap(revision uint64) bool {
	for _, g := range l.gaps {
		if g.from < revision && revision < g.to {
			return true
		}
	}
	return false
}

// repeats reports whether a restored store only has again what it had. Such a change is
// not passed on. The caller must hold the mutex.
func (l *Log) repeats(old, e store.Event) bool {
	return l.crossing && store.Era(old.Entry().Revision()) < store.Era(e.Entry().Revision()) &&
		!old.Deleted() && !e.Deleted() && l.rules.Foreign(e.Entry().Key()) && bytes.Equal(old.Entry().Value(), e.Entry().Value())
}

// relocated returns a change of the store at a position at which the restored store has it
// again. A VM that has read the store in between has another position for an earlier change.
// The caller must hold the mutex.
func (l *Log) relocated(e store.Event) store.Event {
	old := e.Entry()
	if len(l.gaps) == 0 || store.Era(old.Revision()) == store.Era(l.revision) || l.latest[old.Key()].Entry().Revision() != old.Revision() {
		return e
	}
	at := l.repeated[old.Key()]
	if store.Era(at) < store.Era(l.revision) {
		at = l.gaps[len(l.gaps)-1].to
	}
	return store.NewEvent(store.NewEntry(old.Key(), old.Value(), at, old.Lease()), e.Deleted())
}

// outlives reports whether a change stays in force although the store has a later one. The
// caller must hold the mutex.
func (l *Log) outlives(now time.Time, view, latest store.Event) bool {
	known, settled := view.Entry(), !now.Before(l.settledAt)
	_, held := l.held[known.Key()]
	if settled && !held || store.Era(known.Revision()) == store.Era(latest.Entry().Revision()) {
		return false
	}
	switch {
	case latest.Deleted():
		return !view.Deleted() && l.rules.Stays(known, store.Entry{}, settled)
	case view.Deleted():
		return !settled && l.rules.Foreign(known.Key()) &&
			(bytes.Equal(known.Value(), latest.Entry().Value()) || l.rules.Stays(known, latest.Entry(), settled))
	default:
		return l.rules.Stays(known, latest.Entry(), settled)
	}
}

// hold makes e the state in force if it outlives the latest one, which another VM knows,
// and reports whether it is. The caller must hold the mutex.
func (l *Log) hold(now time.Time, latest, e store.Event) bool {
	if e.Deleted() || l.held[e.Entry().Key()].Entry().Revision() >= e.Entry().Revision() || !now.Before(l.settledAt) || !l.outlives(now, e, latest) {
		return false
	}
	l.held[e.Entry().Key()] = e
	return true
}

// Release returns the changes that are in force from now on, since the store has confirmed
// them after their writers have had the time to write again.
func (l *Log) Release() []store.Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	if l.confirmed.Before(l.settledAt) {
		return nil
	}
	var events []store.Event
	for key, view := range l.held {
		if e := l.latest[key]; !l.outlives(now, view, e) {
			delete(l.held, key)
			events = append(events, e)
		}
	}
	slices.SortFunc(events, byRevision)
	return events
}

// Held returns the number of changes that stay in force after a restoration.
func (l *Log) Held() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.held)
}

// inForce returns the entries in force, in order of their keys. The caller must hold the mutex.
func (l *Log) inForce() []store.Entry {
	entries := make([]store.Entry, 0, len(l.latest))
	for key, e := range l.latest {
		if view, ok := l.held[key]; ok {
			e = view
		}
		if !e.Deleted() {
			entries = append(entries, e.Entry())
		}
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return cmp.Compare(a.Key(), b.Key()) })
	return entries
}
