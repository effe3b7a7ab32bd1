// Package lease implements the decisions of a lease that is kept in the
// platform's store. It acquires a key by compare-and-swap, renews it, and decides
// before each action of the holder whether it may act and with which fencing
// number. Except for Perform, it does no I/O.
//
// A lease is safe under these assumptions: any two clocks differ in rate by at
// most the drift of Settings; the store's revisions only increase; a key bound to
// a store lease exists until that lease ends or the key is deleted explicitly;
// and an action reaches its upstream within the settle time after MayAct.
// Wait-out mode does not rely on the store ending a lease on time, so it is also
// safe when an operator deletes the key.
package lease
