// Package front serves callers' HTTP: the OpenAI-compatible generation API and
// the declared routes of plain services. It turns requests into relay.Request
// values and the dispatcher's outputs into responses, and decides nothing
// about upstreams.
package front
