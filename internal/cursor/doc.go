// Package cursor encodes the position in a streamed response as a signed SSE
// event id. A caller that reconnects sends the id in Last-Event-ID to any entry
// VM, and the response resumes from that position.
package cursor
