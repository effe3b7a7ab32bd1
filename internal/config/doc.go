// Package config keeps the configuration in force on a VM. Its core decides
// what to read and when to adopt a revision; the adopted revision only
// increases, whatever the store, its watches and the peers report. Parts of the
// configuration are opaque here: named bytes with a digest.
//
// In the store, config/head names the revision and the digest of each part, and
// each part stands under an immutable key of its own. Three VMs per failure
// domain watch the head; the others learn of it from their peers.
package config
