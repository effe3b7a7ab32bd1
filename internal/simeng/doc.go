// Package simeng is a simulated model engine over HTTP and SSE, with
// continuous batching, a prompt cache, retained streams and faults on demand.
// Its token ids are a chained hash, so that any missing, repeated or foreign
// token changes all later ones and a client can verify each answer.
package simeng
