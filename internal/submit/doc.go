// Package submit applies the configuration changes that operators submit. It
// writes the changed parts under new immutable keys and then replaces the head
// record by compare-and-swap, so that concurrent submissions never overwrite
// each other and a repeated submission takes effect once. It also contains the
// HTTP handlers for operators and their client.
package submit
