package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"clementinelink.example/clementinelink/internal/store"
)

// ErrStale means that the declaration was changed since the revision that a
// submission is based on. Nothing was changed.
var ErrStale = errors.New("config: based on an old revision")

// Submit changes parts of the declaration and returns the new revision. base is
// the revision that the change was made on, 0 for the first one; a nil value
// removes a part. change is a unique id: submitting it again after
// store.ErrUnknown or store.ErrUnavailable returns the revision it became part
// of, as long as fewer than 64 changes followed. Of two operators who race, one
// gets ErrStale. A submission also deletes parts that were replaced more than
// two minutes ago.
func Submit(ctx context.Context, c *store.Client, now time.Time, change string, base uint64, values map[string][]byte) (uint64, error) {
	entry, err := c.Get(ctx, HeadKey)
	if err != nil {
		return 0, err
	}
	head := &Head{}
	if entry.Revision() != 0 {
		if head, err = DecodeHead(entry.Value()); err != nil {
			return 0, err
		}
	}
	if head.Has(change) {
		return head.since(change), nil
	}
	if head.revision != base {
		return 0, errors.Wrapf(ErrStale, "revision %d, submission on %d", head.revision, base)
	}
	deleted := deleteParts(ctx, c, head.expired(now))
	next, added := head.next(now, change, uuid.NewString(), values, deleted)
	if err := storeParts(ctx, c, added, values); err != nil {
		return 0, err
	}
	if err := storeHead(ctx, c, next, entry.Revision()); err != nil {
		if errors.Is(err, ErrStale) {
			deleteParts(ctx, c, keys(added))
		}
		return 0, err
	}
	return next.revision, nil
}

// storeHead replaces the head; its newest change id tells whose it is.
func storeHead(ctx context.Context, c *store.Client, h *Head, expect uint64) error {
	raw, err := h.Encode()
	if err != nil {
		return err
	}
	_, err = c.PutConfirmed(ctx, HeadKey, raw, expect, "", func(e store.Entry) bool {
		found, err := DecodeHead(e.Value())
		return err == nil && found.Has(h.changes[0])
	})
	if errors.Is(err, store.ErrConflict) {
		return errors.Mark(err, ErrStale)
	}
	return err
}

// storeParts writes new values under their keys.
func storeParts(ctx context.Context, c *store.Client, added []Part, values map[string][]byte) error {
	for _, p := range added {
		key := p.Key()
		mine := func(e store.Entry) bool { return verify(key, e.Value()) }
		if _, err := c.PutConfirmed(ctx, key, values[p.name], 0, "", mine); err != nil {
			return err
		}
	}
	return nil
}

// deleteParts returns the keys that are certainly absent. The others stay in
// the head, and a later submission tries again.
func deleteParts(ctx context.Context, c *store.Client, keys []string) map[string]bool {
	deleted := make(map[string]bool, len(keys))
	for _, key := range keys {
		e, err := c.Get(ctx, key)
		if err != nil {
			return deleted
		}
		if e.Revision() != 0 && c.Delete(ctx, key, e.Revision()) != nil {
			return deleted
		}
		deleted[key] = true
	}
	return deleted
}

func keys(parts []Part) []string {
	found := make([]string, 0, len(parts))
	for _, p := range parts {
		found = append(found, p.Key())
	}
	return found
}
