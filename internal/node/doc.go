// Package node runs the duties of one entry VM, each in a goroutine of its
// own, and joins them by bounded rings.
package node
