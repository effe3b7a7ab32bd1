// Package follow keeps a copy of the store's keys with a given prefix up to
// date. It lists the keys, watches for changes, and lists again when the store
// has compacted its history. While the store is unavailable it keeps the known
// keys.
package follow
