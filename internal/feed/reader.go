package feed

import (
	"context"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/store"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// The times of a reader, as parts of the time for which the store's changes are
// gathered. Together with that time, a change that the asked VM does not have
// is known after 2.2 of it at most, when the VM falls silent.
const (
	// storeWait is how long a VM that others ask watches the store in one call.
	storeWait = 0.5
	// pollWait is how long another VM waits for a change.
	pollWait = 0.25
	// pollSlack is how much later its answer may come.
	pollSlack = 0.2
	// maxAge is how old the store's latest word may be.
	maxAge = 1.7
)

// Reader reads changes from another VM or the store. Its methods List, Watch
// and Pause are for one goroutine.
type Reader struct {
	gather time.Duration
	order  *Order
	log    *Log
	// vms holds the VMs of the failure domain.
	vms atomic.Pointer[[]VM]
	// list and watch ask the store, and ask asks another VM.
	list  func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	ask   func(ctx context.Context, address string, after uint64, wait time.Duration) (Changes, error)
	now   func() time.Time
	// observe is told the kind of each source that was asked, "vm" or "store",
	// and the result, "ok", "behind" or "failed".
	observe func(source, result string)
	// source is the name of the latest source, "" for the store.
	source string
	logger zerolog.Logger
}

// NewReader returns a reader for the VM with the name. It keeps what it reads in
// l, and gathers changes of the store for gather.
func NewReader(self string, c *store.Client, l *Log, gather time.Duration, logger zerolog.Logger) *Reader {
	return &Reader{
		gather: gather,
		order:  NewOrder(self),
		log:    l,
		list:   c.List,
		watch:  c.Watch,
		ask:    NewClient().Changes,
		now:    time.Now,
		logger: logger,

		observe: func(string, string) {},
	}
}

// WithObserver calls observe after each question with the kind of the source,
// "vm" or "store", and the result, "ok", "behind" or "failed". Call it before
// any other method.
func (r *Reader) WithObserver(observe func(source, result string)) *Reader {
	r.observe = observe
	return r
}

// SetVMs sets the VMs of the failure domain, the own one included. It may be
// called concurrently.
func (r *Reader) SetVMs(vms []VM) { r.vms.Store(&vms) }

// List lists the keys below a prefix at the store.
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
		r.order.Set(*vms)
	}
	var failure error
	for _, v := range r.order.Sources(r.now()) {
		events, revision, err := r.from(ctx, v, prefix, after, wait)
		r.observe(kind(v), result(err))
		switch {
		case ctx.Err() != nil:
			return nil, after, ctx.Err()
		case err == nil:
			r.order.Answered(v)
			if failure != nil {
				// The store turns this VM away and serves others.
				r.order.Failed(r.now(), VM{})
			}
			r.note(v, revision)
			r.log.Append(events, revision, v.name == "")
			return events, max(after, revision), nil
		case errors.Is(err, store.ErrCompacted):
			return nil, after, err
		case v.name == "":
			failure = err
		default:
			r.failed(v, after, err)
		}
	}
	return nil, after, failure
}

// failed notes that another VM gave no changes.
func (r *Reader) failed(v VM, after uint64, err error) {
	if result(err) == "behind" {
		r.order.Behind(r.now(), v)
	} else {
		r.order.Failed(r.now(), v)
	}
	r.logger.Info().Err(err).Str("peer", v.name).Uint64("revision", after).Msg("feed: A VM gives no changes.")
}

func kind(v VM) string {
	if v.name == "" {
		return "store"
	}
	return "vm"
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.IsAny(err, ErrSecondHand, ErrTooOld, ErrStale):
		return "behind"
	default:
		return "failed"
	}
}

// from asks one source.
func (r *Reader) from(ctx context.Context, v VM, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	if v.name == "" {
		if r.order.Shared() {
			wait = min(wait, r.part(storeWait))
		}
		return r.watch(ctx, prefix, after, wait)
	}
	limited, cancel := context.WithTimeout(ctx, r.part(pollWait+pollSlack))
	defer cancel()
	c, err := r.ask(limited, v.address, after, r.part(pollWait))
	if err == nil && c.age > r.part(maxAge) {
		err = errors.Wrapf(ErrStale, "%s", c.age)
	}
	return c.events, c.revision, err
}

// note logs a change of the source.
func (r *Reader) note(v VM, revision uint64) {
	if r.source == v.name {
		return
	}
	r.source = v.name
	r.logger.Info().Str("peer", v.name).Uint64("revision", revision).Msg("feed: Changes come from another source.")
}

// Pause returns how long to gather changes after an answer. Asking another VM
// costs nothing.
func (r *Reader) Pause() time.Duration {
	if r.source != "" {
		return 0
	}
	return r.gather
}

func (r *Reader) part(share float64) time.Duration { return time.Duration(share * float64(r.gather)) }
