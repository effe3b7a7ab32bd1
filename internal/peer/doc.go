// Package peer connects the entry VMs with each other over twirp.
package peer
