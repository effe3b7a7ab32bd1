package simeng

import (
	"context"
	"net/http"
	"slices"
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/ring"
)

// commandsMax is the number of commands that are queued while the engine is
// paused. Further handlers block until there is room.
const commandsMax = 1024

// command runs in the batch goroutine, which owns the batch's state.
type command func(b *batch, now time.Time)

// batch owns the streams, cache, versions and faults of one incarnation of an
// engine. Only the goroutine of run uses its fields; others send commands.
type batch struct {
	settings *settings
	// counters is shared by all incarnations of the engine.
	counters *counters
	commands *ring.Ring[command]
	// controls carries fault injections and queries of tests. It is read even
	// during a Pause or Hang fault.
	controls *ring.Ring[command]

	streams map[key]*stream
	// running has at most settings.slots entries.
	running []*stream
	// waiting is sorted by priority, lowest value first, then by arrival.
	waiting   []*stream
	cache     *cache
	faults    *faults
	versions  *versions
	steppedAt time.Time
	// sample is the load report taken at sampledAt.
	sample    loadBody
	sampledAt time.Time
}

func newBatch(s *settings, c *counters, incarnationID uint64) *batch {
	return &batch{
		settings: s,
		counters: c,
		commands: ring.New[command](commandsMax, ring.Wait),
		controls: ring.New[command](16, ring.Wait),
		streams:  map[key]*stream{},
		cache:    newCache(s.cacheBlocks, s.eventLag, s.eventLossInterval),
		faults: &faults{
			active: map[string]Fault{},
		},
		versions: newVersions(s),
		sample: loadBody{
			Incarnation: incarnationID,
			Slots:       s.slots,
		},
	}
}

// run executes commands and generates tokens until ctx ends.
func (b *batch) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		commands := b.commands.Out()
		if b.faults.isActive(Pause) || b.faults.isActive(Hang) {
			commands = nil
		}
		select {
		case <-ctx.Done():
			return
		case c := <-b.controls.Out():
			c(b, time.Now())
		case c := <-commands:
			c(b, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		b.advance(now)
		timer.Reset(b.nextDue().Sub(now))
	}
}

// advance expires faults, runs a step and takes a sample, each if it is due.
func (b *batch) advance(now time.Time) {
	b.faults.expire(now)
	if b.faults.isActive(Pause) {
		return
	}
	if at := b.nextStep(); !at.IsZero() && !at.After(now) {
		b.step(now)
	}
	if !b.sampledAt.Add(b.settings.loadLag).After(now) {
		b.takeSample(now)
	}
}

// nextDue returns when advance has something to do next.
func (b *batch) nextDue() time.Time {
	if b.faults.isActive(Pause) {
		if at := b.faults.nextExpiry(); !at.IsZero() {
			return at
		}
		return time.Now().Add(time.Hour)
	}
	at := alarm.First(b.nextStep(), b.faults.nextExpiry())
	return alarm.First(at, b.sampledAt.Add(b.settings.loadLag))
}

// gap returns the time between steps, which grows with the number of running
// streams.
func (b *batch) gap() time.Duration {
	load := float64(max(len(b.running)-1, 0)) / float64(b.settings.slots)
	return time.Duration(float64(b.settings.tokenGap) * (1 + b.settings.gapGrowth*load))
}

// nextStep returns when the next token is due, or zero if no stream runs.
func (b *batch) nextStep() time.Time {
	var ready time.Time
	for _, s := range b.running {
		ready = alarm.First(ready, s.readyAt)
	}
	if at := b.steppedAt.Add(b.gap()); !ready.IsZero() && ready.Before(at) {
		return at
	}
	return ready
}

// held reports whether Engine.HoldAfter applies.
func (c *counters) held() bool {
	limit := c.holdAt.Load()
	return limit > 0 && c.generated.Load() >= limit
}

// step generates a token for each running stream that is ready.
func (b *batch) step(now time.Time) {
	b.steppedAt = now
	gap := b.gap()
	for _, s := range b.running {
		if s.readyAt.After(now) || b.counters.held() {
			continue
		}
		if s.step() {
			b.counters.generated.Add(1)
		}
		// A tenth of a gap less, so that timer jitter doesn't delay the stream by
		// a whole step.
		s.readyAt = now.Add(time.Duration((b.faults.factor(s.version) - 0.1) * float64(gap)))
		if s.finish != "" {
			b.counters.finished.Add(1)
		}
	}
	b.running = slices.DeleteFunc(b.running, func(s *stream) bool { return s.finish != "" })
	b.fillSlots(now)
}

// fillSlots moves waiting streams into free slots.
func (b *batch) fillSlots(now time.Time) {
	for len(b.running) < b.settings.slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.admit(s, now)
	}
}

// admit starts a stream; its first token is due after the prefill of the prompt
// tokens that aren't cached and of the prefix.
func (b *batch) admit(s *stream, now time.Time) {
	uncached := promptTokens(s.prompt) - b.cache.lookup(s.prompt, now) + s.prefixLen
	prefill := time.Duration(uncached) * b.settings.prefillPerToken
	s.readyAt = now.Add(time.Duration(float64(prefill+b.gap()) * b.faults.factor(s.version)))
	b.running = append(b.running, s)
}

// open accepts a new attempt and returns its reader, or nil and the HTTP status
// of the refusal.
func (b *batch) open(s *stream, now time.Time) (*reader, int) {
	if status := b.refusal(s); status != 0 {
		b.counters.refused.Add(1)
		return nil, status
	}
	s.badKind = b.faults.badKind(s.version, s.key.request)
	if s.badKind == BadError {
		return nil, http.StatusInternalServerError
	}
	b.counters.started.Add(1)
	b.streams[s.key] = s
	if len(b.running) < b.settings.slots {
		b.admit(s, now)
	} else {
		at, _ := slices.BinarySearchFunc(b.waiting, s, func(w, s *stream) int {
			if w.priority <= s.priority {
				return -1
			}
			return 1
		})
		b.waiting = slices.Insert(b.waiting, at, s)
	}
	return s.attach(s.prefixLen), http.StatusOK
}

// refusal returns the HTTP status with which a new attempt is refused, or 0.
func (b *batch) refusal(s *stream) int {
	switch {
	case b.faults.isActive(Leaving):
		return http.StatusServiceUnavailable
	case !b.versions.loaded(s.version):
		return http.StatusConflict
	case b.streams[s.key] != nil:
		return http.StatusUnprocessableEntity
	case len(b.running) >= b.settings.slots && len(b.waiting) >= b.settings.queue:
		return http.StatusTooManyRequests
	}
	return 0
}

// attach returns a reader of a known stream from offset on, or nil. The stream
// is renamed to newAttempt; the earlier attempt number is unknown from then on.
func (b *batch) attach(k key, offset int, newAttempt uint32) (*stream, *reader) {
	s, ok := b.streams[k]
	if !ok || offset < 0 || offset > s.limit {
		return nil, nil
	}
	if newAttempt != k.attempt {
		next := key{
			request: k.request,
			attempt: newAttempt,
		}
		if b.streams[next] != nil {
			return nil, nil
		}
		delete(b.streams, k)
		s.key = next
		b.streams[next] = s
	}
	return s, s.attach(offset)
}

// detach removes the stream's reader if it is still r, and starts the retention
// time.
func (b *batch) detach(s *stream, r *reader, now time.Time) {
	if s.reader == r {
		s.reader = nil
		s.detachedAt = now
	}
}

// cancel removes a stream, ends its reader with the signal and reports whether
// the stream was known.
func (b *batch) cancel(k key, g signal, now time.Time) bool {
	s, ok := b.streams[k]
	if !ok {
		return false
	}
	if s.finish == "" {
		b.counters.cancelled.Add(1)
		b.counters.wasted.Add(uint64(len(s.tokens)))
	}
	s.closeReader(g, now)
	delete(b.streams, k)
	same := func(t *stream) bool { return t == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.fillSlots(now)
	return true
}

// takeSample records the values that load reports return until the next sample,
// and removes the streams whose retention time is over.
func (b *batch) takeSample(now time.Time) {
	b.sampledAt = now
	b.sample.Seq++
	b.sample.Running = len(b.running)
	b.sample.Waiting = len(b.waiting)
	b.sample.GapMS = float64(b.gap()) * b.faults.factor("") / float64(time.Millisecond)
	b.sample.Versions = b.versions.list()
	b.sample.Role = b.versions.role
	b.sample.Leaving = b.faults.isActive(Leaving)
	for k, s := range b.streams {
		if !s.detachedAt.IsZero() && now.Sub(s.detachedAt) > b.settings.retention {
			b.cancel(k, sigClose, now)
		}
	}
}

// load returns the last sample with its age.
func (b *batch) load(now time.Time) loadBody {
	report := b.sample
	report.AgeMS = now.Sub(b.sampledAt).Milliseconds()
	return report
}

// inject starts a fault.
func (b *batch) inject(f Fault, now time.Time) {
	switch f.mode {
	case Reset:
		b.signalReaders(sigReset, 1, now)
		return
	case Stall:
		b.signalReaders(sigMute, 2, now)
		return
	case Hang:
		b.signalReaders(sigMute, 1, now)
	}
	b.faults.set(f, now)
	if f.mode == Leaving || f.mode == None {
		// The first load report after the change must already show it.
		b.takeSample(now)
	}
}

// signalReaders ends the reader of each n-th open stream, in order of their
// keys, with the signal.
func (b *batch) signalReaders(g signal, n int, now time.Time) {
	open := []*stream{}
	for _, s := range b.streams {
		if s.reader != nil {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(s, t *stream) int { return compareKeys(s.key, t.key) })
	for i := 0; i < len(open); i += n {
		open[i].closeReader(g, now)
	}
}
