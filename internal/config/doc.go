// Package config keeps the configuration of a VM up to date. Core decides what
// to read and when to adopt a revision; Duty performs the reads. The adopted
// revision never decreases, whatever the store, its watches and the peers
// report. The parts of a configuration are opaque to this package: named bytes
// with a digest.
//
// In the store, the key config/head holds the revision and the digest of each
// part, and each part is stored under an immutable key of its own. Three VMs
// per failure domain watch the head; the others learn of it from their peers.
package config
