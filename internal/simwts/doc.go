// Package simwts implements a simulation of the platform's weight store, served
// over HTTP with a rate limit. It stores no weights: a fetch answers with the
// model and version after a configurable delay.
package simwts
