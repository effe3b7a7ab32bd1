// Package simsvc is a simulated plain service with lookups, which may be
// repeated, and bookings, which must not. It records everything that it ran.
package simsvc
