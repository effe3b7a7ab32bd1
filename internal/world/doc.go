// Package world holds the objects that the system serves and runs on: VMs,
// failure domains, regions, links, upstreams, workspaces, services and their
// contracts. All of them are immutable once built and safe for concurrent use.
package world
