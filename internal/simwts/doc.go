// Package simwts is the platform's simulated weight store, served over HTTP
// with a rate limit.
package simwts
