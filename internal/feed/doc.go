// Package feed lets the entry VMs of a failure domain share one watch of the
// store. Each VM keeps the changes that it has received recently and serves them
// to the others, and decides for each read whether to ask another VM or the
// store.
package feed
