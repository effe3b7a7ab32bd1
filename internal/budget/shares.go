package budget

import "time"

// Limits bounds the extra attempts of all VMs together, that is retries and hedges, for
// each service.
type Limits struct {
	ratio float64
	slack float64
	span  time.Duration
}

// NewLimits returns a limit of ratio extra attempts per first attempt, plus slack extra
// attempts, within any period of the length span.
func NewLimits(ratio, slack float64, span time.Duration) Limits {
	return Limits{
		ratio: ratio,
		slack: slack,
		span:  span,
	}
}

// Shares holds one VM's shares of the limits of all services. It is not safe for
// concurrent use.
type Shares struct {
	limits Limits
	// vms is the number of VMs that share the slack.
	vms     int
	windows map[string]*Window
}

// NewShares returns the shares of one of a number of VMs.
func NewShares(l Limits, vms int) *Shares {
	return &Shares{
		limits:  l,
		vms:     vms,
		windows: make(map[string]*Window),
	}
}

// Of returns the share of a service.
func (s *Shares) Of(service string) *Window {
	w := s.windows[service]
	if w == nil {
		w = NewWindow(s.limits.ratio, s.slack(), s.limits.span)
		s.windows[service] = w
	}
	return w
}

// SetVMs sets the number of VMs that share the slack.
func (s *Shares) SetVMs(vms int) {
	s.vms = vms
	for _, w := range s.windows {
		w.SetSlack(s.slack())
	}
}

// slack returns this VM's part of the slack.
func (s *Shares) slack() float64 { return s.limits.slack / float64(s.vms) }
