package tree

import (
	"cmp"
	"time"
)

// VM is an entry VM. The zero value stands for the store.
type VM struct {
	name     string
	address  string
	domain   string
	region   string
	linkMbps float64
	// distance is the time of a call of the store, or 0 if it is unknown.
	distance time.Duration
}

// NewVM returns a VM that serves changes at the IP:port address and has a
// network link of the given bandwidth in Mbit/s, or 0 if it is unknown.
func NewVM(name, address string, linkMbps float64) VM {
	return VM{
		name:     name,
		address:  address,
		linkMbps: linkMbps,
	}
}

// In returns the VM with its failure domain and its region.
func (v VM) In(domain, region string) VM {
	v.domain, v.region = domain, region
	return v
}

// WithDistance returns the VM with the time that it needs for a call of the store.
func (v VM) WithDistance(d time.Duration) VM {
	v.distance = d
	return v
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Address returns the IP:port at which the VM serves changes.
func (v VM) Address() string { return v.address }

// Domain returns the VM's failure domain.
func (v VM) Domain() string { return v.domain }

// Region returns the VM's region.
func (v VM) Region() string { return v.region }

// LinkMbps returns the bandwidth of the VM's link in Mbit/s, or 0 if it is unknown.
func (v VM) LinkMbps() float64 { return v.linkMbps }

// Distance returns the time of a call of the store, or 0 if it is unknown.
func (v VM) Distance() time.Duration { return v.distance }

// IsStore reports whether v stands for the store.
func (v VM) IsStore() bool { return v.name == "" }

// byLink orders VMs by the bandwidth of their links, widest first, and then by name.
func byLink(a, b VM) int {
	return cmp.Or(cmp.Compare(b.linkMbps, a.linkMbps), cmp.Compare(a.name, b.name))
}
