// Package proxy decides how one entry VM forwards requests over HTTP: streams
// of opaque indexed pieces, lookups and bookings. It chooses upstreams,
// retries, hedges, and resumes streams after a failure. Core.Step takes the
// current time and one event and returns actions; the package reads no clock,
// opens no socket and starts no goroutine, so the same seed and events give the
// same actions.
package proxy
