// Package errs defines the problems that a caller can be told of and the
// outcome that each of them states for the caller's work.
package errs
