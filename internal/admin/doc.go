// Package admin is the HTTP server for operators, on a separate listener. It
// serves health, readiness, metrics, status and the burn report.
package admin
