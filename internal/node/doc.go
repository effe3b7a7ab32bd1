// Package node assembles an entry VM. It runs each of the VM's duties in its own
// goroutines and connects them by bounded rings.
package node
