// Package follow keeps a copy of the store's keys with a given prefix up to
// date. It lists the keys, watches for changes, and lists again when the store
// has compacted its history. While the store is unavailable it keeps the known
// keys. It also decides which part of a registry a VM follows when there are
// many VMs.
package follow
