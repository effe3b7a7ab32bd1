package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberPart is the part of a limit that its members share if the fleet has
	// others, which share the rest. Their few requests learn of a limit's end.
	memberPart = 0.9
	// minRate is the least rate of requests a second of all members together, and of
	// all others. Without it an upstream with a tiny limit, or one that has lifted it
	// unheard, would not be tried again.
	minRate = 0.1
)

// Fleet is the set of VMs that share the limits of upstreams. It is not safe for
// concurrent use.
type Fleet struct {
	self string
	// names holds the names of all VMs including self, sorted.
	names []string
	// position is the number of VMs that precede this one in the order of a hash of
	// their names, which all VMs use.
	position int
	// version increases with each change.
	version int
}

// NewFleet returns a fleet of the VM named self only.
func NewFleet(self string) *Fleet {
	return &Fleet{
		self:  self,
		names: []string{self},
	}
}

// Set sets the names of the VMs. The VM itself is added if it is missing, as it is
// until its enrolment.
func (f *Fleet) Set(names []string) {
	all := slices.Clone(names)
	if !slices.Contains(all, f.self) {
		all = append(all, f.self)
	}
	slices.Sort(all)
	if slices.Equal(all, f.names) {
		return
	}
	f.names, f.position = all, 0
	own := xxhash.Sum64String(f.self)
	for _, name := range all {
		if xxhash.Sum64String(name) < own {
			f.position++
		}
	}
	f.version++
}

// Changed counts a change of the upstreams that have limits, which changes shares.
func (f *Fleet) Changed() { f.version++ }

// Version returns a number that changes when the shares may have changed.
func (f *Fleet) Version() int { return f.version }

// Share returns the requests a second that this VM may send to an upstream with the
// given limit, and whether it is one of the members, the VMs that send nearly all
// requests there. There is at most one member for each request a second of the limit,
// since the small bursts of more VMs would exceed it together. The VMs form a ring, on
// which the members of an upstream stand side by side. Those of the upstreams of a
// service, of which this one has the given index among count, begin at equal distances,
// so that no VM is a member of many and none of few.
func (f *Fleet) Share(index, count int, limit float64) (rate float64, member bool) {
	total := len(f.names)
	members := min(max(int(min(limit, float64(total))), 1), total)
	if members == total {
		return max(limit, minRate) / float64(total), true
	}
	first := index * total / max(count, 1)
	if (f.position-first%total+total)%total < members {
		return max(memberPart*limit, minRate) / float64(members), true
	}
	return max((1-memberPart)*limit, minRate) / float64(total-members), false
}
