package follow

import (
	"context"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

// fullBatch is the number of changes in one answer from which on more changes are
// assumed to be available at once. A store may return a part of them per call,
// and a pause after each part would delay changes of the configuration.
const fullBatch = 100

// Follower follows the keys with one prefix.
type Follower struct {
	prefix string
	// batchDelay returns how long to pause after a change before the next call.
	batchDelay func() time.Duration
	state      *State
	list       func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	watch      func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	emit       func(ctx context.Context, c Change)
	now        func() time.Time
	// confirmed returns when the store confirmed the latest answer, which another
	// VM may have received.
	confirmed func() time.Time
	// lostAt returns the latest time at which the store is known not to have served
	// the VM, for a poll that began and failed at the given times.
	lostAt func(began, failed time.Time, err error) time.Time
	// idle is called with the time of the store's confirmation after each answer
	// without a change.
	idle func(confirmed time.Time)
	// kept is the number of missing keys that are kept at present.
	kept atomic.Int64
	// answeredAt is the time of the last successful call, in Unix nanoseconds,
	// or 0.
	answeredAt atomic.Int64
	log        zerolog.Logger
}

// New returns a follower of the keys with a prefix that passes each change to
// emit. It pauses for batchDelay after a change, so that changes that occur
// close together cost one call.
func New(c *store.Client, prefix string, batchDelay time.Duration, emit func(ctx context.Context, c Change), log zerolog.Logger) *Follower {
	return &Follower{
		prefix:     prefix,
		batchDelay: func() time.Duration { return batchDelay },
		state:      NewState(),
		list:       c.List,
		watch:      c.Watch,
		emit:       emit,
		now:        time.Now,
		confirmed:  time.Now,
		lostAt:     store.LostAt,
		idle:       func(time.Time) {},
		log:        log,
	}
}

// WithSettleTime sets the time after the store's recovery from which its word counts
// again, 4 s by default. Entries that are missing are kept for less than that. Call it
// before Run.
func (f *Follower) WithSettleTime(d time.Duration) *Follower {
	f.state.maxKeep = max(d-settleMargin, 0)
	return f
}

// WithIdle makes the follower call idle after each answer without a change, with
// the time at which the store confirmed it. Call it before Run.
func (f *Follower) WithIdle(idle func(confirmed time.Time)) *Follower {
	f.idle = idle
	return f
}

// ReadFrom makes the follower read from r, which may ask other VMs. Call it before
// Run.
func (f *Follower) ReadFrom(r *feed.Reader) *Follower {
	f.list, f.watch, f.batchDelay, f.confirmed = r.List, r.Watch, r.Pause, r.Confirmed
	f.lostAt = func(time.Time, time.Time, error) time.Time { return r.LostAt() }
	return f
}

// Kept returns the number of keys that are missing from the store but kept, since
// their leases may have expired in an outage. It may be called concurrently.
func (f *Follower) Kept() int { return int(f.kept.Load()) }

// Age returns the time since the last successful list or watch, or since 1970
// before the first. It may be called concurrently.
func (f *Follower) Age() time.Duration { return f.now().Sub(time.Unix(0, f.answeredAt.Load())) }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lost, began := f.state.Failing(), f.now()
		c, err := f.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = f.state.Failed(f.now(), began, f.lostAt(began, f.now(), err), err)
			if !lost {
				f.log.Warn().Err(err).Str("prefix", f.prefix).Str("revision", store.Text(f.state.Revision())).Msg("follow: The store is lost.")
			}
		case lost:
			f.log.Info().Str("prefix", f.prefix).Str("revision", store.Text(f.state.Revision())).Msg("follow: The store is back.")
		}
		if err == nil {
			f.answeredAt.Store(f.now().UnixNano())
		}
		switch {
		case err == nil && (!c.Empty() || c.Restored()):
			c.confirmed = f.confirmed()
			f.emit(ctx, c)
			if c.Len() < fullBatch {
				pause = f.batchDelay()
			}
		case err == nil:
			f.idle(f.confirmed())
		}
		f.expire(ctx)
		if next := f.state.NextExpiry(); !next.IsZero() {
			pause = min(pause, next.Sub(f.now()))
		}
		f.sleep(ctx, pause)
	}
}

// expire emits the kept keys whose time has passed.
func (f *Follower) expire(ctx context.Context) {
	kept := int64(f.state.Kept())
	if before := f.kept.Swap(kept); kept > before {
		f.log.Info().Str("prefix", f.prefix).Int64("keys", kept).Str("revision", store.Text(f.state.Revision())).Msg("follow: Missing entries are kept.")
	}
	c := f.state.Expired(f.now())
	if c.Empty() {
		return
	}
	f.kept.Store(int64(f.state.Kept()))
	f.log.Info().Str("prefix", f.prefix).Strs("keys", c.Deleted()).Msg("follow: Kept entries are gone.")
	f.emit(ctx, c)
}

// poll performs one list or watch.
func (f *Follower) poll(ctx context.Context) (Change, error) {
	if !f.state.Synced() {
		entries, revision, err := f.list(ctx, f.prefix)
		if err != nil {
			return Change{}, err
		}
		return f.state.Listed(f.now(), entries, revision), nil
	}
	events, revision, err := f.watch(ctx, f.prefix, f.state.Revision(), f.state.Wait(f.now()))
	if err != nil {
		return Change{}, err
	}
	return f.state.Watched(f.now(), events, revision), nil
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
