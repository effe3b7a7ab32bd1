// Package simkv is a simulated key-value store of the platform, served over
// HTTP: compare-and-swap by revision, prefix lists, long-poll watches, leases,
// rate limits, and faults that tests switch on. It keeps everything in memory.
package simkv
