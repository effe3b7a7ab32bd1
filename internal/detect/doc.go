// Package detect measures how fast an engine produces tokens and derives from
// that how long a stream may be silent before it is suspected to have failed.
package detect
