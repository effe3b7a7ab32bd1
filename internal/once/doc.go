// Package once sends an HTTP/1.1 request at most once, on a connection of its
// own, and reports when a failed request is known not to have been sent. The
// connection carries no other request, so it can't deliver the response to
// another one, and unlike net/http's client the package never retries.
package once
