// Package meter counts events and measures values, and writes them in the
// Prometheus text format. Values are kept by go-metrics; labels are part of
// the names under which they are registered there.
package meter
