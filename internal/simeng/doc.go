// Package simeng implements a simulated model engine, served over HTTP and SSE,
// with continuous batching, a prompt cache, retained streams and injectable
// faults. Each token id is a hash of the ids before it, so that a missing,
// repeated or foreign token changes all later ids and a client can verify each
// answer.
package simeng
