// Package intact finds HTTP/1.1 responses that net/http takes for complete although
// they are not: those that end with a connection on which the request was not written
// in full, and those whose status HTTP does not have.
package intact
