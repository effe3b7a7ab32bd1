// Package fair orders work at engines: by the urgency of routes, and among routes of one
// urgency by what workspaces have lately used of a service. A VM compares what it has seen
// itself; VMs exchange no messages about it.
package fair
