// Package offer orders the engines that may take over the memory of a cancelled run.
package offer

import (
	"cmp"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/pool"
)

// maxOthers is the number of engines that are offered the memory of a cancelled run
// in turn.
const maxOthers = 8

// Run is a cancelled run. Its fields are exported for construction only.
type Run struct {
	// Engine is the engine of the run.
	Engine *pool.Upstream
	// Standby holds the standby copy of the run, or is nil.
	Standby *pool.Upstream
	// Ordered has an ordered copy of the run, or is nil.
	Ordered *pool.Upstream
}

// Addresses returns the addresses of those of the engines that may be offered the memory
// of the run, the best one first. It is the one that has an ordered copy of
// the run, which is then only refreshed, or the least used one that the request does
// not go on at. Equal ones come in random order, since all VMs choose when a failure
// domain is lost. One that seems unable to take the memory is better than none.
func Addresses(now time.Time, engines []*pool.Upstream, r Run, random func() float64) []string {
	var others []*pool.Upstream
	for _, u := range engines {
		if u.Address() != r.Engine.Address() && !u.Gone() {
			others = append(others, u)
		}
	}
	for i := range others {
		j := i + int(random()*float64(len(others)-i))
		others[i], others[j] = others[j], others[i]
	}
	slices.SortStableFunc(others, func(u, v *pool.Upstream) int {
		return cmp.Or(cmp.Compare(r.penalty(now, u), r.penalty(now, v)), cmp.Compare(u.Tokens(), v.Tokens()))
	})
	var addresses []string
	for _, u := range others[:min(len(others), maxOthers)] {
		addresses = append(addresses, u.Address())
	}
	return addresses
}

// penalty returns the place of an engine in the order, where 0 is the best.
func (r Run) penalty(now time.Time, u *pool.Upstream) int {
	switch {
	case r.Ordered != nil && u == r.Ordered:
		return 0
	case !u.Available(now) || u.Entry().Version() != r.Engine.Entry().Version():
		return 3
	case u == r.Standby:
		return 2
	default:
		return 1
	}
}
