// Package simsvc implements a simulated plain HTTP service with injectable
// faults. GET calls are lookups, which may be repeated; other calls are bookings,
// which must not be. It records every call that it ran, so that a test can find
// lost and repeated ones.
package simsvc
