// Package relay decides how the response to one generation request proceeds. It
// orders tokens by index, keeps the response on one model version, and decides
// when to start, continue, hedge or cancel attempts on engines and when to
// finish or fail. It performs no I/O: methods take the current time and append
// the actions to take to a slice.
package relay
