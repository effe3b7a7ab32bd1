package mover

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// evidenceRoute is the route of all rows for generations.
const evidenceRoute = "generation"

// crashBreaks is the number of connections of one response that broke before a
// token at which the version is blamed. A single one can be the crash of an
// engine.
const crashBreaks = 2

// outcome describes how one response ended, without its tokens.
type outcome struct {
	service string
	version string
	// failedVersion is the new version that failed the response before another
	// version served it, or "".
	failedVersion string
	class         string
	started       time.Time
	// first is the time to the first token and longestGap the longest time
	// between two tokens. They are zero for a response without tokens.
	first      time.Duration
	longestGap time.Duration
	total      time.Duration
	// resumed is true if the response began on another VM or connection.
	resumed   bool
	abandoned bool
	errors    int
	truncated int
	losses    int
	breaks    int
	problem   *errs.Problem
}

// Report queues the outcome of a response that ended. It never blocks the
// dispatcher, which calls it.
func (d *Duty) Report(now time.Time, r *relay.Response) {
	s := r.Stats()
	d.outcomes.Put(context.Background(), outcome{
		service:       r.Request().Service(),
		version:       r.Version(),
		failedVersion: s.FailedVersion(),
		class:         r.Request().Class().String(),
		started:       s.Started(),
		first:         s.First(),
		longestGap:    s.Gap(),
		total:         now.Sub(s.Started()),
		resumed:       r.Request().Resume() != nil,
		abandoned:     s.Abandoned(),
		errors:        s.Errors(),
		truncated:     s.Truncated(),
		losses:        s.Losses(),
		breaks:        s.Breaks(),
		problem:       s.Problem(),
	})
}

// recordOutcome adds an outcome to the evidence of its service's move.
func (d *Duty) recordOutcome(o outcome) {
	t := d.trackers[o.service]
	if t == nil || o.version != t.plan.From() && o.version != t.plan.To() {
		return
	}
	if o.failedVersion == t.plan.To() {
		// The response is late because of the failed version, so it is no
		// evidence about the version that served it.
		d.set.Count(d.key(o, o.failedVersion), move.NewOutcome(move.Errors))
		return
	}
	if r, ok := o.evaluate(t.service.Contract()); ok {
		d.set.Count(d.key(o, o.version), r)
	}
}

// key returns the key of this VM's row for a version that served o.
func (d *Duty) key(o outcome, version string) move.Key {
	return move.NewKey(d.name, d.incarnation, o.service, version, evidenceRoute, o.class, o.started)
}

// evaluate compares a response with the service's contract. ok is false for a
// response that is no evidence about its version.
func (o outcome) evaluate(c *world.Contract) (r move.Outcome, ok bool) {
	var bad []move.Metric
	failed := o.versionFailed()
	switch {
	case failed:
		bad = append(bad, move.Errors)
	case o.problem != nil:
		// The request was refused, the caller read too slowly, or no engine was
		// available before the deadline.
		return r, false
	}
	if o.truncated > 0 {
		bad = append(bad, move.Truncated)
	}
	late := o.first > c.FirstToken() || o.first == 0 && o.total > c.FirstToken()
	if late && !o.resumed {
		bad = append(bad, move.SlowFirst)
	}
	if o.longestGap > c.TokenGap() {
		bad = append(bad, move.SlowGaps)
	}
	r = move.NewOutcome(bad...)
	if o.errors == 0 && o.truncated == 0 && (o.losses > 0 || o.breaks > 0 && o.breaks < crashBreaks) {
		r = r.ByLoss()
	}
	return r, true
}

// versionFailed reports whether the version caused a failure.
func (o outcome) versionFailed() bool {
	if o.errors > 0 || o.breaks >= crashBreaks && o.losses == 0 {
		return true
	}
	if o.problem == nil {
		return false
	}
	switch o.problem.Kind() {
	case errs.Upstream, errs.Lost, errs.Internal:
		return true
	case errs.Expired:
		return o.problem.Outcome() != errs.NotRun
	default:
		return false
	}
}
