package feed

import (
	"context"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// The times of a reader, as multiples of its batch delay. When the VM that is
// asked stops responding, a change that it did not deliver arrives after at most
// 2.2 batch delays, including the delay itself.
const (
	// storeWaitFactor is how long one watch of the store waits while the VMs share
	// it.
	storeWaitFactor = 0.5
	// peerWaitFactor is how long another VM is asked to wait for a change.
	peerWaitFactor = 0.25
	// peerSlackFactor is how long after that wait its answer may arrive.
	peerSlackFactor = 0.2
	// maxAgeFactor is the largest accepted age of the store's latest answer to
	// another VM.
	maxAgeFactor = 1.7
)

// Reader reads changes from another VM or the store. List, Watch and Pause must
// be called from the same goroutine.
type Reader struct {
	batchDelay time.Duration
	selector   *Selector
	log        *Log
	// vms holds the VMs of the failure domain that Watch has not yet adopted,
	// or nil.
	vms atomic.Pointer[[]VM]
	// list and watch call the store, and askPeer calls another VM.
	list    func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	watch   func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	askPeer func(ctx context.Context, address string, after uint64, wait time.Duration) (Changes, error)
	now     func() time.Time
	// observe is called with the kind of each source that was asked, "vm" or
	// "store", and the result, "ok", "behind" or "failed".
	observe func(source, result string)
	// source is the name of the VM that answered last, or "" for the store.
	source string
	logger zerolog.Logger
}

// NewReader returns a reader for the VM named self. It adds what it reads to l.
// Its pause after an answer from the store is batchDelay.
func NewReader(self string, c *store.Client, l *Log, batchDelay time.Duration, logger zerolog.Logger) *Reader {
	return &Reader{
		batchDelay: batchDelay,
		selector:   NewSelector(self),
		log:        l,
		list:       c.List,
		watch:      c.Watch,
		askPeer:    NewClient().Changes,
		now:        time.Now,
		logger:     logger,

		observe: func(string, string) {},
	}
}

// WithObserver makes the reader call observe after each read with the kind of
// the source, "vm" or "store", and the result, "ok", "behind" or "failed". Call
// it before any other method.
func (r *Reader) WithObserver(observe func(source, result string)) *Reader {
	r.observe = observe
	return r
}

// SetVMs sets the VMs of the failure domain, including the one itself. It may be
// called concurrently.
func (r *Reader) SetVMs(vms []VM) { r.vms.Store(&vms) }

// List returns the store's keys with a prefix and the revision of the list. It
// always asks the store.
func (r *Reader) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	entries, revision, err := r.list(ctx, prefix)
	if err == nil {
		r.log.Reset(revision)
	}
	return entries, revision, err
}

// Watch returns the changes after a revision from the first source that
// answers. It returns the store's error if none does.
func (r *Reader) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if vms := r.vms.Swap(nil); vms != nil {
		r.selector.Set(*vms)
	}
	var failure error
	for _, v := range r.selector.Sources(r.now()) {
		events, revision, err := r.readFrom(ctx, v, prefix, after, wait)
		r.observe(sourceKind(v), result(err))
		switch {
		case ctx.Err() != nil:
			return nil, after, ctx.Err()
		case err == nil:
			r.selector.Answered(v)
			if failure != nil {
				// The store refuses this VM but serves others.
				r.selector.Failed(r.now(), VM{})
			}
			r.logSource(v, revision)
			r.log.Append(events, revision, v.name == "")
			return events, max(after, revision), nil
		case errors.Is(err, store.ErrCompacted):
			return nil, after, err
		case v.name == "":
			failure = err
		default:
			r.peerFailed(v, after, err)
		}
	}
	return nil, after, failure
}

// peerFailed starts the backoff of another VM that did not deliver changes.
func (r *Reader) peerFailed(v VM, after uint64, err error) {
	if result(err) == "behind" {
		r.selector.Behind(r.now(), v)
	} else {
		r.selector.Failed(r.now(), v)
	}
	r.logger.Info().Err(err).Str("peer", v.name).Uint64("revision", after).Msg("feed: A VM gives no changes.")
}

func sourceKind(v VM) string {
	if v.name == "" {
		return "store"
	}
	return "vm"
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.IsAny(err, ErrUnconfirmed, ErrTooOld, ErrStale):
		return "behind"
	default:
		return "failed"
	}
}

// readFrom reads changes from one source.
func (r *Reader) readFrom(ctx context.Context, v VM, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if v.name == "" {
		if r.selector.Shared() {
			wait = min(wait, r.scaled(storeWaitFactor))
		}
		return r.watch(ctx, prefix, after, wait)
	}
	limited, cancel := context.WithTimeout(ctx, r.scaled(peerWaitFactor+peerSlackFactor))
	defer cancel()
	c, err := r.askPeer(limited, v.address, after, r.scaled(peerWaitFactor))
	if err == nil && c.age > r.scaled(maxAgeFactor) {
		err = errors.Wrapf(ErrStale, "%s", c.age)
	}
	return c.events, c.revision, err
}

// logSource logs if v is not the source that answered last.
func (r *Reader) logSource(v VM, revision uint64) {
	if r.source == v.name {
		return
	}
	r.source = v.name
	r.logger.Info().Str("peer", v.name).Uint64("revision", revision).Msg("feed: Changes come from another source.")
}

// Pause returns how long to wait after an answer before the next call. There is
// no wait after an answer from another VM, because such calls are free.
func (r *Reader) Pause() time.Duration {
	if r.source != "" {
		return 0
	}
	return r.batchDelay
}

// scaled returns a multiple of the batch delay.
func (r *Reader) scaled(share float64) time.Duration {
	return time.Duration(share * float64(r.batchDelay))
}
