package pqueue

import "container/heap"

// Queue is a priority queue based on a binary heap. It is not safe for concurrent
// use.
type Queue[T any] struct {
	items items[T]
}

// New returns an empty queue. The function less reports whether a comes before b.
// The queue calls setIndex whenever the index of an item changes; Fix and Remove
// take that index.
func New[T any](less func(a, b T) bool, setIndex func(v T, index int)) *Queue[T] {
	return &Queue[T]{
		items: items[T]{
			less:     less,
			setIndex: setIndex,
		},
	}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items.list) }

// Items returns all items in no particular order. The caller must not modify the
// slice, which is valid until the queue changes.
func (q *Queue[T]) Items() []T { return q.items.list }

// Push adds an item.
func (q *Queue[T]) Push(v T) { heap.Push(&q.items, v) }

// First returns the first item without removing it. It panics if the queue is
// empty.
func (q *Queue[T]) First() T { return q.items.list[0] }

// Pop removes and returns the first item. It panics if the queue is empty.
func (q *Queue[T]) Pop() T { return heap.Pop(&q.items).(T) }

// Fix restores the order after the priority of the item at the index changed.
func (q *Queue[T]) Fix(index int) { heap.Fix(&q.items, index) }

// Remove removes the item at the index.
func (q *Queue[T]) Remove(index int) { heap.Remove(&q.items, index) }

// items implements heap.Interface.
type items[T any] struct {
	list     []T
	less     func(a, b T) bool
	setIndex func(v T, index int)
}

func (s *items[T]) Len() int { return len(s.list) }

func (s *items[T]) Less(i, j int) bool { return s.less(s.list[i], s.list[j]) }

func (s *items[T]) Swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.setIndex(s.list[i], i)
	s.setIndex(s.list[j], j)
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	v := x.(T)
	s.setIndex(v, len(s.list))
	s.list = append(s.list, v)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(s.list) - 1
	v := s.list[last]
	var zero T
	s.list[last] = zero
	s.list = s.list[:last]
	return v
}
