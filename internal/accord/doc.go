// Package accord lets the entry VMs agree on the prompt parts that crash engines.
// It carries out the decisions of package blame: it sends losses to the VMs that
// collect them, asks all VMs what has survived, and keeps the charges in the
// store, from which every VM learns them.
package accord
