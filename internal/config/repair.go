package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/store"
)

// repairSpread is the time over which the VMs that watch the store begin to write a
// revision again that a restored store lacks. The first one usually suffices.
const repairSpread = 2 * time.Second

// considerRepair issues a Repair if the store's head is below the revision in force, which
// was accepted and must not be replaced by another change with its number.
func (c *Core) considerRepair(now time.Time, heads [][]byte) {
	stored := uint64(0)
	for _, raw := range heads {
		h, err := DecodeHead(raw)
		if err != nil {
			// It must not be overwritten.
			return
		}
		stored = h.revision
	}
	switch {
	case stored >= c.current.Revision():
		c.repairAt = time.Time{}
	case c.repairAt.IsZero():
		c.repairAt = now.Add(c.jitter(repairSpread))
	case !now.Before(c.repairAt) && c.repair.ready(now):
		c.startOperation(&c.repair, Action{
			kind:     Repair,
			snapshot: c.current,
		})
	}
}

// writeAgain writes a revision to a store that has an earlier one: first its parts, and
// then the head by compare-and-swap.
func writeAgain(ctx context.Context, c *store.Client, s *Snapshot) (written bool, err error) {
	stored, err := c.Get(ctx, HeadKey)
	if err != nil {
		return false, err
	}
	if stored.Revision() != 0 {
		if h, err := DecodeHead(stored.Value()); err != nil || h.revision >= s.Revision() {
			return false, err
		}
	}
	for _, p := range s.head.parts {
		e, err := c.Get(ctx, p.Key())
		if err != nil {
			return false, err
		}
		if e.Revision() != 0 {
			continue
		}
		if _, err := c.Put(ctx, p.Key(), s.parts[p.Key()], 0, ""); err != nil && !errors.Is(err, store.ErrConflict) {
			return false, err
		}
	}
	if _, err = c.Put(ctx, HeadKey, s.head.raw, stored.Revision(), ""); errors.Is(err, store.ErrConflict) {
		// Another VM has written the head; the next read tells which.
		return false, nil
	}
	return err == nil, err
}

// repair carries out a Repair.
func (d *Duty) repair(ctx context.Context, a Action) Event {
	written, err := writeAgain(ctx, d.client, a.snapshot)
	switch {
	case err != nil:
		d.log.Warn().Err(err).Uint64("revision", a.snapshot.Revision()).Msg("config: Writing a revision again failed.")
	case written:
		d.log.Warn().Uint64("revision", a.snapshot.Revision()).Msg("config: The store lacked the revision in force, which is written again.")
	}
	return Repaired(a.op)
}
