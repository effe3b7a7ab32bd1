package alarm

import (
	"time"

	"clementinelink.example/clementinelink/internal/pqueue"
)

// entry is the alarm of one id.
type entry[K comparable] struct {
	due time.Time
	id  K
	// seq orders alarms with the same time by their creation.
	seq uint64
	// index is the position in the queue.
	index int
}

// Set holds alarms ordered by time, at most one for each id. It is not safe for
// concurrent use.
type Set[K comparable] struct {
	queue   *pqueue.Queue[*entry[K]]
	byID    map[K]*entry[K]
	lastSeq uint64
}

// New returns an empty set.
func New[K comparable]() *Set[K] {
	return &Set[K]{
		queue: pqueue.New(
			func(a, b *entry[K]) bool {
				if !a.due.Equal(b.due) {
					return a.due.Before(b.due)
				}
				return a.seq < b.seq
			},
			func(a *entry[K], index int) { a.index = index },
		),
		byID: make(map[K]*entry[K]),
	}
}

// Schedule sets the alarm of id to the given time, unless it is already set to
// an earlier time. Users that move a deadline later with each token thus need
// no update of the queue; the alarm is due early, and they set it again.
func (s *Set[K]) Schedule(id K, at time.Time) {
	e, ok := s.byID[id]
	if !ok {
		s.lastSeq++
		e = &entry[K]{
			due: at,
			id:  id,
			seq: s.lastSeq,
		}
		s.byID[id] = e
		s.queue.Push(e)
		return
	}
	if at.Before(e.due) {
		e.due = at
		s.queue.Fix(e.index)
	}
}

// Clear removes the alarm of id, if there is one.
func (s *Set[K]) Clear(id K) {
	if e, ok := s.byID[id]; ok {
		delete(s.byID, id)
		s.queue.Remove(e.index)
	}
}

// Next returns the time of the earliest alarm and whether there is one.
func (s *Set[K]) Next() (time.Time, bool) {
	if s.queue.Len() == 0 {
		return time.Time{}, false
	}
	return s.queue.First().due, true
}

// PopDue removes the earliest alarm if its time is at or before now, and returns
// its id and whether there was one.
func (s *Set[K]) PopDue(now time.Time) (K, bool) {
	if s.queue.Len() == 0 || s.queue.First().due.After(now) {
		var none K
		return none, false
	}
	e := s.queue.Pop()
	delete(s.byID, e.id)
	return e.id, true
}
