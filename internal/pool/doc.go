// Package pool holds the upstreams that one entry VM knows: the registry's
// entry of each, the VM's own load on it, and the health that its answers have
// shown. It chooses the upstream for an attempt and the holder of a standby
// copy.
package pool
