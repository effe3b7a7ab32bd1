// Package mover runs the moves of all services on one entry VM. It passes the
// evidence, the engine states and the stored record to the controller of each
// move, carries out the resulting actions and exchanges evidence with peers. The
// decisions are made in packages move, order and lease.
package mover
