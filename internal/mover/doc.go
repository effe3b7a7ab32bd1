// Package mover runs the moves of all services on one entry VM: it feeds the
// controller of each move with evidence, engine states and the stored record,
// and carries out its actions. Every decision is made in packages move, order
// and lease.
package mover
