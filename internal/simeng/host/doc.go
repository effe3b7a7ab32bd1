// Package host runs the HTTP server of a simulated component. It can simulate a
// crash: all connections are reset and the port stops listening.
package host
