// Package entry holds what the registry lists of an upstream, and the state that an engine
// reports.
package entry
