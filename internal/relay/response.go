package relay

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
)

const (
	// maxLive is the number of attempts that may work on a response at once:
	// a suspect one and its hedge.
	maxLive = 2
	// avoidLast is the number of engines that failed this response last and
	// are not chosen for it again while others accept.
	avoidLast = 3
	// maxFailures bounds attempts that end before a token for other reasons than
	// the loss of an engine or a full one.
	maxFailures = 8
	// freeRefusals attempts that end so are followed by another one at once, as
	// far as the retry budget goes. Each further one is followed by a pause that
	// doubles from shortRest to longRest. The pauses add up to more than 1 s, so
	// that a short fault of the last engines in reach does not fail a request
	// that has time left.
	freeRefusals = 3
	shortRest    = 50 * time.Millisecond
	longRest     = 500 * time.Millisecond
)

// Response is the state of one caller's generation. It is owned by one duty.
type Response struct {
	request *Request
	policy  *Policy
	version string
	// tokens holds every accepted token id in order; index equals position.
	tokens []uint32
	// digest is the rolling hash of tokens.
	digest uint64
	// from is the number of tokens that the caller had before it reconnected.
	// Tokens below it are accepted but not emitted.
	from int
	// live holds at most maxLive attempts, the oldest first.
	live []*attempt
	// next is the number of the next attempt; numbers are never reused.
	next uint32
	// source is the attempt that gave the latest token.
	source *attempt
	// heir is the attempt of an earlier response that this one takes over.
	heir  *attempt
	avoid []*fleet.Engine
	// refusals counts the attempts that ended before a token for other reasons
	// than the loss of an engine, and failures those of them on an engine that
	// was not full.
	refusals int
	failures int
	// rest is the time until which no attempt is opened after refusals.
	rest time.Time
	// shortAt is one more than the index of a finish that came too early, or 0.
	shortAt int
	// taken counts the attempts that an engine may have taken. Those that it
	// refused or that never reached it are not among them.
	taken int
	// waiting is true while no engine accepts the next attempt.
	waiting bool
	// gone is the time at which the caller disconnected, or zero.
	gone  time.Time
	ended bool
	stats Stats
}

// NewResponse returns the response to a request on a version. A request that
// resumes keeps the version of its cursor.
func NewResponse(request *Request, version string, policy *Policy) *Response {
	r := &Response{
		request: request,
		policy:  policy,
		version: version,
		next:    1,
	}
	if s := request.Resume(); s != nil {
		r.version = s.Version()
		r.from = s.Offset()
		r.next = (s.Attempt()>>epochShift+1)<<epochShift + 1
	}
	return r
}

// Takeover returns the response to a caller that reconnects while the earlier
// response old still runs on this VM. It knows the delivered tokens, and goes
// on with the stream that gave the newest one.
func Takeover(old *Response, request *Request, out []Action) (*Response, []Action) {
	r := NewResponse(request, old.version, old.policy)
	s := request.Resume()
	if s.Offset() <= len(old.tokens) {
		r.tokens = old.tokens[:s.Offset():s.Offset()]
		r.digest = s.Digest()
	}
	for _, a := range old.live {
		if a == old.source {
			out = append(out, Action{
				kind:    Detach,
				request: request,
				engine:  a.engine,
				attempt: a.number,
			})
			r.heir = a
		} else {
			out = r.cancel(a, out)
		}
		a.release()
	}
	r.next = max(r.next, (old.next>>epochShift+1)<<epochShift+1)
	old.live = nil
	old.ended = true
	return r, out
}

// Request returns the request.
func (r *Response) Request() *Request { return r.request }

// Version returns the version that generates the response.
func (r *Response) Version() string { return r.version }

// Delivered returns the number of accepted tokens.
func (r *Response) Delivered() int { return len(r.tokens) }

// Continues reports whether the next attempt continues delivered output.
func (r *Response) Continues() bool { return len(r.tokens) > 0 || r.from > 0 }

// Started returns the time at which the response was admitted, or now before
// that.
func (r *Response) Started(now time.Time) time.Time {
	if r.stats.started.IsZero() {
		return now
	}
	return r.stats.started
}

// Waiting reports whether the response waits for an engine.
func (r *Response) Waiting() bool { return r.waiting && !r.ended }

// On returns the number of the attempt that runs on the named engine, or 0.
func (r *Response) On(engine string) uint32 {
	for _, a := range r.live {
		if a.engine.Name() == engine {
			return a.number
		}
	}
	return 0
}

// Ended reports whether the response is over.
func (r *Response) Ended() bool { return r.ended }

// Stats returns the response's measurements.
func (r *Response) Stats() *Stats { return &r.stats }

// Rebind moves a response that has no token yet to another version. Failures
// so far stay those of the version that it leaves.
func (r *Response) Rebind(version string) {
	if !r.Continues() && len(r.live) == 0 && version != r.version {
		r.stats.leave(r.version)
		r.version = version
	}
}

// Start begins the first attempt: for a reconnect on the stream that the
// cursor names, else on a chosen engine.
func (r *Response) Start(now time.Time, out []Action) []Action {
	r.stats.started = now
	s := r.request.Resume()
	if s == nil {
		return r.open(now, out)
	}
	if r.heir != nil {
		return r.attach(now, r.heir.engine, r.heir.number, out)
	}
	if e := r.policy.find(s.Engine(), s.Address()); e != nil && e.State() != fleet.Dead {
		return r.attach(now, e, s.Attempt(), out)
	}
	return r.open(now, out)
}

// Token handles a token of an attempt.
func (r *Response) Token(now time.Time, number uint32, index int, id uint32, text string, out []Action) []Action {
	a := r.find(number)
	if a == nil {
		r.stats.extra++
		return out
	}
	if a.broken && a.last.IsZero() {
		r.stats.truncated++
	}
	a.observe(now)
	switch {
	case index < len(r.tokens):
		r.stats.extra++
		return out
	case index > len(r.tokens):
		return r.Lost(now, number, Bad, out)
	}
	r.tokens = append(r.tokens, id)
	r.digest = roll(r.digest, id)
	out = r.fence(a, out)
	r.source = a
	r.stats.token(now)
	return r.emit(now, text, out)
}

// Finish handles the end of an attempt. A finish at another index than the
// next one belongs to a stream with a gap or a truncated one.
func (r *Response) Finish(now time.Time, number uint32, index int, reason string, prompt int, out []Action) []Action {
	a := r.find(number)
	if a == nil {
		return out
	}
	if index != len(r.tokens) || index < r.from {
		return r.Lost(now, number, Bad, out)
	}
	if r.early(index, reason) {
		r.stats.truncated++
		return r.Lost(now, number, Bad, out)
	}
	a.observe(now)
	out = r.fence(a, out)
	a.release()
	r.live = nil
	r.source = a
	r.stats.finish(now)
	out = append(out, Action{
		kind:    Emit,
		request: r.request,
		output:  NewDone(reason, prompt, r.position()),
	})
	return r.end(out)
}

// early reports whether a finish comes before the limit without a reason, as a
// bad version gives it. It is accepted when a second engine agrees, because a
// model's own limit looks the same.
func (r *Response) early(index int, reason string) bool {
	if index > 0 && (reason != "length" || index >= r.request.Limit()) {
		return false
	}
	if r.shortAt == index+1 {
		return false
	}
	r.shortAt = index + 1
	return true
}

// Lost handles an attempt that ended without a finish.
func (r *Response) Lost(now time.Time, number uint32, cause Cause, out []Action) []Action {
	a := r.find(number)
	if a == nil {
		return out
	}
	if cause == Bad || cause == Silent {
		out = r.cancel(a, out)
	}
	r.drop(a)
	r.note(now, a, cause)
	if r.healthy() {
		return out
	}
	if cause == Reset && !r.policy.restart && !a.attached && !a.last.IsZero() && a.engine.State() == fleet.Live {
		out = r.attach(now, a.engine, a.number, out)
		r.live[len(r.live)-1].broken = true
		return out
	}
	r.shun(a.engine)
	if cause != Bad && cause != Refused && (cause != Absent || a.attached) {
		return r.open(now, out)
	}
	r.refusals++
	// A full engine is no failure: the request waits until its deadline.
	if cause != Refused {
		r.failures++
	}
	if r.failures > maxFailures {
		return r.fail(now, errs.New(errs.Unavailable, r.outcome(), "engines keep failing this request: %s", cause), out)
	}
	if r.refusals <= freeRefusals && r.policy.retry(now) {
		return r.open(now, out)
	}
	r.rest = now.Add(min(shortRest<<min(max(r.refusals-freeRefusals-1, 0), maxFailures), longRest))
	r.waiting = true
	return out
}

// Resting reports whether the response pauses after refusals.
func (r *Response) Resting(now time.Time) bool { return now.Before(r.rest) }

// Gone handles the caller's disconnect. The generation goes on for the
// request's grace, so that a reconnect can take it over.
func (r *Response) Gone(now time.Time, out []Action) []Action {
	r.gone = now
	if r.request.Grace() > 0 {
		return out
	}
	return r.abandon(out)
}

// Stop ends the response with a problem.
func (r *Response) Stop(now time.Time, p *errs.Problem, out []Action) []Action {
	return r.fail(now, p, out)
}

// Retry looks for an engine again while the response waits for one.
func (r *Response) Retry(now time.Time, out []Action) []Action {
	if !r.Waiting() || r.Resting(now) {
		return out
	}
	return r.open(now, out)
}

// Tick handles the passing of time: the deadline, silence and abandonment.
func (r *Response) Tick(now time.Time, out []Action) []Action {
	if r.ended {
		return out
	}
	if !r.gone.IsZero() && !now.Before(r.gone.Add(r.request.Grace())) {
		return r.abandon(out)
	}
	if !now.Before(r.request.Deadline()) {
		return r.expire(now, out)
	}
	for _, a := range slices.Clone(r.live) {
		if !a.suspect && !now.Before(a.due(now)) {
			out = r.suspect(now, a, out)
		}
	}
	return out
}

// Wake returns the time at which Tick is due next.
func (r *Response) Wake(now time.Time) time.Time {
	at := r.request.Deadline()
	if !r.gone.IsZero() {
		at = earlier(at, r.gone.Add(r.request.Grace()))
	}
	for _, a := range r.live {
		if !a.suspect {
			at = earlier(at, a.check(now))
		}
	}
	return at
}

// position returns the cursor content after the newest token, or nil.
func (r *Response) position() *Resume {
	if r.source == nil || len(r.tokens) < r.from {
		return r.request.Resume()
	}
	vm := r.source.engine.VM()
	return NewResume(r.version, vm.Name(), vm.Address(), r.source.number, len(r.tokens), r.digest)
}

// shun avoids the engine for the next attempts of this response.
func (r *Response) shun(e *fleet.Engine) {
	if slices.Contains(r.avoid, e) {
		return
	}
	r.avoid = append(r.avoid, e)
	if len(r.avoid) > avoidLast {
		r.avoid = slices.Clone(r.avoid[1:])
	}
}

func (r *Response) drop(a *attempt) {
	a.release()
	r.live = slices.DeleteFunc(r.live, func(b *attempt) bool { return a == b })
}

// healthy reports whether an attempt that is not suspect works on the
// response.
func (r *Response) healthy() bool {
	return slices.ContainsFunc(r.live, func(a *attempt) bool { return !a.suspect })
}

func (r *Response) find(number uint32) *attempt {
	for _, a := range r.live {
		if a.number == number {
			return a
		}
	}
	return nil
}

// roll extends the hash of the delivered tokens by one id.
func roll(digest uint64, id uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:], digest)
	binary.LittleEndian.PutUint32(b[8:], id)
	return xxhash.Sum64(b[:])
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
