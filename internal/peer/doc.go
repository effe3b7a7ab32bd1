// Package peer implements the client and server of the Twirp service that entry
// VMs call on each other.
package peer
