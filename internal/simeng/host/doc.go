// Package host runs the HTTP server of a stand-in and can take it away the way
// a crash does: every connection is reset and the port stops listening.
package host
