package tree

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fanout is the number of VMs that ask the VM with the widest link while all of
	// them answer.
	fanout = 16
	// childMbps is the bandwidth that a VM's link has for each VM that asks it, so that
	// a large change reaches all of them in a fraction of a second.
	childMbps = 4
	// minChildren is the number of VMs that ask a VM on the narrowest link if no other
	// VM has a wider one.
	minChildren = 2
)

// Tree is the order in which a VM asks others for changes. There is a tree of the VMs
// in each failure domain, one of the first VMs of the domains in each region, and one of
// the first VMs of the regions, so that a change crosses the link between two regions
// once. Regions are sorted by their distance to the store; failure domains and VMs by
// the bandwidth of the links, widest first. A Tree is immutable.
type Tree struct {
	size int
	// before holds the VMs to ask, parent first. Each precedes the VM in the order by
	// region, failure domain and link, so that no two VMs wait for each other.
	before []VM
	// after holds VMs that follow it.
	after []VM
}

// New returns the tree of vms as the VM named self sees it. It is empty if vms do not
// contain that VM.
func New(self string, vms []VM) *Tree {
	t := &Tree{}
	at := slices.IndexFunc(vms, func(v VM) bool { return v.name == self })
	if at < 0 {
		return t
	}
	t.size = len(vms)
	represents := self
	for _, level := range [][]VM{domainOf(vms, vms[at]), regionOf(vms, vms[at]), allRegions(vms)} {
		i := slices.IndexFunc(level, func(v VM) bool { return v.name == represents })
		t.before = append(t.before, ancestors(level, i)...)
		t.after = append(t.after, level[i+1:]...)
		represents = level[0].name
	}
	t.addOthers(vms, vms[at])
	return t
}

// addOthers appends the remaining VMs that precede own, for the case that its ancestors
// fail together: those of its region come first, and the first VMs of failure domains
// before others.
func (t *Tree) addOthers(vms []VM, own VM) {
	listed := make(map[string]bool, len(t.before))
	for _, v := range t.before {
		listed[v.name] = true
	}
	var near, far [][]VM
	for _, first := range allRegions(vms) {
		for _, d := range regionOf(vms, first) {
			domain := domainOf(vms, d)
			i := slices.IndexFunc(domain, func(v VM) bool { return v.name == own.name })
			if i >= 0 {
				domain = domain[:i]
			}
			if first.region == own.region {
				near = append(near, domain)
			} else {
				far = append(far, domain)
			}
			if i >= 0 {
				t.before = append(append(t.before, unlisted(near, listed)...), unlisted(far, listed)...)
				return
			}
		}
	}
}

// unlisted returns the VMs of some failure domains that are not listed: the first VM of
// each domain, then the second ones, and so on.
func unlisted(domains [][]VM, listed map[string]bool) []VM {
	var list []VM
	for i, left := 0, true; left; i++ {
		left = false
		for _, d := range domains {
			if i >= len(d) {
				continue
			}
			left = true
			if !listed[d[i].name] {
				list = append(list, d[i])
			}
		}
	}
	return list
}

// Size returns the number of VMs, or 0 if the VM is not one of them.
func (t *Tree) Size() int { return t.size }

// Before returns the VMs to ask, in order. It is empty for the VM that reads from the
// store.
func (t *Tree) Before() []VM { return t.before }

// After returns the VMs that may know changes when the store and those before the VM
// do not answer.
func (t *Tree) After() []VM { return t.after }

// domainOf returns the VMs of own's failure domain, sorted.
func domainOf(vms []VM, own VM) []VM {
	var list []VM
	for _, v := range vms {
		if v.domain == own.domain && v.region == own.region {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, byLink)
	return list
}

// regionOf returns the first VM of each failure domain in own's region, sorted.
func regionOf(vms []VM, own VM) []VM {
	firsts := make(map[string]VM)
	for _, v := range vms {
		if v.region != own.region {
			continue
		}
		if first, ok := firsts[v.domain]; !ok || byLink(v, first) < 0 {
			firsts[v.domain] = v
		}
	}
	return sorted(firsts, byLink)
}

// allRegions returns the first VM of each region, in the order of the regions.
func allRegions(vms []VM) []VM {
	firsts := make(map[string]VM)
	distances := make(map[string][]time.Duration)
	for _, v := range vms {
		if first, ok := firsts[v.region]; !ok || byLink(v, first) < 0 {
			firsts[v.region] = v
		}
		if v.distance > 0 {
			distances[v.region] = append(distances[v.region], v.distance)
		}
	}
	return sorted(firsts, func(a, b VM) int {
		return cmp.Or(cmp.Compare(median(distances[a.region]), median(distances[b.region])), cmp.Compare(a.region, b.region))
	})
}

func sorted(firsts map[string]VM, compare func(a, b VM) int) []VM {
	list := make([]VM, 0, len(firsts))
	for _, v := range firsts {
		list = append(list, v)
	}
	slices.SortFunc(list, compare)
	return list
}

// unknownDistance is the distance of a region none of whose VMs knows its own.
const unknownDistance = time.Hour

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return unknownDistance
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// ancestors returns the VMs before position at of one level, in the order in which to
// ask them: the parent, the VMs between the parent and the first one, and the others.
func ancestors(level []VM, at int) []VM {
	if at == 0 {
		return nil
	}
	parent := parentOf(level, at)
	list := make([]VM, 0, at)
	for i := parent; i >= 0; i-- {
		list = append(list, level[i])
	}
	return append(list, level[parent+1:at]...)
}

// parentOf returns the position of the parent of the VM at position at, which is
// smaller than at.
func parentOf(level []VM, at int) int {
	parent, children := 0, 0
	for i := 1; ; i++ {
		if children == maxChildren(level, parent) {
			parent, children = parent+1, 0
		}
		if i == at {
			return parent
		}
		children++
	}
}

// maxChildren returns the number of VMs of a level that ask the VM at position i, in
// proportion to the width of its link.
func maxChildren(level []VM, i int) int {
	widest, link := level[0].linkMbps, level[i].linkMbps
	if widest == 0 {
		return fanout
	}
	return max(1, min(int(fanout*link/widest), max(minChildren, int(link/childMbps))))
}
