// Package lab brings up a deployment of stand-ins on loopback, sends it
// requests whose responses it can verify, and measures the system.
package lab
