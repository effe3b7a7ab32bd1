package quota

import "time"

const (
	// burst is the number of requests that may be sent at once after a pause.
	burst = 2
	// maxDebt is the number of requests by which a VM may be ahead of its rate.
	// Requests about runs under way are not withheld, but delay others.
	maxDebt = 2
	// lapseTime is how long a VM that is no member may use a place before the place
	// lapses. If such VMs saved their places, a burst would use all of them at once.
	lapseTime = time.Second
)

// Pacer paces requests to a constant rate, by the generic cell rate algorithm. The
// zero Pacer has no rate and must not be used. It is not safe for concurrent use.
type Pacer struct {
	// interval is the time between two requests at the rate.
	interval time.Duration
	// next is the time at which all requests so far are within the rate.
	next time.Time
	// member is false if places lapse.
	member bool
}

// NewPacer returns a pacer of a VM that has just learned of a limit. A member may send
// one request at once. phase is a random number in [0, 1) that keeps VMs from sending
// together.
func NewPacer(now time.Time, rate float64, member bool, phase float64) Pacer {
	p := Pacer{
		interval: interval(rate),
		member:   member,
	}
	if !member {
		phase += burst - 1
	}
	p.next = now.Add(time.Duration(phase * float64(p.interval)))
	return p
}

// interval returns the time between two requests at a rate in requests a second, at
// most a day.
func interval(rate float64) time.Duration {
	return time.Duration(min(1/rate, 86400) * float64(time.Second))
}

// SetRate changes the rate. Requests that were sent ahead of the former rate count as
// many at the new one.
func (p *Pacer) SetRate(now time.Time, rate float64, member bool) {
	p.lapse(now)
	fresh := interval(rate)
	if ahead := p.next.Sub(now); ahead > 0 {
		p.next = now.Add(time.Duration(float64(ahead) / float64(p.interval) * float64(fresh)))
	}
	p.interval, p.member = fresh, member
}

// lapse gives up the places that a VM that is no member has not used in time. Those
// of rates beyond one in lapseTime stay.
func (p *Pacer) lapse(now time.Time) {
	if p.member || p.interval <= lapseTime {
		return
	}
	place := p.next.Add(-(burst - 1) * p.interval)
	if late := now.Sub(place) - lapseTime; late > 0 {
		p.next = p.next.Add((late + p.interval - 1) / p.interval * p.interval)
	}
}

// AvailableAt returns the earliest time at which a request may be sent that leaves
// others requests for more urgent ones. A negative number lets it be sent ahead of the
// rate.
func (p *Pacer) AvailableAt(now time.Time, others int) time.Time {
	p.lapse(now)
	return p.next.Add(-time.Duration(burst-1-others) * p.interval)
}

// Take counts a request, which may be one that is sent later.
func (p *Pacer) Take(now time.Time) {
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.interval)
}

// TakeAhead counts a request that is sent whether the rate allows it or not. It delays
// others by maxDebt requests at most.
func (p *Pacer) TakeAhead(now time.Time) {
	before := p.next
	p.Take(now)
	if latest := now.Add((burst + maxDebt) * p.interval); p.next.After(latest) {
		p.next = before
	}
}
