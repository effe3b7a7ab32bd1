// Package picker chooses the engine for an attempt: two candidates near the
// prompt's position on a consistent-hash ring, for cache locality, and two
// random ones, compared by expected load.
package picker
