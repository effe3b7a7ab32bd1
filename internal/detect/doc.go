// Package detect learns the token cadence of an engine and derives from it how
// long a silent stream may stay silent before it is suspect.
package detect
