// Package claim decides which call may be sent to the upstream for an
// idempotency key, so that a booking runs at most once. Claims are records in a
// fixed number of slots of the platform's store and change only by
// compare-and-swap. All claims and outcomes that wait for the same slot are
// written together.
package claim
