// Package abort plays an upstream that responds before it has read the request.
// Tests use it as a peer that resets the connection or reads on.
package abort
