// Package world defines the objects that the system works with: VMs, failure
// domains, regions, links, workspaces, services with their routes, contracts and
// moves, and the configuration that holds them. All of them are immutable and
// safe for concurrent use.
package world
