// Package bound limits the bytes that a peer may send. A broken peer may send a
// response head or body without end, so each client limits both.
package bound
