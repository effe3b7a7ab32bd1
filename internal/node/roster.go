package node

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/world"
)

// silence is the time for which a peer that did not answer owns no slots here.
// Its operations go to the next peer in rendezvous order, which costs only
// conflicts while other VMs disagree.
const silence = 3 * time.Second

// roster holds the listed VMs as plain calls see them. It is safe for
// concurrent use.
type roster struct {
	self string
	now  func() time.Time
	seen atomic.Pointer[listing]
}

// listing is one VM list. It does not change, but for the silence of its
// entries.
type listing struct {
	// upstreams holds the plain upstreams that are not leaving, by service.
	upstreams map[string][]*world.VM
	// entries holds the entry VMs that are not leaving.
	entries []*entry
}

// entry is an entry VM that can own slots.
type entry struct {
	vm *world.VM
	// digest is the hash of the VM's name.
	digest uint64
	// until is the end of the silence in Unix nanoseconds.
	until *atomic.Int64
}

func newRoster(self string) *roster {
	r := &roster{
		self: self,
		now:  time.Now,
	}
	r.seen.Store(&listing{})
	return r
}

// follow replaces the VM list. Only one goroutine calls it.
func (r *roster) follow(vms []*world.VM) {
	old := r.seen.Load()
	next := &listing{upstreams: make(map[string][]*world.VM)}
	for _, v := range vms {
		switch {
		case v.Leaving():
		case v.Kind() == world.Plain:
			next.upstreams[v.Service()] = append(next.upstreams[v.Service()], v)
		case v.Kind() == world.Entry:
			next.entries = append(next.entries, newEntry(v, old.entry(v.Name())))
		}
	}
	r.seen.Store(next)
}

// newEntry returns an entry that keeps the silence of the VM's old one, which
// may be nil, while the VM has the same address.
func newEntry(v *world.VM, old *entry) *entry {
	e := &entry{
		vm:     v,
		digest: xxhash.Sum64String(v.Name()),
		until:  new(atomic.Int64),
	}
	if old != nil && old.vm.Address() == v.Address() {
		e.until = old.until
	}
	return e
}

// entry returns the entry VM with a name, or nil.
func (l *listing) entry(name string) *entry {
	for _, e := range l.entries {
		if e.vm.Name() == name {
			return e
		}
	}
	return nil
}

// live returns the upstreams of a service. The caller must not change it.
func (r *roster) live(service string) []*world.VM { return r.seen.Load().upstreams[service] }

// entries returns the number of entry VMs.
func (r *roster) entries() int { return len(r.seen.Load().entries) }

// owner returns the soft owner of a slot: the first entry VM in rendezvous
// order that is not silent, or "" when none is listed.
func (r *roster) owner(slot int) string {
	now := r.now().UnixNano()
	name := ""
	var most uint64
	for _, e := range r.seen.Load().entries {
		if e.vm.Name() != r.self && now < e.until.Load() {
			continue
		}
		if rank := mix(e.digest, slot); name == "" || rank > most {
			name, most = e.vm.Name(), rank
		}
	}
	return name
}

// address returns the address of a peer, or false.
func (r *roster) address(name string) (string, bool) {
	e := r.seen.Load().entry(name)
	if e == nil {
		return "", false
	}
	return e.vm.Address(), true
}

// mute notes that a peer did not answer.
func (r *roster) mute(name string) {
	if e := r.seen.Load().entry(name); e != nil {
		e.until.Store(r.now().Add(silence).UnixNano())
	}
}

// mix returns the rank of a VM for a slot (the finalizer of splitmix64).
func mix(digest uint64, slot int) uint64 {
	x := digest + uint64(slot+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
