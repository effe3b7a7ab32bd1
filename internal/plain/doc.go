// Package plain sends calls to plain upstreams, which answer ordinary HTTP
// requests. A booking is sent at most once, and the outcome of a call states
// whether it ran, didn't run or may have run.
package plain
