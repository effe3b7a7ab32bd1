// Package plain sends calls to plain upstreams over HTTP. A booking is written
// at most once, and its outcome states what is proven of it.
package plain
