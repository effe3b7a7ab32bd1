// Package lab brings up a deployment of stand-ins on loopback and measures the
// system against it.
package lab
