package pqueue

import "container/heap"

// Queue holds items by priority. It is owned by one goroutine.
type Queue[T any] struct {
	items items[T]
}

// New returns an empty queue. The function less orders items, and place tells
// an item its present index, which Fix and Remove take.
func New[T any](less func(a, b T) bool, place func(v T, index int)) *Queue[T] {
	return &Queue[T]{
		items: items[T]{
			less:  less,
			place: place,
		},
	}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Items returns all items in no particular order. The caller must not change
// the slice.
func (q *Queue[T]) Items() []T { return q.items.list }

// Push adds an item.
func (q *Queue[T]) Push(v T) { heap.Push(&q.items, v) }

// First returns the first item; the queue must not be empty.
func (q *Queue[T]) First() T { return q.items.list[0] }

// Pop removes and returns the first item; the queue must not be empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.items).(T) }

// Fix restores the order after the item at the index has changed.
func (q *Queue[T]) Fix(index int) { heap.Fix(&q.items, index) }

// Remove removes the item at the index.
func (q *Queue[T]) Remove(index int) { heap.Remove(&q.items, index) }

// items implements heap.Interface.
type items[T any] struct {
	list  []T
	less  func(a, b T) bool
	place func(v T, index int)
}

func (s *items[T]) Len() int { return len(s.list) }

func (s *items[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }

func (s *items[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.place(s.list[i], i)
	s.place(s.list[j], j)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	v := x.(T)
	s.place(v, len(s.list))
	s.list = append(s.list, v)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	v := s.list[last]
	var none T
	s.list[last] = none
	s.list = s.list[:last]
	return v
}
