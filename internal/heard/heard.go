// Package heard keeps what the answers to queries tell about the paths from a VM to its
// upstreams. An upstream that does not answer is dead only if others on its path do: a
// busy or broken link silences all of them.
package heard

import "time"

// RegionLoss is the time for which all asked upstreams of a region must be silent until
// the region counts as lost. A configuration of 500 KB filled a link between regions for
// 1.6 s, and after a loss output has to go on within 4 s.
const RegionLoss = 2500 * time.Millisecond

// Paths records which regions answer and which are silent. It is not safe for concurrent use.
type Paths struct {
	// timeout is the timeout of a query while something is heard, and maxTimeout the
	// longest one.
	timeout    time.Duration
	maxTimeout time.Duration
	// answered holds the latest start of a query that an upstream of the region
	// answered.
	answered map[string]time.Time
	// silent holds the silence of each region since the latest answer of one of its
	// upstreams.
	silent map[string]silence
	// unheard counts the rounds of queries without an answer of any upstream, of which
	// the latest ended at unheardAt.
	unheard   int
	unheardAt time.Time
}

// silence is a time in which queries were asked and not answered.
type silence struct {
	since  time.Time
	latest time.Time
}

// NewPaths returns an empty record. The timeout of queries grows up to maxTimeout while
// nothing is heard.
func NewPaths(timeout, maxTimeout time.Duration) *Paths {
	return &Paths{
		timeout:    timeout,
		maxTimeout: maxTimeout,
		answered:   make(map[string]time.Time),
		silent:     make(map[string]silence),
	}
}

// Answered records the answer to a query that began at a time. id and region are those
// of the upstream, or "" if it is not known any more.
func (p *Paths) Answered(id, region string, began time.Time) {
	p.unheard = 0
	if id == "" {
		return
	}
	delete(p.silent, region)
	if began.After(p.answered[region]) {
		p.answered[region] = began
	}
}

// Silent records that an upstream of a region did not answer a query. Queries that began
// together belong to one round.
func (p *Paths) Silent(now time.Time, region string) {
	// Without queries for longer than the longest timeout, nothing is known of the time
	// between two silences.
	s, ok := p.silent[region]
	if !ok || now.Sub(s.latest) > 2*p.maxTimeout {
		s.since = now
	}
	s.latest = now
	p.silent[region] = s
	if now.Sub(p.unheardAt) >= p.timeout/2 {
		p.unheard++
		p.unheardAt = now
	}
}

// Witnesses tells which other upstreams could show whether an upstream or the path to it
// is silent.
type Witnesses struct {
	// Beside is true if the upstream's region has another failure domain, and Anywhere
	// if there is any other upstream.
	Beside   bool
	Anywhere bool
}

// AtFault reports whether the silence of an upstream of a region to a query that began at a
// time is its own, and not that of the path to it. It is its own if
//   - another one of its region answered a query that began no earlier, or
//   - one of any region did, and its region has no other failure domain or has been silent
//     for RegionLoss, or
//   - there is no other upstream.
//
// Until RegionLoss a busy link is as likely, over which the close of a connection comes too
// late to end a run before another one begins.
func (p *Paths) AtFault(now time.Time, region string, began time.Time, w Witnesses) bool {
	if !p.answered[region].Before(began) {
		return true
	}
	s, silent := p.silent[region]
	if w.Beside && (!silent || now.Sub(s.since) < RegionLoss) {
		return false
	}
	return !p.Latest().Before(began) || !w.Anywhere
}

// Region returns the latest start of a query that an upstream of the region answered.
func (p *Paths) Region(region string) time.Time { return p.answered[region] }

// Latest returns the latest start of a query that any upstream answered.
func (p *Paths) Latest() time.Time {
	var t time.Time
	for _, u := range p.answered {
		if u.After(t) {
			t = u
		}
	}
	return t
}

// Timeout returns the timeout of a query.
func (p *Paths) Timeout() time.Duration {
	t := p.timeout
	for range p.unheard - 1 {
		t = min(2*t, p.maxTimeout)
	}
	return t
}
