// Package feed spreads the store's keys between the entry VMs of a failure domain.
// One VM watches the store. Each of the others asks the VM before it in a tree of
// bounded fan-out, for its first list as well as for changes, and decides for each
// read whether to ask another VM or the store. An answer tells how long ago the
// store confirmed it, however many VMs it has passed.
package feed
