// Package call decides the attempts of calls to plain upstreams, and serves
// callers' plain requests with the duty that owns these decisions and the
// claims of bookings.
package call
