// Package load holds what upstreams report of their load, and weights it by its age.
package load
