// Package wire contains the messages and services through which entry VMs
// communicate, and the content of cursors. It is generated from peer.proto; run
// .ci/generate after a change.
package wire
