// Package pqueue provides a priority queue whose items can be reordered and
// removed by index.
package pqueue
