package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/origin"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
)

// evidence is the stored form of what one VM has observed of a move.
type evidence struct {
	// Revision is the earliest known position of the order that the evidence belongs
	// to, and Again the latest one if that is another, since a restoration of the store
	// has changed it.
	Revision uint64 `json:"revision"`
	Again    uint64 `json:"again,omitempty"`
	// ElapsedMs is the time since the VM received the order, in milliseconds.
	ElapsedMs int64 `json:"elapsed"`
	// OldInFlight is 0 once the VM has no requests in flight at the old version
	// and sends none there, and -1 until then.
	OldInFlight int           `json:"left"`
	Rows        []evidenceRow `json:"rows"`
}

// evidenceRow counts the outcomes of one route in one minute, for the new or
// the old version. Minute is in Unix minutes. Upstream is set only in rows of slow
// requests.
type evidenceRow struct {
	NewVersion bool   `json:"fresh"`
	Route      string `json:"route"`
	Upstream   string `json:"upstream,omitempty"`
	Minute     int64  `json:"minute"`
	Requests   uint64 `json:"requests"`
	Errors     uint64 `json:"errors"`
	Truncated  uint64 `json:"cut"`
	SlowFirst  uint64 `json:"slow"`
}

// applyEvidence applies another VM's evidence, or that of this VM's earlier
// incarnation. Evidence of an unknown move or of an earlier order is ignored.
func (m *mover) applyEvidence(rest string, e store.Entry) {
	service, vm, _ := strings.Cut(rest, "/")
	t := m.moves[service]
	if t == nil || vm == m.name && len(t.ownKeys) > 0 {
		return
	}
	var ev evidence
	if err := json.Unmarshal(e.Value(), &ev); err != nil {
		m.log.Warn().Err(err).Str("key", e.Key()).Msg("move: Invalid evidence.")
		return
	}
	if !ev.isOf(t.origin) {
		return
	}
	if vm == m.name {
		t.takenBefore = 0
	} else {
		t.others[vm] = ev
	}
	for _, r := range ev.Rows {
		k := t.statsKey(vm, r.NewVersion, r.Route, time.Unix(r.Minute*60, 0)).WithEngine(r.Upstream)
		t.set.Merge(k, move.NewCounts(r.Requests, r.Errors, r.Truncated, r.SlowFirst, 0))
		if vm == m.name {
			// The VM was restarted during the move and goes on counting, since the
			// others keep the largest counts.
			t.ownKeys[k] = true
			if r.NewVersion {
				t.takenBefore += int(r.Requests)
			}
		}
	}
}

// isOf reports whether the evidence belongs to an order.
func (ev *evidence) isOf(o *origin.Origin) bool {
	return o.Matches(ev.Revision, cmp.Or(ev.Again, ev.Revision))
}

// elapsed returns the longest time since an order that the evidence in a change
// states. A VM that starts during a move would otherwise take its own start for
// that of the move, and end it too late.
func (m *mover) elapsed(c *follow.Change, service string, revision uint64) time.Duration {
	longest, order := int64(0), origin.New(m.now(), revision, true)
	for _, e := range c.Put() {
		if !strings.HasPrefix(e.Key(), evidencePrefix+service+"/") {
			continue
		}
		var ev evidence
		// Invalid evidence is logged by applyEvidence.
		if err := json.Unmarshal(e.Value(), &ev); err == nil && ev.isOf(order) {
			longest = max(longest, ev.ElapsedMs)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// statsKey returns the key under which vm's outcomes of a route in the minute
// of at are counted, for the new version or the old one.
func (t *trackedMove) statsKey(vm string, isNew bool, route string, at time.Time) move.Key {
	version := oldVersion
	if isNew {
		version = t.order.Target()
	}
	return move.NewKey(vm, 1, t.order.Service(), version, route, "", at)
}

// publish writes this VM's evidence if it has changed or the move is done, at
// most once per writeInterval and until one minute after the move's deadline.
func (m *mover) publish(ctx context.Context, now time.Time, t *trackedMove) {
	left := -1
	if t.limits.Done() {
		if n, ok := m.oldInFlight[t.order.Service()]; ok && n == 0 {
			left = 0
		}
		t.dirty = true
	}
	if !t.dirty || now.Sub(t.publishedAt) < writeInterval || now.After(t.plan.Deadline().Add(time.Minute)) {
		return
	}
	ev := evidence{
		Revision:    t.origin.First(),
		OldInFlight: left,
	}
	if latest := t.origin.Latest(); latest != ev.Revision {
		ev.Again = latest
	}
	for k := range t.ownKeys {
		c := t.set.Get(k)
		ev.Rows = append(ev.Rows, evidenceRow{
			NewVersion: k.Version() == t.order.Target(),
			Route:      k.Route(),
			Upstream:   k.Engine(),
			Minute:     k.Minute(),
			Requests:   c.Requests(),
			Errors:     c.Bad(move.Errors),
			Truncated:  c.Bad(move.Truncated),
			SlowFirst:  c.Bad(move.SlowFirst),
		})
	}
	slices.SortFunc(ev.Rows, func(a, b evidenceRow) int {
		return cmp.Or(cmp.Compare(a.Minute, b.Minute), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Upstream, b.Upstream), compareBool(a.NewVersion, b.NewVersion))
	})
	value, err := json.Marshal(ev)
	if err != nil {
		m.log.Error().Err(err).Msg("move: Encoding evidence failed.")
		return
	}
	if string(value) == t.published {
		t.dirty = false
		return
	}
	ev.ElapsedMs = now.Sub(t.plan.Start()).Milliseconds()
	stored, err := json.Marshal(ev)
	if err != nil {
		m.log.Error().Err(err).Msg("move: Encoding evidence failed.")
		return
	}
	if m.write(ctx, now, t, evidencePrefix+t.order.Service()+"/"+m.name, stored, 0) {
		if t.evidenceLost {
			t.evidenceLost = false
			m.log.Info().Str("service", t.order.Service()).Msg("move: The evidence is written again.")
			m.rewritten("evidence")
		}
		t.publishedAt, t.dirty, t.published = now, false, string(value)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// write starts a conditional write once this VM's turn has come, and reports
// whether it did. VMs take turns in the order of their names, delay apart. The
// result arrives as a storeUpdate, and the new value through the follower.
func (m *mover) write(ctx context.Context, now time.Time, t *trackedMove, key string, value []byte, delay time.Duration) bool {
	if at, ok := t.sentAt[key]; ok && now.Sub(at) < writeInterval {
		return false
	}
	if t.wantedSince[key].IsZero() {
		t.wantedSince[key] = now
	}
	turn := max(slices.Index(m.peers, m.name), 0)
	if now.Sub(t.wantedSince[key]) < m.pace.Wait(now, key, turn, len(m.peers), delay) {
		return false
	}
	delete(t.wantedSince, key)
	t.sentAt[key] = now
	service, expect := t.order.Service(), m.revisions[key]
	m.put(ctx, key, value, expect, func(revision uint64, err error) {
		if errors.Is(err, store.ErrConflict) {
			// Another VM wrote the key first; its value arrives through the
			// follower.
			err = nil
		}
		m.updates.Put(ctx, storeUpdate{
			result: &writeResult{
				service:  service,
				key:      key,
				revision: revision,
				err:      err,
			},
		})
	})
	return true
}
