// Package slope measures what parts of the system cost at several sizes, fits
// a line to the results and derives the cost at the size that is built for.
package slope
