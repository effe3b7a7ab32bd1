package mover

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/wire"
)

const (
	// recentTime is how long a changed row takes precedence over older ones.
	// With one random peer per second, each row is sent several times.
	recentTime = 10 * time.Second
	// olderRows is the number of older rows in one snapshot, so that a
	// restarted VM gets them too.
	olderRows = 64
	// maxClockAhead is how far the clock of a peer may be ahead.
	maxClockAhead = 5 * time.Minute
)

// gossip selects the rows of evidence to send to peers.
type gossip struct {
	// recent maps the changed rows to the end of their precedence.
	recent map[move.Key]time.Time
	// keys holds every row in the order of its first change.
	keys  []move.Key
	known map[move.Key]bool
	// next is the index in keys of the next older row to send, modulo its
	// length.
	next int
	// sweptAt is when old rows were last removed.
	sweptAt time.Time
}

func newGossip() gossip {
	return gossip{
		recent: make(map[move.Key]time.Time),
		known:  make(map[move.Key]bool),
	}
}

// rows returns the rows of the next snapshot, recently changed ones first.
func (g *gossip) rows(now time.Time, set *move.EvidenceSet) []move.Key {
	for _, k := range set.TakeChanged(math.MaxInt) {
		g.recent[k] = now.Add(recentTime)
		if !g.known[k] {
			g.known[k] = true
			g.keys = append(g.keys, k)
		}
	}
	keys := make([]move.Key, 0, len(g.recent)+olderRows)
	for k, until := range g.recent {
		if now.After(until) {
			delete(g.recent, k)
			continue
		}
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b move.Key) int {
		return cmp.Or(cmp.Compare(b.Minute(), a.Minute()), cmp.Compare(a.VM(), b.VM()), cmp.Compare(a.Version(), b.Version()))
	})
	for range min(olderRows, len(g.keys)) {
		k := g.keys[g.next%len(g.keys)]
		g.next++
		if _, ok := g.recent[k]; !ok {
			keys = append(keys, k)
		}
	}
	return keys
}

// sweep removes the rows before a time, at most once per minute.
func (g *gossip) sweep(now, before time.Time, set *move.EvidenceSet) {
	if now.Sub(g.sweptAt) < time.Minute {
		return
	}
	g.sweptAt = now
	set.Forget(before)
	g.keys = slices.DeleteFunc(g.keys, func(k move.Key) bool {
		old := k.Minute() < before.Unix()/60
		if old {
			delete(g.known, k)
			delete(g.recent, k)
		}
		return old
	})
}

// publish replaces the snapshots of evidence, verdicts and statuses, which other
// goroutines read.
func (d *Duty) publish(now time.Time) {
	oldest := now
	var verdicts []*wire.Verdict
	statuses := make([]move.Status, 0, len(d.trackers))
	for _, service := range d.services() {
		t := d.trackers[service]
		if t.plan.Start().Before(oldest) {
			oldest = t.plan.Start()
		}
		statuses = append(statuses, t.controller.Status())
		if v := t.verdict(); v != nil {
			verdicts = append(verdicts, v)
		}
	}
	d.gossip.sweep(now, oldest.Add(-time.Minute), d.set)
	rows := d.gossip.rows(now, d.set)
	evidence := make([]*wire.Evidence, 0, len(rows))
	for _, k := range rows {
		evidence = append(evidence, encodeEvidence(k, d.set.Get(k)))
	}
	d.evidence.Store(&evidence)
	d.verdicts.Store(&verdicts)
	d.statuses.Store(&statuses)
}

// verdict returns the result of the move to send to peers, or nil while it runs.
func (t *moveTracker) verdict() *wire.Verdict {
	v := &wire.Verdict{
		Move:   t.key,
		State:  t.record.State().String(),
		Reason: t.record.Reason(),
	}
	switch {
	case t.failure != "":
		v.State = move.RolledBack.String()
		v.Reason = t.failure
	case t.record.State() == move.Running:
		return nil
	}
	return v
}

// Evidence returns up to limit rows for a peer. Successive calls cycle through all
// rows. The caller must not modify them.
func (d *Duty) Evidence(limit int) []*wire.Evidence {
	p := d.evidence.Load()
	if p == nil || len(*p) == 0 || limit <= 0 {
		return nil
	}
	rows := *p
	n := min(limit, len(rows))
	from := int((d.evidenceOffset.Add(uint64(n)) - uint64(n)) % uint64(len(rows)))
	out := make([]*wire.Evidence, 0, n)
	for i := range n {
		out = append(out, rows[(from+i)%len(rows)])
	}
	return out
}

// Verdicts returns the verdicts for a peer. The caller must not modify them.
func (d *Duty) Verdicts() []*wire.Verdict {
	if p := d.verdicts.Load(); p != nil {
		return *p
	}
	return nil
}

// TakeEvidence queues the rows that a peer sent.
func (d *Duty) TakeEvidence(rows []*wire.Evidence) {
	if len(rows) > 0 {
		d.updates.Put(context.Background(), peerUpdate{evidence: rows})
	}
}

// TakeVerdicts queues the verdicts that a peer sent.
func (d *Duty) TakeVerdicts(verdicts []*wire.Verdict) {
	if len(verdicts) > 0 {
		d.updates.Put(context.Background(), peerUpdate{verdicts: verdicts})
	}
}

// mergeUpdate merges the evidence and applies the verdicts of a peer. Rows of
// unknown moves or implausible times are dropped, which bounds the memory.
func (d *Duty) mergeUpdate(n peerUpdate) {
	now := d.now()
	for _, e := range n.evidence {
		t := d.trackers[e.GetService()]
		if t == nil || e.GetVersion() != t.plan.From() && e.GetVersion() != t.plan.To() {
			continue
		}
		at := time.Unix(e.GetMinute()*60, 0)
		if at.Before(t.plan.Start().Add(-time.Minute)) || at.After(now.Add(maxClockAhead)) {
			continue
		}
		k := move.NewKey(e.GetVm(), e.GetIncarnation(), e.GetService(), e.GetVersion(), e.GetRoute(), e.GetClass(), at)
		d.set.Merge(k, move.NewCounts(e.GetRequests(), e.GetErrors(), e.GetTruncated(), e.GetSlowFirst(), e.GetSlowGaps()))
	}
	for _, v := range n.verdicts {
		for _, t := range d.trackers {
			if t.key == v.GetMove() {
				t.applyVerdict(now, v)
			}
		}
	}
}

// applyVerdict applies the verdict of a peer. A failure always counts. A verdict
// that the move is done only replaces a record that is still running, such as
// when the store can't be read.
func (t *moveTracker) applyVerdict(now time.Time, v *wire.Verdict) {
	state, err := move.ParseState(v.GetState())
	switch {
	case err != nil || state == move.Running:
	case state == move.RolledBack && t.failure == "":
		t.failure = cmp.Or(v.GetReason(), "verdict of a peer")
		t.recordKnown = true
		t.duty.logDecision("told", t).Str("reason", t.failure).Msg("move: A peer reported that the new version failed.")
	case state == move.Done && t.record.State() == move.Running:
		t.recordKnown = true
		t.record = move.NewRecord(move.Done, now, v.GetReason())
		t.nextRead = now
		t.duty.logDecision("told", t).Msg("move: A peer reported that the move is done.")
	}
}

func encodeEvidence(k move.Key, c move.Counts) *wire.Evidence {
	return &wire.Evidence{
		Vm:          k.VM(),
		Incarnation: k.Incarnation(),
		Service:     k.Service(),
		Version:     k.Version(),
		Route:       k.Route(),
		Class:       k.Class(),
		Minute:      k.Minute(),
		Requests:    c.Requests(),
		Errors:      c.Bad(move.Errors),
		Truncated:   c.Bad(move.Truncated),
		SlowFirst:   c.Bad(move.SlowFirst),
		SlowGaps:    c.Bad(move.SlowGaps),
	}
}
