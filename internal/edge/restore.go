package edge

import (
	"context"
	"encoding/json"
	"time"

	"clementinelink.example/clementinelink/internal/follow"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/origin"
	"clementinelink.example/clementinelink/internal/store"
)

// restore prepares for a change that has all keys of a restored store. What the change
// lacks of the moves is written again; what it has is applied afterwards.
func (m *mover) restore(c *follow.Change) {
	m.pace.Restored(m.now(), m.revisions)
	clear(m.revisions)
	listed := make(map[string]store.Entry, len(c.Put()))
	for _, e := range c.Put() {
		listed[e.Key()] = e
		m.era = max(m.era, store.Era(e.Revision()))
	}
	for service, t := range m.moves {
		m.unsettle(t)
		if len(t.ownKeys) > 0 && !t.wrote(listed[evidencePrefix+service+"/"+m.name]) {
			t.dirty, t.published, t.evidenceLost = true, "", true
		}
	}
}

// unsettle assumes that the store lacks the record and the status of a move.
func (m *mover) unsettle(t *trackedMove) {
	t.statusLost = t.statusLost || t.reportedStatus != ""
	t.reportedStatus = ""
	clear(t.wantedSince)
	t.recordLost = t.record.State() != move.Running || t.record.Stage() > 0
}

// adopt reports whether an order is the one of the move at a later position of the
// store, since the store was restored. The move goes on, or remains ended. Its record and
// status must be later than the order, or VMs that start take them for those of another
// move.
func (m *mover) adopt(t *trackedMove, o *origin.Order, revision uint64) bool {
	if *t.order != *o || !t.origin.Adopt(m.now(), revision) {
		return false
	}
	m.unsettle(t)
	m.log.Info().Str("service", o.Service()).Str("target", o.Target()).Str("revision", store.Text(revision)).Bool("ended", t.ended).Msg("move: The order stands at another revision.")
	return true
}

// writeRecord writes the record again if the store has lost it, or else the one that is
// due.
func (m *mover) writeRecord(ctx context.Context, now time.Time, t *trackedMove) {
	key := movesPrefix + t.order.Service()
	if !t.recordLost {
		if t.pending != nil && m.pace.Calm(now) && m.write(ctx, now, t, key, t.pending, turnDelay) {
			t.pending = nil
		}
		return
	}
	value, err := t.record.WithOrder(t.origin.First(), t.origin.Latest()).Encode()
	if err != nil {
		m.log.Error().Err(err).Msg("move: Encoding a record failed.")
		return
	}
	if now.Sub(t.rewrittenAt) >= writeInterval && m.write(ctx, now, t, key, value, turnDelay) {
		t.rewrittenAt = now
		m.log.Info().Str("service", t.order.Service()).Stringer("state", t.record.State()).Int("stage", t.record.Stage()).Msg("move: The record is written again.")
		m.rewritten("record")
	}
}

// wrote reports whether an entry is the evidence that this VM wrote last.
func (t *trackedMove) wrote(e store.Entry) bool {
	var ev evidence
	// An entry that can't be read is written again.
	_ = json.Unmarshal(e.Value(), &ev)
	ev.ElapsedMs = 0
	value, err := json.Marshal(ev)
	return err == nil && string(value) == t.published
}
