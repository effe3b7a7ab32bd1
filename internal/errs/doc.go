// Package errs defines the problems that are reported to callers. Each problem
// states an outcome: whether the caller's work ran.
package errs
