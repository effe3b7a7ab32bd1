// Package stand holds what incarnations of upstreams have stated about themselves
// in the heads of their answers: that they are leaving, and that they rest.
package stand
