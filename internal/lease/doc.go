// Package lease is the decision core of a lease that is kept in the platform's
// store: it acquires a key by compare-and-swap, renews it, and tells before each
// action whether the holder may act and with which fencing number.
//
// A lease is safe under these assumptions: any two clocks differ in rate by at
// most the drift of Settings; the store's revisions only increase and a key
// bound to a store lease vanishes when that lease ends, not before an explicit
// deletion; and an action reaches its upstream within the settle time after
// MayAct. Wait-out mode does not rely on the store ending a lease on time: it
// also holds when an operator deletes the key.
package lease
