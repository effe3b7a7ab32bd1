package feed

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"clementinelink.example/clementinelink/internal/bulk"
	"clementinelink.example/clementinelink/internal/mirror"
	"clementinelink.example/clementinelink/internal/store"
	"clementinelink.example/clementinelink/internal/tree"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// The times of a reader, as multiples of its batch delay. When the VM that is
// asked stops responding, a change that it did not deliver arrives after at most
// 2.2 batch delays, including the delay itself.
const (
	// storeWaitFactor is how long one watch of the store waits while the VMs share
	// it, and storePauseFactor is the pause after a change.
	storeWaitFactor  = 0.5
	storePauseFactor = 0.5
	// peerWaitFactor is how long another VM is asked to wait for a change.
	peerWaitFactor = 0.25
	// peerSlackFactor is how long after that wait its answer may begin, and how long it
	// may pause.
	peerSlackFactor = 0.2
	// transferFactor is how long the rest of an answer may take. A configuration of
	// 1 MB, packed, takes 0.8 s if five VMs ask one whose link has 10 Mbit/s.
	transferFactor = 1
	// maxAgeFactor is the largest accepted age of the store's latest answer to
	// another VM, and maxArrivalFactor that while a further answer arrives. The store's
	// client gives up one that takes 8 s.
	maxAgeFactor     = 1.7
	maxArrivalFactor = 5
)

const (
	// listWait is how long another VM is asked to wait until it has read the
	// keys. When all VMs start at once, each waits for the one before it.
	listWait = 500 * time.Millisecond
	// listSlack is how long after that wait its answer may take to begin, and how long
	// it may pause. A registry of 3,000 upstreams takes 1 s on a link of 10 Mbit/s.
	listSlack = 2500 * time.Millisecond
	// listTransfer is how long the rest of it may take, if five VMs ask one on such a
	// link.
	listTransfer = 5 * time.Second
	// listPatience is how long the first list is awaited from VMs that are reading
	// theirs.
	listPatience = 3 * time.Second
	// listRounds is how often they are asked at most.
	listRounds = 3
	// listPeerTime is the time after which no further VM is asked for a list while
	// the store has not been.
	listPeerTime = 600 * time.Millisecond
	// listRetryDelay is the time between two attempts to read the first list from
	// other VMs.
	listRetryDelay = 200 * time.Millisecond
)

const (
	// crossPatience is how long a VM that the store has told of its restoration waits for
	// VMs before it in the tree to read it.
	crossPatience = time.Second
	// crossRetryDelay is the time between two attempts to read the restored keys from
	// them.
	crossRetryDelay = 100 * time.Millisecond
)

// largeChanges is the number of bytes from which changes are logged. They take 50 ms on
// a link of 10 Mbit/s.
const largeChanges = 64 << 10

// ErrStale means that the store's latest answer that another VM knows of is too old, or is
// older than that of the VM that asks.
var ErrStale = errors.New("feed: the VM's answer of the store is old")

// Reader reads changes from another VM or the store. List, Watch and Pause must
// be called from the same goroutine.
type Reader struct {
	batchDelay time.Duration
	selector   *Selector
	log        *mirror.Log
	// vms holds the VMs that Watch has not yet adopted, or nil.
	vms atomic.Pointer[[]tree.VM]
	// list and watch call the store, and askPeer and listPeer call another VM.
	list     func(ctx context.Context, prefix string) ([]store.Entry, uint64, error)
	watch    func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error)
	askPeer  func(ctx context.Context, address string, after uint64, wait time.Duration) (Answer, error)
	listPeer func(ctx context.Context, address string, after uint64, wait time.Duration) (mirror.Changes, error)
	// era returns the era of the store's latest answer to this VM.
	era func() uint64
	now func() time.Time
	// sleep waits until a time has passed or ctx ends.
	sleep func(ctx context.Context, d time.Duration)
	// observe is called with the kind of each source that was asked, "vm" or
	// "store", and the result, "ok", "behind" or "failed".
	observe func(source, result string)
	// countBytes is called with the kind of a source and the size in bytes of the values
	// that it sent. It may be nil.
	countBytes func(source string, bytes int)
	// lostAt is the latest time at which the store is known not to have served this VM,
	// or zero.
	lostAt time.Time
	// listStore is true if the next list comes from the store, since other VMs did not
	// read it in time after its restoration.
	listStore bool
	// source is the name of the VM that answered last, or "" for the store.
	source string
	logger zerolog.Logger
}

// NewReader returns a reader for the VM named self. It adds what it reads to l.
// Its pause after an answer from the store is batchDelay.
func NewReader(self string, c *store.Client, l *mirror.Log, batchDelay time.Duration, logger zerolog.Logger) *Reader {
	peers := NewClient(l)
	return &Reader{
		batchDelay: batchDelay,
		selector:   NewSelector(self),
		log:        l,
		list:       c.List,
		watch:      c.Watch,
		askPeer:    peers.Changes,
		listPeer:   peers.List,
		era:        c.Era,
		now:        time.Now,
		sleep:      sleep,
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

// WithReceived makes the reader call received after each watch with the kind of the
// source, "vm" or "store", and the size in bytes of the values as they were sent, before
// the store's encoding. Call it before any other method.
func (r *Reader) WithReceived(received func(source string, bytes int)) *Reader {
	r.countBytes = received
	return r
}

// SetVMs sets the VMs, including the one itself. It may be
// called concurrently.
func (r *Reader) SetVMs(vms []tree.VM) { r.vms.Store(&vms) }

// List returns the keys with a prefix and the revision of the list, from the first
// source that answers. It returns the store's error if none does. After a restoration of
// the store, only VMs that have read it since then are sources.
func (r *Reader) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	r.adoptVMs()
	sources, began := r.selector.ListSources(r.now()), r.now()
	if r.listStore {
		r.listStore = false
		sources = slices.Insert(slices.DeleteFunc(sources, tree.VM.IsStore), 0, tree.VM{})
	}
	if at := slices.Index(sources, tree.VM{}); at > 0 && r.log.Revision() == 0 {
		if entries, revision, err := r.listPeers(ctx, prefix, sources[:at], began); err == nil || ctx.Err() != nil {
			return entries, revision, err
		}
	}
	return r.listFirst(ctx, prefix, sources, began)
}

// restored reports whether this VM has not read the keys since the store was restored.
func (r *Reader) restored() bool { return store.Era(r.log.Revision()) < r.era() }

// listPeers returns the first list from another VM. When many VMs start at the
// same time, those that refuse the connection are about to serve, and those that
// have no list are reading it. If each VM went to the store then, the answers
// would delay each other on the links between regions.
func (r *Reader) listPeers(ctx context.Context, prefix string, peers []tree.VM, began time.Time) ([]store.Entry, uint64, error) {
	for round := 1; ; round++ {
		entries, revision, err := r.listFirst(ctx, prefix, peers, began)
		if err == nil || ctx.Err() != nil {
			return entries, revision, err
		}
		elapsed := r.now().Sub(began)
		if !errors.Is(err, mirror.ErrNotListed) && elapsed > listPeerTime || elapsed > listPatience || round == listRounds {
			return nil, 0, err
		}
		r.sleep(ctx, listRetryDelay)
	}
}

// listFirst returns the keys from the first source that answers. Otherwise it
// returns the store's error, or without the store mirror.ErrNotListed if a VM is reading
// its list, else the error of the last VM. VMs that do not answer are skipped from
// listPeerTime after began on, so that VMs without power delay the list no longer
// than that.
func (r *Reader) listFirst(ctx context.Context, prefix string, sources []tree.VM, began time.Time) ([]store.Entry, uint64, error) {
	var failure, storeFailure error
	reading := false
	for i, v := range sources {
		if !v.IsStore() && i > 0 && !reading && storeFailure == nil && r.now().Sub(began) > listPeerTime {
			continue
		}
		entries, revision, age, err := r.listFrom(ctx, v, prefix)
		r.observe(sourceKind(v), result(err))
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case err == nil:
			r.selector.Answered(v)
			if storeFailure != nil {
				// The store refuses this VM but serves others.
				r.selector.Failed(r.now(), tree.VM{})
			}
			r.logSource(v, revision)
			return r.reset(prefix, entries, revision, age), revision, nil
		case v.IsStore():
			storeFailure = err
		default:
			reading = reading || errors.Is(err, mirror.ErrNotListed)
			failure = err
			r.peerFailed(v, 0, err)
		}
	}
	switch {
	case storeFailure != nil:
		failure = storeFailure
	case reading:
		failure = mirror.ErrNotListed
	}
	return nil, 0, failure
}

// listFrom reads all keys from one source.
func (r *Reader) listFrom(ctx context.Context, v tree.VM, prefix string) ([]store.Entry, uint64, time.Duration, error) {
	if v.IsStore() {
		began := r.now()
		entries, revision, err := r.list(ctx, prefix)
		r.noteStore(began, err)
		if err == nil && store.Era(revision) < store.Era(r.log.Revision()) {
			err = errors.Wrapf(ErrStale, "era %d", store.Era(revision))
		}
		return entries, revision, 0, err
	}
	after := uint64(0)
	if r.restored() {
		after = store.Position(r.era(), 0)
	}
	limited, cancel := bulk.WithProgress(ctx, listWait+listSlack, listWait+listSlack+listTransfer)
	defer cancel()
	c, err := r.listPeer(limited, v.Address(), after, listWait)
	switch {
	case err != nil:
		return nil, 0, 0, err
	case c.Age() > r.scaled(maxAgeFactor) || c.Revision() < max(after, r.log.Revision()):
		return nil, 0, 0, errors.Wrapf(ErrStale, "%s, revision %d", c.Age(), c.Revision())
	}
	var entries []store.Entry
	for _, e := range c.Events() {
		if strings.HasPrefix(e.Entry().Key(), prefix) {
			entries = append(entries, e.Entry())
		}
	}
	return entries, c.Revision(), c.Age(), nil
}

// reset passes a list to the log and returns the entries with a prefix that are in force.
func (r *Reader) reset(prefix string, entries []store.Entry, revision uint64, age time.Duration) []store.Entry {
	before := r.log.Revision()
	present := r.log.Reset(entries, revision, age)
	r.logRestored(before, revision, len(entries))
	return slices.DeleteFunc(present, func(e store.Entry) bool { return !strings.HasPrefix(e.Key(), prefix) })
}

// logRestored logs the first answer of a restored store.
func (r *Reader) logRestored(before, revision uint64, changes int) {
	if before > 0 && store.Era(revision) > store.Era(before) {
		r.logger.Warn().Str("peer", r.source).Str("revision", store.Text(revision)).Str("before", store.Text(before)).
			Int("changes", changes).Int("held", r.log.Held()).Msg("feed: The store was restored from a copy.")
	}
}

// adoptVMs passes new VMs to the selector.
func (r *Reader) adoptVMs() {
	if vms := r.vms.Swap(nil); vms != nil {
		r.selector.Set(*vms)
	}
}

// Watch returns the changes after a revision from the first source that
// answers. It returns the store's error if none does, and store.ErrCompacted if a
// source no longer has the changes.
func (r *Reader) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	r.adoptVMs()
	if events := r.log.Release(); len(events) > 0 {
		return events, after, nil
	}
	var failure error
	for _, source := range r.selector.Sources(r.now()) {
		v, a, err := r.readAny(ctx, source, prefix, after, wait)
		r.observe(sourceKind(v), result(err))
		switch {
		case ctx.Err() != nil:
			return nil, after, ctx.Err()
		case err == nil:
			if failure != nil {
				// The store refuses this VM but serves others.
				r.selector.Failed(r.now(), tree.VM{})
			}
			events := r.received(v, a)
			return events, max(after, a.changes.Revision()), nil
		case errors.Is(err, store.ErrCompacted):
			if v, a, ok := r.crossFrom(ctx, prefix, after); ok {
				return r.received(v, a), a.changes.Revision(), nil
			}
			return nil, after, err
		case errors.Is(err, mirror.ErrTooOld):
			// A list from that VM costs less than the changes from the store.
			return nil, after, errors.Mark(err, store.ErrCompacted)
		case v.IsStore():
			failure = err
		default:
			r.peerFailed(v, after, err)
		}
	}
	return nil, after, failure
}

// received adds an answer to a watch to the log and returns the changes that are in force.
func (r *Reader) received(v tree.VM, a Answer) []store.Event {
	c := a.changes
	r.selector.Answered(v)
	r.logSource(v, c.Revision())
	r.logLarge(v, a)
	r.countReceived(v, a)
	before := r.log.Revision()
	events := r.log.Append(c.Events(), c.Revision(), c.Age())
	r.logRestored(before, c.Revision(), len(c.Events()))
	r.log.Hear(c.Quiet())
	return events
}

// crossFrom returns the changes over a restoration of the store, of which the store has
// told this VM, from a VM before it in the tree. These are about to read the store and
// know what has changed, which is less than a list.
func (r *Reader) crossFrom(ctx context.Context, prefix string, after uint64) (tree.VM, Answer, bool) {
	if !r.restored() {
		return tree.VM{}, Answer{}, false
	}
	peers := r.selector.Ancestors(r.now())
	for end := r.now().Add(crossPatience); len(peers) > 0 && r.now().Before(end) && ctx.Err() == nil; r.sleep(ctx, crossRetryDelay) {
		for _, v := range peers {
			a, err := r.readFrom(ctx, v, prefix, after, 0)
			r.observe(sourceKind(v), result(err))
			if errors.Is(err, mirror.ErrTooOld) {
				return tree.VM{}, Answer{}, false
			}
			if err == nil && store.Era(a.changes.Revision()) >= r.era() {
				return v, a, true
			}
		}
	}
	r.listStore = true
	return tree.VM{}, Answer{}, false
}

// peerFailed starts the backoff of another VM that did not deliver changes.
func (r *Reader) peerFailed(v tree.VM, after uint64, err error) {
	if result(err) == "behind" {
		r.selector.Behind(r.now(), v)
	} else {
		r.selector.Failed(r.now(), v)
	}
	r.logger.Info().Err(err).Str("peer", v.Name()).Str("revision", store.Text(after)).Msg("feed: A VM gives no changes.")
}

func sourceKind(v tree.VM) string {
	if v.IsStore() {
		return "store"
	}
	return "vm"
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.IsAny(err, mirror.ErrNotListed, mirror.ErrTooOld, ErrStale):
		return "behind"
	default:
		return "failed"
	}
}

// fromStore reads changes from the store.
func (r *Reader) fromStore(ctx context.Context, prefix string, after uint64, wait time.Duration) (Answer, error) {
	if r.selector.Shared() {
		wait = min(wait, r.scaled(storeWaitFactor))
	}
	heard := store.WithProgress(ctx, func() { r.log.Hear(0) })
	events, revision, err := r.watch(heard, prefix, after, wait)
	return Answer{
		changes: mirror.NewChanges(events, revision, 0),
	}, err
}

// readFrom reads changes from one source.
func (r *Reader) readFrom(ctx context.Context, v tree.VM, prefix string, after uint64, wait time.Duration) (Answer, error) {
	if v.IsStore() {
		began := r.now()
		a, err := r.fromStore(ctx, prefix, after, wait)
		r.noteStore(began, err)
		return a, err
	}
	begin := r.scaled(peerWaitFactor + peerSlackFactor)
	limited, cancel := bulk.WithProgress(ctx, begin, begin+r.scaled(transferFactor))
	defer cancel()
	follows := r.selector.Follows(v)
	a, err := r.askPeer(limited, v.Address(), after, r.scaled(peerWaitFactor))
	c := a.changes
	if err == nil && (r.stale(c, follows) || store.Era(c.Revision()) < store.Era(after) || follows && r.knows(c)) {
		err = errors.Wrapf(ErrStale, "%s, quiet for %s", c.Age(), c.Quiet())
	}
	return a, err
}

// knows reports whether an answer is no newer than what this VM has. A VM that reads from
// this one has no other. Its answer seems younger by the time that answers are on their way.
func (r *Reader) knows(c mirror.Changes) bool {
	return c.Revision() <= r.log.Revision() && !r.now().Add(-c.Age()).After(r.log.Confirmed().Add(r.scaled(peerSlackFactor)))
}

// stale reports whether the store's latest answer to another VM is too old. If all VMs
// asked the store as soon as a large answer takes long, their answers would take longer. A
// VM that may read from this one is not waited for.
func (r *Reader) stale(c mirror.Changes, follows bool) bool {
	return c.Age() > r.scaled(maxArrivalFactor) || c.Quiet() > r.scaled(maxAgeFactor) || follows && c.Age() > r.scaled(maxAgeFactor)
}

// noteStore notes the result of a call of the store that began at the given time.
func (r *Reader) noteStore(began time.Time, err error) {
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		r.lostAt = store.LostAt(began, r.now(), err)
	}
}

// LostAt returns the latest time at which the store is known not to have served this
// VM, or the zero time. The calls of other VMs before and after it take their time too.
func (r *Reader) LostAt() time.Time { return r.lostAt }

// logSource logs if v is not the source that answered last.
func (r *Reader) logSource(v tree.VM, revision uint64) {
	if r.source == v.Name() {
		return
	}
	r.source = v.Name()
	r.logger.Info().Str("peer", v.Name()).Str("revision", store.Text(revision)).Msg("feed: Changes come from another source.")
}

// logLarge logs changes that occupy the links of the VMs for a while.
func (r *Reader) logLarge(v tree.VM, a Answer) {
	if a.mismatch != nil {
		r.logger.Warn().Err(a.mismatch).Str("peer", v.Name()).Str("revision", store.Text(a.changes.Revision())).Msg("feed: Whole values take the place of differences.")
	}
	if n := a.size(); n >= largeChanges {
		r.logger.Info().Str("peer", v.Name()).Str("revision", store.Text(a.changes.Revision())).Int("bytes", n).Int("sent", a.wireBytes).Int64("ms", a.transfer.Milliseconds()).
			Msg("feed: Large changes arrived.")
	}
}

// countReceived reports the size of changes.
func (r *Reader) countReceived(v tree.VM, a Answer) {
	switch {
	case r.countBytes == nil:
	case v.IsStore():
		r.countBytes(sourceKind(v), a.size())
	default:
		r.countBytes(sourceKind(v), a.wireBytes)
	}
}

// Confirmed returns when the store confirmed the latest answer.
func (r *Reader) Confirmed() time.Time { return r.log.Confirmed() }

// Pause returns how long to wait after an answer before the next call. There is
// no wait after an answer from another VM, because such calls are free.
func (r *Reader) Pause() time.Duration {
	switch {
	case r.source != "":
		return 0
	case r.selector.Shared():
		// The changes pass through other VMs, which takes a part of the time
		// within which they must take effect.
		return r.scaled(storePauseFactor)
	default:
		return r.batchDelay
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// scaled returns a multiple of the batch delay.
func (r *Reader) scaled(share float64) time.Duration {
	return time.Duration(share * float64(r.batchDelay))
}
