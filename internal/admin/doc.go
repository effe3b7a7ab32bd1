// Package admin serves operators' HTTP on a listener of its own: health,
// readiness, metrics, status and the burn report.
package admin
