// Package ring provides a bounded queue through which goroutines pass values to
// one another.
package ring
