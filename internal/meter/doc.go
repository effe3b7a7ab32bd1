// Package meter holds the process's metrics and writes them in the Prometheus
// text format. It stores the values in a go-metrics registry, where the labels
// are part of a metric's name.
package meter
