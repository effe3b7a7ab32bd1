// Package pqueue provides a priority queue whose items can be moved and removed.
package pqueue
