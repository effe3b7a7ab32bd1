// Package heard keeps what the answers to queries tell about the paths from a VM to its
// upstreams. An upstream that does not answer is dead only if others on its path do: a
// busy or broken link silences all of them.
package heard

import "time"

// Paths records which regions answer, and which upstreams are silent without being
// taken for dead. It is not safe for concurrent use.
type Paths struct {
	// timeout is the timeout of a query while something is heard, and maxTimeout the
	// longest one.
	timeout    time.Duration
	maxTimeout time.Duration
	// answered holds the latest start of a query that an upstream of the region
	// answered.
	answered map[string]time.Time
	// silences counts the queries in a row that an upstream did not answer, by its id.
	silences map[string]int
	// unheard counts the rounds of queries without an answer of any upstream, of which
	// the latest ended at unheardAt.
	unheard   int
	unheardAt time.Time
}

// NewPaths returns an empty record. The timeout of queries grows up to maxTimeout while
// nothing is heard.
func NewPaths(timeout, maxTimeout time.Duration) *Paths {
	return &Paths{
		timeout:    timeout,
		maxTimeout: maxTimeout,
		answered:   make(map[string]time.Time),
		silences:   make(map[string]int),
	}
}

// Answered records the answer to a query that began at a time. id and region are those
// of the upstream, or "" if it is not known any more.
func (p *Paths) Answered(id, region string, began time.Time) {
	p.unheard = 0
	if id == "" {
		return
	}
	delete(p.silences, id)
	if began.After(p.answered[region]) {
		p.answered[region] = began
	}
}

// Silent records that an upstream did not answer a query. Queries that began together
// belong to one round.
func (p *Paths) Silent(now time.Time, id string) {
	p.silences[id]++
	if now.Sub(p.unheardAt) >= p.timeout/2 {
		p.unheard++
		p.unheardAt = now
	}
}

// Forget drops the silences of an upstream.
func (p *Paths) Forget(id string) { delete(p.silences, id) }

// WasSilent reports whether the upstream did not answer its latest query.
func (p *Paths) WasSilent(id string) bool { return p.silences[id] > 0 }

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
