// Package relay is the decision core of one caller's generation. It orders
// tokens by index, binds the response to one version, and decides when to
// attach, resume, hedge, cancel, finish or fail.
package relay
