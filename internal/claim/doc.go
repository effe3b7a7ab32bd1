// Package claim decides which call may send the work of an idempotency key.
// Claims are records in a few slots of the platform's store and change only by
// compare-and-swap; the calls and outcomes that wait for a slot share one write.
package claim
