// Package cursor encodes the position of a response as an authenticated SSE
// event id. A caller that reconnects sends the id back in Last-Event-ID to any
// entry VM.
package cursor
