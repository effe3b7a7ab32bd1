// Package decl lets operators write a clementinelink declaration in Go and
// print it as JSON for version control. It decodes such files strictly,
// reports every fault with its file, line and field, and compares two
// declarations.
//
// Shares and targets are percentages, rates are bytes a second in each
// direction, durations are Go duration strings, and times are RFC 3339.
package decl
