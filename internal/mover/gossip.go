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
	// freshFor is how long a changed row is told to peers first. With one
	// random peer a second each row goes out several times.
	freshFor = 10 * time.Second
	// fill is the number of older rows in one snapshot, so that a restarted VM
	// gets them too.
	fill = 64
	// ahead is how far the clock of a peer may be ahead.
	ahead = 5 * time.Minute
)

// gossip chooses the rows that peers get.
type gossip struct {
	// recent maps the changed rows to the end of their priority.
	recent map[move.Key]time.Time
	// all holds every row in the order of its first change.
	all  []move.Key
	seen map[move.Key]bool
	// next is the position in all of the next older row to tell.
	next int
	// swept is when old rows were last removed.
	swept time.Time
}

func newGossip() gossip {
	return gossip{
		recent: make(map[move.Key]time.Time),
		seen:   make(map[move.Key]bool),
	}
}

// rows returns the rows for the next second, changed ones first.
func (g *gossip) rows(now time.Time, set *move.Set) []move.Key {
	for _, k := range set.TakeChanged(math.MaxInt) {
		g.recent[k] = now.Add(freshFor)
		if !g.seen[k] {
			g.seen[k] = true
			g.all = append(g.all, k)
		}
	}
	keys := make([]move.Key, 0, len(g.recent)+fill)
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
	for range min(fill, len(g.all)) {
		k := g.all[g.next%len(g.all)]
		g.next++
		if _, ok := g.recent[k]; !ok {
			keys = append(keys, k)
		}
	}
	return keys
}

// sweep forgets the rows before a time, at most once a minute.
func (g *gossip) sweep(now, before time.Time, set *move.Set) {
	if now.Sub(g.swept) < time.Minute {
		return
	}
	g.swept = now
	set.Forget(before)
	g.all = slices.DeleteFunc(g.all, func(k move.Key) bool {
		old := k.Minute() < before.Unix()/60
		if old {
			delete(g.seen, k)
			delete(g.recent, k)
		}
		return old
	})
}

// publish makes the snapshots that other goroutines read.
func (d *Duty) publish(now time.Time) {
	oldest := now
	var verdicts []*wire.Verdict
	statuses := make([]move.Status, 0, len(d.tracks))
	for _, service := range d.services() {
		t := d.tracks[service]
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
		evidence = append(evidence, encode(k, d.set.Get(k)))
	}
	d.evidence.Store(&evidence)
	d.verdicts.Store(&verdicts)
	d.statuses.Store(&statuses)
}

// verdict returns what peers get to know of a move, or nil.
func (t *track) verdict() *wire.Verdict {
	v := &wire.Verdict{
		Move:   t.key,
		State:  t.record.State().String(),
		Reason: t.record.Reason(),
	}
	switch {
	case t.failed != "":
		v.State = move.RolledBack.String()
		v.Reason = t.failed
	case t.record.State() == move.Running:
		return nil
	}
	return v
}

// Evidence returns up to limit rows for a peer; calls one after the other go
// through all rows. The caller must not change them.
func (d *Duty) Evidence(limit int) []*wire.Evidence {
	p := d.evidence.Load()
	if p == nil || len(*p) == 0 || limit <= 0 {
		return nil
	}
	rows := *p
	n := min(limit, len(rows))
	from := int((d.turn.Add(uint64(n)) - uint64(n)) % uint64(len(rows)))
	out := make([]*wire.Evidence, 0, n)
	for i := range n {
		out = append(out, rows[(from+i)%len(rows)])
	}
	return out
}

// Verdicts returns the verdicts for a peer. The caller must not change them.
func (d *Duty) Verdicts() []*wire.Verdict {
	if p := d.verdicts.Load(); p != nil {
		return *p
	}
	return nil
}

// TakeEvidence passes on the rows of a peer.
func (d *Duty) TakeEvidence(rows []*wire.Evidence) {
	if len(rows) > 0 {
		d.news.Put(context.Background(), news{evidence: rows})
	}
}

// TakeVerdicts passes on the verdicts of a peer.
func (d *Duty) TakeVerdicts(verdicts []*wire.Verdict) {
	if len(verdicts) > 0 {
		d.news.Put(context.Background(), news{verdicts: verdicts})
	}
}

// hear merges what a peer told. Rows of unknown moves and impossible times are
// dropped, which bounds the memory.
func (d *Duty) hear(n news) {
	now := d.now()
	for _, e := range n.evidence {
		t := d.tracks[e.GetService()]
		if t == nil || e.GetVersion() != t.plan.From() && e.GetVersion() != t.plan.To() {
			continue
		}
		at := time.Unix(e.GetMinute()*60, 0)
		if at.Before(t.plan.Start().Add(-time.Minute)) || at.After(now.Add(ahead)) {
			continue
		}
		k := move.NewKey(e.GetVm(), e.GetIncarnation(), e.GetService(), e.GetVersion(), e.GetRoute(), e.GetClass(), at)
		d.set.Merge(k, move.NewCounts(e.GetRequests(), e.GetErrors(), e.GetTruncated(), e.GetSlowFirst(), e.GetSlowGaps()))
	}
	for _, v := range n.verdicts {
		for _, t := range d.tracks {
			if t.key == v.GetMove() {
				t.hear(now, v)
			}
		}
	}
}

// hear takes the verdict of a peer. One of failure always counts; that the
// move is done only stands in for a record that can't be read.
func (t *track) hear(now time.Time, v *wire.Verdict) {
	state, err := move.ParseState(v.GetState())
	switch {
	case err != nil || state == move.Running:
	case state == move.RolledBack && t.failed == "":
		t.failed = cmp.Or(v.GetReason(), "verdict of a peer")
		t.known = true
		t.duty.decide("told", t).Str("reason", t.failed).Msg("move: A peer calls the version bad.")
	case state == move.Done && t.record.State() == move.Running:
		t.known = true
		t.record = move.NewRecord(move.Done, now, v.GetReason())
		t.next = now
		t.duty.decide("told", t).Msg("move: A peer says that the move is done.")
	}
}

func encode(k move.Key, c move.Counts) *wire.Evidence {
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
