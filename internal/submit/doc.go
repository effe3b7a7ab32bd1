// Package submit accepts changes of the operators' configuration. It writes
// the changed parts under new immutable keys and then replaces the head record
// by compare-and-swap, so that racing operators never overwrite each other and
// a repeated submission takes effect once.
package submit
