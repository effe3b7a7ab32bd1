package feed

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minVMs is the number of VMs in a failure domain from which on they share
	// a watch. Fewer cost less than what a silent VM costs in time.
	minVMs = 4
	// maxTries is the number of VMs that are asked before the store is.
	maxTries = 2
	// firstRest and maxRest bound the time for which a source that failed is
	// asked last; it doubles with each failure in a row.
	firstRest = 2 * time.Second
	maxRest   = 30 * time.Second
	// behindRest is the same for a VM that answers but knows too little.
	behindRest = time.Second
)

// VM is an entry VM of the own failure domain.
type VM struct {
	name    string
	address string
	link    float64
}

// NewVM returns a VM that answers at the IP:port address and has a link of so
// many Mbit/s.
func NewVM(name, address string, link float64) VM {
	return VM{
		name:    name,
		address: address,
		link:    link,
	}
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Address returns IP:port.
func (v VM) Address() string { return v.address }

// Order decides which sources of changes a VM asks, and in which order: the VMs
// with the widest links come first, and each asks only those before it while
// the store answers, so that few VMs watch the store. It is owned by one duty.
type Order struct {
	self string
	vms  []VM
	// rests holds the rest of each source that failed, by name; "" is the
	// store.
	rests map[string]rest
}

// rest is the time for which a source is asked last.
type rest struct {
	until  time.Time
	length time.Duration
}

// NewOrder returns the order for the VM with the name.
func NewOrder(self string) *Order {
	return &Order{
		self:  self,
		rests: make(map[string]rest),
	}
}

// Set sets the VMs of the failure domain, the own one included.
func (o *Order) Set(vms []VM) {
	o.vms = slices.Clone(vms)
	slices.SortFunc(o.vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.link, a.link), cmp.Compare(a.name, b.name))
	})
}

// Shared reports whether the VMs share a watch.
func (o *Order) Shared() bool { return len(o.vms) >= minVMs && o.place() >= 0 }

func (o *Order) place() int {
	return slices.IndexFunc(o.vms, func(v VM) bool { return v.name == o.self })
}

// Sources returns the sources to ask at now, one after the other until one
// answers; the zero VM is the store.
func (o *Order) Sources(now time.Time) []VM {
	if !o.Shared() {
		return []VM{{}}
	}
	at := o.place()
	before, after := o.rested(now, o.vms[:at]), o.rested(now, o.vms[at+1:])
	if now.Before(o.rests[""].until) {
		return append(append(before, after...), VM{})
	}
	return append(append(before, VM{}), after...)
}

// rested returns the first VMs that do not rest.
func (o *Order) rested(now time.Time, vms []VM) []VM {
	var list []VM
	for _, v := range vms {
		if len(list) < maxTries && !now.Before(o.rests[v.name].until) {
			list = append(list, v)
		}
	}
	return list
}

// Failed notes that a source did not answer.
func (o *Order) Failed(now time.Time, v VM) {
	r := o.rests[v.name]
	r.length = min(max(2*r.length, firstRest), maxRest)
	r.until = now.Add(r.length)
	o.rests[v.name] = r
}

// Behind notes that a VM knows too little at present.
func (o *Order) Behind(now time.Time, v VM) {
	o.rests[v.name] = rest{
		until: now.Add(behindRest),
	}
}

// Answered notes a good answer.
func (o *Order) Answered(v VM) { delete(o.rests, v.name) }
