// Package build converts the stored parts of a declaration into the
// configuration that VMs run with, a world.Config. Percentages become fractions,
// and each move is attached to its service.
package build
