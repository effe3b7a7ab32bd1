// Package decl lets operators write a clementinelink declaration in Go and
// print it as JSON for version control. It decodes such files strictly, reports
// every error with its file, line and field, and compares two declarations.
//
// Shares and targets are percentages, and rates are bytes per second in each
// direction. In JSON, durations are Go duration strings and times are RFC 3339.
package decl
