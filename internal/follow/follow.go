package follow

import (
	"context"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/feed"
	"clementinelink.example/clementinelink/internal/store"
	"github.com/rs/zerolog"
)

// crowded is the number of changes in one answer from which more are taken to
// wait: a store may give a part of them at a time, and a pause after each part
// would let a change of the configuration come late.
const crowded = 100

// Follower is the duty that follows one prefix.
type Follower struct {
	prefix string
	// gather returns how long to pause after a change.
	gather func() time.Duration
	state  *State
	list   func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	watch  func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	emit   func(ctx context.Context, c Change)
	now    func() time.Time
	// heard is when the store last answered, in Unix nanoseconds, or 0.
	heard atomic.Int64
	log   zerolog.Logger
}

// New returns the duty that follows a prefix and gives each change to emit. It
// pauses for gather after a change, so that changes which come together cost
// one call.
func New(c *store.Client, prefix string, gather time.Duration, emit func(ctx context.Context, c Change), log zerolog.Logger) *Follower {
	return &Follower{
		prefix: prefix,
		gather: func() time.Duration { return gather },
		state:  NewState(),
		list:   c.List,
		watch:  c.Watch,
		emit:   emit,
		now:    time.Now,
		log:    log,
	}
}

// WithKnown sets the keys that are already known, by revision, so that those
// that the first list lacks are given as gone. Call it before Run.
func (f *Follower) WithKnown(known map[string]uint64) *Follower {
	f.state.known = known
	return f
}

// From makes the follower read through r, which may ask other VMs. Call it
// before Run.
func (f *Follower) From(r *feed.Reader) *Follower {
	f.list, f.watch, f.gather = r.List, r.Watch, r.Pause
	return f
}

// Heard reports whether the store has answered. It may be called concurrently.
func (f *Follower) Heard() bool { return f.heard.Load() != 0 }

// Age returns how old the knowledge of the prefix is: the time since the
// store's latest answer, or since 1970 before the first. It may be called
// concurrently.
func (f *Follower) Age() time.Duration { return f.now().Sub(time.Unix(0, f.heard.Load())) }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lost := f.state.Lost()
		c, err := f.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			pause = f.state.Failed(f.now(), err)
			if !lost {
				f.log.Warn().Err(err).Str("prefix", f.prefix).Uint64("revision", f.state.Revision()).Msg("follow: The store is lost.")
			}
		case lost:
			f.log.Info().Str("prefix", f.prefix).Uint64("revision", f.state.Revision()).Msg("follow: The store is back.")
		}
		if err == nil {
			f.heard.Store(f.now().UnixNano())
		}
		if err == nil && !c.Empty() {
			f.emit(ctx, c)
			if c.Len() < crowded {
				pause = f.gather()
			}
		}
		if old := f.state.Expired(f.now()); !old.Empty() {
			f.emit(ctx, old)
		}
		f.sleep(ctx, pause)
	}
}

// ask sends one list or watch.
func (f *Follower) ask(ctx context.Context) (Change, error) {
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
