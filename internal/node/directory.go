package node

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/world"
)

// unresponsivePeriod is how long a peer that did not answer is not used as the
// owner of slots. Operations on its slots go to the next peer in rendezvous
// order. While other VMs still use the first one, the only cost is write
// conflicts.
const unresponsivePeriod = 3 * time.Second

// directory holds the listed VMs that plain calls use: the upstreams of each
// service and the entry VMs that own claim slots. It is safe for concurrent use.
type directory struct {
	self    string
	now     func() time.Time
	current atomic.Pointer[memberList]
}

// memberList is one VM list. It is immutable except for the times until which
// entry VMs are unresponsive.
type memberList struct {
	// upstreams holds the plain upstreams that are not leaving, by service.
	upstreams map[string][]*world.VM
	// entries holds the entry VMs that are not leaving.
	entries []*entryVM
}

// entryVM is an entry VM that can own slots.
type entryVM struct {
	vm *world.VM
	// digest is the hash of the VM's name.
	digest uint64
	// unresponsiveUntil is when the VM can own slots again, in Unix nanoseconds.
	unresponsiveUntil *atomic.Int64
}

func newDirectory(self string) *directory {
	d := &directory{
		self: self,
		now:  time.Now,
	}
	d.current.Store(&memberList{})
	return d
}

// setMembers replaces the VM list. Only one goroutine calls it.
func (d *directory) setMembers(vms []*world.VM) {
	old := d.current.Load()
	next := &memberList{upstreams: make(map[string][]*world.VM)}
	for _, vm := range vms {
		switch {
		case vm.Leaving():
		case vm.Kind() == world.Plain:
			next.upstreams[vm.Service()] = append(next.upstreams[vm.Service()], vm)
		case vm.Kind() == world.Entry:
			next.entries = append(next.entries, newEntryVM(vm, old.find(vm.Name())))
		}
	}
	d.current.Store(next)
}

// newEntryVM returns an entry VM. It shares the unresponsive time with old,
// the previous list's entry of this VM or nil, if the address is the same.
func newEntryVM(vm *world.VM, old *entryVM) *entryVM {
	e := &entryVM{
		vm:                vm,
		digest:            xxhash.Sum64String(vm.Name()),
		unresponsiveUntil: new(atomic.Int64),
	}
	if old != nil && old.vm.Address() == vm.Address() {
		e.unresponsiveUntil = old.unresponsiveUntil
	}
	return e
}

// find returns the entry VM with the given name, or nil.
func (l *memberList) find(name string) *entryVM {
	for _, e := range l.entries {
		if e.vm.Name() == name {
			return e
		}
	}
	return nil
}

// upstreams returns the upstreams of a service. The caller must not modify the
// slice.
func (d *directory) upstreams(service string) []*world.VM { return d.current.Load().upstreams[service] }

// entryCount returns the number of entry VMs.
func (d *directory) entryCount() int { return len(d.current.Load().entries) }

// owner returns the name of a slot's soft owner: the first entry VM in
// rendezvous order that is not unresponsive, or "" if there is none. Ownership
// is only a hint that avoids write conflicts. VMs may disagree about it, because
// each write of a slot is a compare-and-swap.
func (d *directory) owner(slot int) string {
	now := d.now().UnixNano()
	name := ""
	var highest uint64
	for _, e := range d.current.Load().entries {
		if e.vm.Name() != d.self && now < e.unresponsiveUntil.Load() {
			continue
		}
		if rank := slotRank(e.digest, slot); name == "" || rank > highest {
			name, highest = e.vm.Name(), rank
		}
	}
	return name
}

// address returns the address of the entry VM with the given name and whether
// it is listed.
func (d *directory) address(name string) (string, bool) {
	e := d.current.Load().find(name)
	if e == nil {
		return "", false
	}
	return e.vm.Address(), true
}

// markUnresponsive excludes a peer from owning slots for unresponsivePeriod.
func (d *directory) markUnresponsive(name string) {
	if e := d.current.Load().find(name); e != nil {
		e.unresponsiveUntil.Store(d.now().Add(unresponsivePeriod).UnixNano())
	}
}

// slotRank returns the rank of a VM for a slot in rendezvous hashing, using the
// finalizer of splitmix64.
func slotRank(digest uint64, slot int) uint64 {
	x := digest + uint64(slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
