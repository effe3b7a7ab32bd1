package mover

import (
	"context"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// route is the route of all generations in the evidence.
const route = "generation"

// crashBreaks is the number of connections of one response that broke before a
// token from which a crash of engines no longer explains them.
const crashBreaks = 2

// outcome is how one response ended, without its tokens.
type outcome struct {
	service string
	version string
	// left is the version under test that failed the response before, or "".
	left    string
	class   string
	started time.Time
	// first and gap are zero for a response without tokens.
	first time.Duration
	gap   time.Duration
	total time.Duration
	// resumed responses began on another VM or connection.
	resumed   bool
	abandoned bool
	errors    int
	truncated int
	losses    int
	breaks    int
	problem   *errs.Problem
}

// Report takes a response that ended. The dispatcher calls it; it never waits.
func (d *Duty) Report(now time.Time, r *relay.Response) {
	s := r.Stats()
	d.outcomes.Put(context.Background(), outcome{
		service:   r.Request().Service(),
		version:   r.Version(),
		left:      s.Left(),
		class:     r.Request().Class().String(),
		started:   s.Started(),
		first:     s.First(),
		gap:       s.Gap(),
		total:     now.Sub(s.Started()),
		resumed:   r.Request().Resume() != nil,
		abandoned: s.Abandoned(),
		errors:    s.Errors(),
		truncated: s.Truncated(),
		losses:    s.Losses(),
		breaks:    s.Breaks(),
		problem:   s.Problem(),
	})
}

// judge adds an outcome to the evidence of its service's move.
func (d *Duty) judge(o outcome) {
	t := d.tracks[o.service]
	if t == nil || o.version != t.plan.From() && o.version != t.plan.To() {
		return
	}
	if o.left == t.plan.To() {
		// The time that it lost there says nothing of the version that served it.
		d.set.Count(d.key(o, o.left), move.NewOutcome(move.Errors))
		return
	}
	if r, ok := o.result(t.service.Contract()); ok {
		d.set.Count(d.key(o, o.version), r)
	}
}

// key returns the key of this VM's row for a version that o met.
func (d *Duty) key(o outcome, version string) move.Key {
	return move.NewKey(d.name, d.incarnation, o.service, version, route, o.class, o.started)
}

// result judges a response by its contract. ok is false for a response that
// says nothing of its version.
func (o outcome) result(c *world.Contract) (r move.Outcome, ok bool) {
	var bad []move.Metric
	failed := o.fails()
	switch {
	case failed:
		bad = append(bad, move.Errors)
	case o.problem != nil:
		// Refused, too slow a caller, or at the deadline for want of engines.
		return r, false
	}
	if o.truncated > 0 {
		bad = append(bad, move.Truncated)
	}
	late := o.first > c.FirstToken() || o.first == 0 && o.total > c.FirstToken()
	if late && !o.resumed {
		bad = append(bad, move.SlowFirst)
	}
	if o.gap > c.TokenGap() {
		bad = append(bad, move.SlowGaps)
	}
	r = move.NewOutcome(bad...)
	if o.errors == 0 && o.truncated == 0 && (o.losses > 0 || o.breaks > 0 && o.breaks < crashBreaks) {
		r = r.ByLoss()
	}
	return r, true
}

// fails reports whether the version is to blame for a failure.
func (o outcome) fails() bool {
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
