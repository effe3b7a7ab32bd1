// Package stand holds what incarnations of upstreams have stated about themselves
// in the heads of their answers: that they are leaving, that they rest, and how many
// requests a second they accept.
package stand
