// Package fleet holds the engines as one entry VM sees them: membership state,
// own outstanding work, the latest load report and the token cadence.
package fleet
