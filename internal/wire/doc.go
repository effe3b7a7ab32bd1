// Package wire holds the messages that entry VMs exchange, generated from
// peer.proto. Regenerate with .ci/generate.
package wire
