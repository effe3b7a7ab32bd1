package hedge

import (
	"time"

	"clementinelink.example/clementinelink/internal/budget"
)

const (
	// span is the period over which the limit holds.
	span = 10 * time.Second
	// viewLag is how old a VM's number of VMs may be. Enrolment, the store and the feed
	// between VMs take under 2 s; the rest covers a short outage of the store.
	viewLag = 10 * time.Second
	// settleTime is the time for which the hedges and numbers of VMs before a change
	// still matter. See share.
	settleTime = span + viewLag
)

// Limit bounds the hedges of all VMs together for each service in any 10 s. The zero
// value sets no limit.
type Limit struct {
	ratio float64
	burst float64
	set   bool
}

// NewLimit returns a limit of ratio hedges for each first attempt, from 0 to 1, plus burst
// hedges. 0 for both turns hedging off.
func NewLimit(ratio float64, burst int) Limit {
	return Limit{
		ratio: ratio,
		burst: float64(burst),
		set:   true,
	}
}

// off reports whether no hedge is allowed.
func (l Limit) off() bool { return l.set && l.ratio == 0 && l.burst == 0 }

// view is a number of VMs that was in force until a time.
type view struct {
	vms   int
	until time.Time
}

// shares holds one VM's shares of the limits of all services.
type shares struct {
	limit Limit
	// least is the smallest number of VMs among which the burst is divided.
	least int
	// startedAt is the time of the first call.
	startedAt time.Time
	vms       int
	// earlier holds larger numbers of VMs that were in force within settleTime, in order
	// of time and so of decreasing number.
	earlier []view
	windows map[string]*budget.Window
}

func newShares(l Limit, least int) *shares {
	return &shares{
		limit:   l,
		least:   least,
		windows: make(map[string]*budget.Window),
	}
}

// start records the time of the first call.
func (s *shares) start(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
}

// setVMs sets the number of enrolled VMs.
func (s *shares) setVMs(now time.Time, vms int) {
	s.start(now)
	if vms < s.vms {
		s.earlier = append(s.earlier, view{
			vms:   s.vms,
			until: now,
		})
	}
	for len(s.earlier) > 0 && s.earlier[len(s.earlier)-1].vms <= vms {
		s.earlier = s.earlier[:len(s.earlier)-1]
	}
	s.vms = vms
}

// share returns this VM's part of the burst. It is 0 until settleTime after the start, when
// the other VMs have known of this one for a whole span. The divisor is one more than the
// largest number of VMs within settleTime. All VMs that use a part of the burst within one
// span were therefore enrolled together viewLag before it began, and each divides by their
// number at least, as long as no number is older than viewLag or too small by more than one.
func (s *shares) share(now time.Time) float64 {
	s.start(now)
	if now.Sub(s.startedAt) < settleTime {
		return 0
	}
	for len(s.earlier) > 0 && now.Sub(s.earlier[0].until) > settleTime {
		s.earlier = s.earlier[1:]
	}
	vms := s.vms
	if len(s.earlier) > 0 {
		vms = s.earlier[0].vms
	}
	return s.limit.burst / float64(max(vms+1, s.least))
}

// of returns the window of a service with this VM's present share of the burst.
func (s *shares) of(now time.Time, service string) *budget.Window {
	w := s.windows[service]
	if w == nil {
		w = budget.NewWindow(s.limit.ratio, 0, span)
		s.windows[service] = w
	}
	w.SetSlack(s.share(now))
	return w
}
