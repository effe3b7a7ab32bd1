package submit

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/store"
)

// maxThrottledAttempts is the number of times that a write is sent if the store
// rejects it for its rate limit. A first declaration makes 35 writes, more than
// the store accepts at once.
const maxThrottledAttempts = 8

// NewClientStore returns the store operations of a client. If the answer to a
// Put is lost, the key is read back, and the Put succeeds if it has the written
// value. Writes are retried while the store rejects them for its rate limit.
func NewClientStore(c *store.Client) Store {
	return Store{
		Get: func(ctx context.Context, key string) ([]byte, uint64, error) {
			e, err := c.Get(ctx, key)
			return e.Value(), e.Revision(), err
		},
		Put: func(ctx context.Context, key string, value []byte, revision uint64) error {
			isOwn := func(e store.Entry) bool { return bytes.Equal(e.Value(), value) }
			err := retryThrottled(ctx, func() error {
				_, err := c.PutConfirmed(ctx, key, value, revision, "", isOwn)
				return err
			})
			if errors.Is(err, store.ErrConflict) {
				return errors.Mark(err, ErrConflict)
			}
			return err
		},
		List: func(ctx context.Context, prefix string) (map[string][]byte, error) {
			entries, _, err := c.List(ctx, prefix)
			values := make(map[string][]byte, len(entries))
			for _, e := range entries {
				values[e.Key()] = e.Value()
			}
			return values, err
		},
		Delete: func(ctx context.Context, key string) error {
			e, err := c.Get(ctx, key)
			if err != nil || e.Revision() == 0 {
				return err
			}
			return retryThrottled(ctx, func() error { return c.Delete(ctx, key, e.Revision()) })
		},
	}
}

// retryThrottled retries a write that the store rejected with a Retry-After,
// after that delay. Such a write did not happen, so the retry is safe.
func retryThrottled(ctx context.Context, call func() error) error {
	for attempt := 1; ; attempt++ {
		err := call()
		wait := store.RetryAfter(err)
		if wait == 0 || attempt == maxThrottledAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
	}
}
