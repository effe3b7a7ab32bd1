// Package call serves callers' requests to plain services. Core decides the
// attempts, hedges and retries of each call; Server runs Core and the claims of
// bookings (package claim) on one goroutine and carries out their actions.
package call
