package heard

import (
	"slices"
	"time"
)

const (
	// domainWindow is the longest pause between failures of upstreams of one failure domain
	// that are attributed to one failure of the domain.
	domainWindow = 2 * time.Second
	// domainThreshold is the number of failed upstreams from which the domain counts as
	// failed.
	domainThreshold = 2
)

// Domains holds the recent failures of upstreams by failure domain. It is not safe for
// concurrent use.
type Domains struct {
	failures map[string]*domainFailures
}

// domainFailures holds the recent failures in one failure domain.
type domainFailures struct {
	began time.Time
	last  time.Time
	ids   []string
}

// NewDomains returns a record without failures.
func NewDomains() *Domains {
	return &Domains{
		failures: make(map[string]*domainFailures),
	}
}

// Fail records that an upstream of a failure domain does not answer.
func (d *Domains) Fail(now time.Time, domain, id string) {
	w := d.failures[domain]
	if w == nil || now.Sub(w.last) > domainWindow {
		w = &domainFailures{
			began: now,
		}
		d.failures[domain] = w
	}
	w.last = now
	if !slices.Contains(w.ids, id) {
		w.ids = append(w.ids, id)
	}
}

// FailedSince returns when the domain failed, and whether it has failed recently.
func (d *Domains) FailedSince(now time.Time, domain string) (time.Time, bool) {
	w := d.failures[domain]
	if w == nil || len(w.ids) < domainThreshold || now.Sub(w.last) > domainWindow {
		return time.Time{}, false
	}
	return w.began, true
}

// Copy returns an independent copy.
func (d *Domains) Copy() *Domains {
	c := NewDomains()
	for domain, w := range d.failures {
		copied := *w
		copied.ids = slices.Clone(w.ids)
		c.failures[domain] = &copied
	}
	return c
}
