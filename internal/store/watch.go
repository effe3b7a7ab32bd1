package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Watch waits up to wait for a change of a key with the prefix after a revision
// of the store. It returns the changes, none if nothing changed, and the revision
// to pass as after to the next Watch. The error is ErrCompacted if the store was restored
// after that revision. It is never retried. The store can lose and
// reorder events, so a caller that must not miss a change must also read the
// keys periodically.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	if now := c.Era(); Era(after) < now {
		return nil, after, errors.Wrapf(ErrCompacted, "after era %d, era %d now", Era(after), now)
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	if err := c.reads.Wait(waitCtx); err != nil {
		return nil, after, errors.Mark(errors.Wrap(err, "store: read budget"), ErrUnavailable)
	}
	var found []Event
	var revision uint64
	err := c.exchange(ctx, "watch", wait+c.deadline, c.wire.Watch(prefix, Number(after), wait), func(era uint64, b []byte) (err error) {
		if found, revision, err = c.wire.Events(b); err != nil {
			return err
		}
		if era != Era(after) {
			// The changes are those of another history than the caller's.
			return errors.Wrapf(ErrCompacted, "after era %d, era %d now", Era(after), era)
		}
		for i, e := range found {
			if e.entry, err = e.entry.locate(era); err != nil {
				return err
			}
			found[i] = e
		}
		revision, err = position(era, revision)
		return err
	})
	if err != nil {
		if errors.Is(err, ErrUnknown) {
			err = errors.Mark(errors.Newf("store: watch %s: %v", prefix, err), ErrUnavailable)
		}
		return nil, after, err
	}
	return found, max(after, revision), nil
}

// PutConfirmed is a Put that resolves an unknown outcome: if the answer is lost,
// it reads the key and calls isOwn to decide whether the stored entry contains
// the caller's write. If the key is unchanged, it sends the same
// compare-and-swap again, which can't take effect twice because each effect
// changes the revision.
//
// It returns ErrUnknown if the key can't be read after a lost answer, or is
// unchanged after three attempts. ErrConflict means that the stored entry does
// not contain the caller's write. The write may have taken effect and have been
// overwritten, so if other clients write the key, isOwn must look for something
// that they preserve.
func (c *Client) PutConfirmed(ctx context.Context, key string, value []byte, expect uint64, lease string, isOwn func(Entry) bool) (uint64, error) {
	outcomeUnknown := false
	for range maxAttempts {
		revision, err := c.Put(ctx, key, value, expect, lease)
		if err == nil {
			return revision, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrUnknown)
		if !outcomeUnknown {
			return 0, err
		}
		e, err := c.Get(ctx, key)
		if err != nil {
			return 0, errors.Mark(errors.Newf("store: read back %s: %v", key, err), ErrUnknown)
		}
		if isOwn(e) {
			return e.Revision(), nil
		}
		if e.Revision() != expect {
			return 0, errors.Wrapf(ErrConflict, "%s: read back", key)
		}
	}
	return 0, errors.Wrapf(ErrUnknown, "%s: unchanged after %d tries", key, maxAttempts)
}
