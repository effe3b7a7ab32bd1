// Package build makes the configuration in force from the stored parts of a
// declaration.
package build
