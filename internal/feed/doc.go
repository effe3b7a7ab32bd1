// Package feed lets the entry VMs of a failure domain share one watch of the
// store. Each keeps the changes that it received lately and gives them to the
// others, and each decides whether to ask another VM or the store.
package feed
