package feed

import (
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/tree"
)

const (
	// minSharingVMs is the smallest number of VMs that share a watch. With fewer VMs
	// the saved store calls are worth less than the delay that an unresponsive VM
	// causes.
	minSharingVMs = 4
	// maxPeers is the largest number of VMs that are asked before the store,
	// and again after it.
	maxPeers = 2
	// maxListPeers replaces maxPeers for lists. A list of the store costs more
	// than some refused connections.
	maxListPeers = 4
	// minBackoff and maxBackoff bound the backoff of a source that failed. The
	// backoff doubles with each consecutive failure.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// behindBackoff is the backoff of a VM that answers but lacks changes.
	behindBackoff = time.Second
)

// Selector decides which sources of changes a VM asks, and in which order. A VM asks
// its parent in the tree of the VMs, and the first VM of the tree asks the store. A VM
// whose parent fails asks other VMs before it. While the store answers, no VM asks one
// after it, so few VMs watch the store and none waits for itself. It is not safe for
// concurrent use.
type Selector struct {
	self string
	tree *tree.Tree
	// backoffs holds the backoff of each source that failed, by VM name; "" is
	// the store.
	backoffs map[string]backoff
}

// backoff is the backoff of a source that failed. Until it ends, a VM is not
// asked, and the store is asked after the VMs.
type backoff struct {
	until  time.Time
	length time.Duration
}

// NewSelector returns the selector of the VM named self.
func NewSelector(self string) *Selector {
	return &Selector{
		self:     self,
		tree:     tree.New(self, nil),
		backoffs: make(map[string]backoff),
	}
}

// Set sets the VMs, including the one itself.
func (o *Selector) Set(vms []tree.VM) { o.tree = tree.New(o.self, vms) }

// Shared reports whether the VMs share a watch.
func (o *Selector) Shared() bool { return o.tree.Size() >= minSharingVMs }

// Sources returns the sources of changes to ask at now, in turn until one
// answers. The zero VM is the store.
func (o *Selector) Sources(now time.Time) []tree.VM { return o.sources(now, maxPeers) }

// ListSources returns the sources of a list, like Sources.
func (o *Selector) ListSources(now time.Time) []tree.VM { return o.sources(now, maxListPeers) }

func (o *Selector) sources(now time.Time, peers int) []tree.VM {
	if !o.Shared() {
		return []tree.VM{{}}
	}
	before, after := o.available(now, o.tree.Before(), peers), o.available(now, o.tree.After(), peers)
	if now.Before(o.backoffs[""].until) {
		return append(append(before, after...), tree.VM{})
	}
	return append(append(before, tree.VM{}), after...)
}

// Follows reports whether a VM comes after this one in the tree. It may read from this one.
func (o *Selector) Follows(v tree.VM) bool { return slices.Contains(o.tree.After(), v) }

// Ancestors returns the VMs to ask that come before this one in the tree. VMs that only
// lacked changes lately are among them.
func (o *Selector) Ancestors(now time.Time) []tree.VM {
	var list []tree.VM
	for _, v := range o.tree.Before() {
		b := o.backoffs[v.Name()]
		if len(list) < maxPeers && o.Shared() && (b.length == 0 || !now.Before(b.until)) {
			list = append(list, v)
		}
	}
	return list
}

// Parents returns the first VMs before this one in the tree, whether they failed or not.
func (o *Selector) Parents() []tree.VM {
	if !o.Shared() {
		return nil
	}
	before := o.tree.Before()
	return before[:min(len(before), maxPeers)]
}

// available returns the first n VMs whose backoff has ended.
func (o *Selector) available(now time.Time, vms []tree.VM, n int) []tree.VM {
	var list []tree.VM
	for _, v := range vms {
		if len(list) < n && !now.Before(o.backoffs[v.Name()].until) {
			list = append(list, v)
		}
	}
	return list
}

// Failed starts the backoff of a source that did not answer.
func (o *Selector) Failed(now time.Time, v tree.VM) {
	r := o.backoffs[v.Name()]
	r.length = min(max(2*r.length, minBackoff), maxBackoff)
	r.until = now.Add(r.length)
	o.backoffs[v.Name()] = r
}

// Behind starts the short backoff of a VM that currently lacks changes.
func (o *Selector) Behind(now time.Time, v tree.VM) {
	o.backoffs[v.Name()] = backoff{
		until: now.Add(behindBackoff),
	}
}

// Answered ends the backoff of a source that answered.
func (o *Selector) Answered(v tree.VM) { delete(o.backoffs, v.Name()) }
