package move

import (
	"math"
	"math/rand/v2"
)

// MinVMs is the minimum number of VMs among which the slack is divided. A VM
// that starts has not seen its peers yet and must not use all of it.
const MinVMs = 9

const (
	// usedShare is the part of the allowed exposure that the VMs use. The rest
	// is a reserve, since each VM sees only its own requests.
	usedShare = 0.7
	// proofShare is the part of the used exposure that must be enough for a
	// proof. VMs with few requests do not use all of theirs.
	proofShare = 0.8
	// unreported is the number of requests that an incarnation may have sent to the
	// version without a report before its end.
	unreported = 2
	// exposedShare is the share of requests that go to the version until the quota
	// is used up.
	exposedShare = 0.5
	// oldPerMargin is the number of requests of the old version that a proof needs,
	// times the margin.
	oldPerMargin = 5
)

// Exposure bounds the requests that reach a version before it is proven, summed
// over all VMs. The zero value allows none.
type Exposure struct {
	share float64
	slack float64
}

// NewExposure returns a bound of a share of all requests, from 0 to 1, plus slack
// requests.
func NewExposure(share, slack float64) Exposure {
	return Exposure{
		share: share,
		slack: slack,
	}
}

// Allowed returns how many requests a VM may have sent to the version, given its
// number of requests for the service so far and the number of VMs.
func (e Exposure) Allowed(requests, vms int) float64 {
	return usedShare * (e.share*float64(requests) + e.slack/float64(vms))
}

// margin returns the smallest increase of a bad rate that can be excluded with
// the requests that the live VMs may send to the version together.
func (e Exposure) margin(requests uint64, live int) float64 {
	allowed := usedShare * (e.share*float64(requests) + e.slack*float64(live)/float64(max(live, MinVMs)))
	return -math.Log(missRate) / (proofShare * allowed)
}

// shareOf returns the share of a VM's requests that go to the version until its
// quota is used up. Both versions are compared over the same time, but a share
// of less than one request would only delay the evidence.
func (e Exposure) shareOf(vms int) float64 {
	if e.slack < float64(vms) {
		return 1
	}
	return exposedShare
}

// minOld returns the number of requests of the old version that a proof with a
// margin needs: fewer for a wide margin, since the old version's rate must be
// known only in proportion to it.
func minOld(margin float64) uint64 {
	return min(minOldRequests, uint64(math.Ceil(oldPerMargin/margin)))
}

// Unknown stands for an unknown number of requests.
const Unknown = -1

// Quota counts the requests of one incarnation of a VM that may reach a version
// before it is proven. With hundreds of VMs the part of each is below 1, so it is
// rounded by a random offset: all of them together use the allowed number on
// average. It is owned by one goroutine.
type Quota struct {
	exposure Exposure
	// offset is from 0 to 1 and drawn once.
	offset   float64
	requests int
	taken    int
}

// NewQuota returns a quota without requests. The seed must be unique to the VM
// incarnation.
func NewQuota(e Exposure, seed uint64) *Quota {
	return &Quota{
		exposure: e,
		offset:   rand.New(rand.NewPCG(seed, 0x71756f74)).Float64(),
	}
}

// Resume continues the quota of the VM's incarnation before, of which the given
// number of requests to the version is known, or Unknown. It returns q.
func (q *Quota) Resume(taken int) *Quota {
	if taken == Unknown {
		q.exposure.slack = 0
		return q
	}
	q.taken = taken + unreported
	return q
}

// Count counts a request for the service.
func (q *Quota) Count() { q.requests++ }

// Free reports whether another request may be sent to the version, given the
// number of VMs.
func (q *Quota) Free(vms int) bool {
	return float64(q.taken+1) <= q.exposure.Allowed(q.requests, vms)+q.offset
}

// Take counts a request that is sent to the version.
func (q *Quota) Take() { q.taken++ }

// Return reverts Take for a request that was not sent.
func (q *Quota) Return() { q.taken-- }
