// Package slope measures the resource costs of parts of the system at several
// sizes, such as numbers of engines or workspaces. It fits a line to the results
// and extrapolates the cost to the target size, the largest deployment that the
// system is designed for.
//
// Each Probe measures one cost. Most of them run a core on its own in this
// process. Those whose names begin with "entry/" run an entry VM in a child
// process and read what the process has used.
package slope
