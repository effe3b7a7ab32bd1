package router

import (
	"container/heap"
	"time"
)

// alarm is the next check of one waiting item or response.
type alarm struct {
	at    time.Time
	id    string
	order uint64
	index int
}

// alarms is a heap of alarms by time, with at most one for each id.
type alarms struct {
	heap  alarmHeap
	byID  map[string]*alarm
	order uint64
}

func newAlarms() *alarms {
	return &alarms{byID: make(map[string]*alarm)}
}

// set makes the alarm of id ring at the given time or earlier. A later time
// leaves an earlier alarm in place, which saves a heap update for each token.
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
		heap.Push(&s.heap, a)
		return
	}
	if at.Before(a.at) {
		a.at = at
		heap.Fix(&s.heap, a.index)
	}
}

// clear removes the alarm of id.
func (s *alarms) clear(id string) {
	if a, ok := s.byID[id]; ok {
		delete(s.byID, id)
		heap.Remove(&s.heap, a.index)
	}
}

// next returns the time of the earliest alarm and whether there is one.
func (s *alarms) next() (time.Time, bool) {
	if len(s.heap) == 0 {
		return time.Time{}, false
	}
	return s.heap[0].at, true
}

// due removes and returns the id of an alarm that rings at or before now.
func (s *alarms) due(now time.Time) (string, bool) {
	if len(s.heap) == 0 || s.heap[0].at.After(now) {
		return "", false
	}
	a := heap.Pop(&s.heap).(*alarm)
	delete(s.byID, a.id)
	return a.id, true
}

type alarmHeap []*alarm

func (h alarmHeap) Len() int { return len(h) }

func (h alarmHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h alarmHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *alarmHeap) Push(x any) {
	a := x.(*alarm)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *alarmHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return a
}
