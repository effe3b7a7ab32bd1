// Package caller holds what the decisions about a caller's request know of it, and the
// response of an upstream that the caller gets.
package caller
