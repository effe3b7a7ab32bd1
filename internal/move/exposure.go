package move

import "math"

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
	perVM := e.Allowed(int(requests)/live, max(live, MinVMs))
	return -math.Log(missRate) / (proofShare * perVM * float64(live))
}
