// Package front is the HTTP server for callers. It serves the OpenAI-compatible
// generation API and the declared routes of plain services. It converts HTTP
// requests to relay.Request values and the dispatcher's outputs to HTTP
// responses. The choice of upstreams is made elsewhere.
package front
