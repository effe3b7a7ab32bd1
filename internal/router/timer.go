package router

import (
	"time"

	"clementinelink.example/clementinelink/internal/pqueue"
)

// alarm is the next check of one waiting item or response.
type alarm struct {
	at    time.Time
	id    string
	order uint64
	index int
}

// alarms holds alarms by time, with at most one for each id.
type alarms struct {
	queue *pqueue.Queue[*alarm]
	byID  map[string]*alarm
	order uint64
}

func newAlarms() *alarms {
	return &alarms{
		queue: pqueue.New(
			func(a, b *alarm) bool {
				if !a.at.Equal(b.at) {
					return a.at.Before(b.at)
				}
				return a.order < b.order
			},
			func(a *alarm, index int) { a.index = index },
		),
		byID: make(map[string]*alarm),
	}
}

// set makes the alarm of id ring at the given time or earlier. A later time
// leaves an earlier alarm in place, which saves an update of the order for each token.
func (s *alarms) set(id string, at time.Time) {
	a, ok := s.byID[id]
	if !ok {
		s.order++
		a = &alarm{
			at:    at,
			id:    id,
			order: s.order,
		}
		s.byID[id] = a
		s.queue.Push(a)
		return
	}
	if at.Before(a.at) {
		a.at = at
		s.queue.Fix(a.index)
	}
}

// clear removes the alarm of id.
func (s *alarms) clear(id string) {
	if a, ok := s.byID[id]; ok {
		delete(s.byID, id)
		s.queue.Remove(a.index)
	}
}

// next returns the time of the earliest alarm and whether there is one.
func (s *alarms) next() (time.Time, bool) {
	if s.queue.Len() == 0 {
		return time.Time{}, false
	}
	return s.queue.First().at, true
}

// due removes and returns the id of an alarm that rings at or before now.
func (s *alarms) due(now time.Time) (string, bool) {
	if s.queue.Len() == 0 || s.queue.First().at.After(now) {
		return "", false
	}
	a := s.queue.Pop()
	delete(s.byID, a.id)
	return a.id, true
}
