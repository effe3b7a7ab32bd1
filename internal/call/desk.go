package call

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/plain"
	"clementinelink.example/clementinelink/internal/ring"
	"clementinelink.example/clementinelink/internal/world"
)

const (
	// arrivalCapacity is the capacity of the ring of new calls. A call that finds the
	// ring full is refused.
	arrivalCapacity = 4096
	// resultCapacity is the capacity of the ring of results. Senders wait while the
	// ring is full.
	resultCapacity = 8192
)

// Desk runs the plain calls and the claims of a VM. Run owns both cores and must
// be called once; the other methods, except those that must precede Run, are safe
// for concurrent use.
type Desk struct {
	claims   *claim.Core
	calls    *Core
	arrivals *ring.Ring[*request]
	results  *ring.Ring[message]
	// runCtx is cancelled when Run returns.
	runCtx context.Context
	endRun context.CancelFunc
	// attempts counts the goroutines that send calls.
	attempts   sync.WaitGroup
	lastNumber atomic.Uint64
	unsettled  atomic.Int64
	// The fields below are owned by Run.
	requests    map[uint64]*request
	cancels     map[attemptKey]context.CancelFunc
	peerReplies map[uint64]chan<- PeerReply
	// drainWaiters are closed once no call runs and every outcome is stored.
	drainWaiters []chan<- struct{}
	// localMessages are messages from Run to itself. Run handles them before it
	// waits again, as it would deadlock if it waited for space in results.
	localMessages []message
	// The functions below are the dependencies of the desk. read and write start a
	// store operation and return false when they refuse it; otherwise they call
	// done once, from another goroutine.
	read  func(slot int, done func(r claim.Result, revision uint64, value []byte)) bool
	write func(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool
	// askPeer sends an operation to a peer, with the same rules for done.
	askPeer func(peer string, a claim.Ask, done func(v claim.Verdict, r *claim.Record)) bool
	book    func(ctx context.Context, address string, call *plain.Call) plain.Result
	lookup  func(ctx context.Context, address string, call *plain.Call) plain.Result
	now     func() time.Time
}

type attemptKey struct {
	number  uint64
	attempt int
}

// request is a caller's request and the state of its call.
type request struct {
	number   uint64
	service  *world.Service
	route    *world.Route
	call     *plain.Call
	deadline time.Time
	// keyed is true for a booking with an idempotency key.
	keyed bool
	key   claim.Digest
	body  claim.Digest
	// reply is buffered for the single reply, so that Run never blocks on it.
	reply chan reply
	// callerLeft is true once the caller has left.
	callerLeft atomic.Bool
	// answered is true once the reply was sent, sent once the claim core has
	// emitted Send. Both are owned by Run.
	answered bool
	sent     bool
}

type reply struct {
	answer   *claim.Answer
	replayed bool
	problem  *errs.Problem
}

// PeerReply is the reply to an operation that a peer asked for. The zero value
// means that the operation failed.
type PeerReply struct {
	verdict claim.Verdict
	record  *claim.Record
}

// message is an input of Run: an event for one of the cores, a caller that left
// or a request to drain.
type message struct {
	claim *claim.Event
	call  *Event
	// endedAttempt identifies the attempt that ended with the event call.
	endedAttempt attemptKey
	// callerLeft is the request of a caller that has left.
	callerLeft *request
	// peerReply and peerTicket are set with the event of a peer's operation: the
	// channel for its reply and the ticket that identifies the reply.
	peerReply  chan<- PeerReply
	peerTicket uint64
	// drain is closed once no call runs and every outcome is stored.
	drain chan<- struct{}
}

// NewDesk returns a desk without a store and peers. It refuses bookings with a
// key unless WithStore is called.
func NewDesk(claims *claim.Core, calls *Core, client *plain.Client) *Desk {
	runCtx, endRun := context.WithCancel(context.Background())
	return &Desk{
		claims:      claims,
		calls:       calls,
		arrivals:    ring.New[*request](arrivalCapacity, ring.Refuse),
		results:     ring.New[message](resultCapacity, ring.Wait),
		runCtx:      runCtx,
		endRun:      endRun,
		requests:    map[uint64]*request{},
		cancels:     map[attemptKey]context.CancelFunc{},
		peerReplies: map[uint64]chan<- PeerReply{},
		read:        func(int, func(claim.Result, uint64, []byte)) bool { return false },
		write:       func(int, uint64, []byte, func(claim.Result, uint64)) bool { return false },
		askPeer:     func(string, claim.Ask, func(claim.Verdict, *claim.Record)) bool { return false },
		book:        client.Book,
		lookup:      client.Lookup,
		now:         time.Now,
	}
}

// WithStore sets the store operations. Each returns false when it refuses the
// operation; otherwise it calls done once, from another goroutine than the
// caller's. It must be called before Run.
func (d *Desk) WithStore(
	read func(slot int, done func(r claim.Result, revision uint64, value []byte)) bool,
	write func(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool,
) *Desk {
	d.read = read
	d.write = write
	return d
}

// WithPeers sets the function that sends a claim operation to a peer, with the
// same rules as the store operations. It must be called before Run.
func (d *Desk) WithPeers(ask func(peer string, a claim.Ask, done func(v claim.Verdict, r *claim.Record)) bool) *Desk {
	d.askPeer = ask
	return d
}

// Unsettled returns the number of outcomes that are not in the store yet. If a VM
// shuts down before it is zero, repeats of those calls get the outcome unknown.
func (d *Desk) Unsettled() int { return int(d.unsettled.Load()) }

// Pace sets the number of slot writes a second for this VM, which must be above
// 0. It waits for space in the ring of results until ctx ends.
func (d *Desk) Pace(ctx context.Context, rate float64) {
	d.results.Put(ctx, claimMessage(claim.WriteRateChanged(rate)))
}

// Drain waits until no call runs and every outcome is in the store. It returns
// an error when ctx or Run ends first. No new calls may arrive meanwhile.
func (d *Desk) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	if d.results.Put(ctx, message{drain: idle}) {
		select {
		case <-idle:
			return nil
		case <-d.runCtx.Done():
			return errors.New("call: stopped before the calls were drained")
		case <-ctx.Done():
		}
	}
	return errors.Wrapf(ctx.Err(), "call: drain ended with %d outcomes not stored", d.Unsettled())
}

// Run serves calls until ctx ends. The outcome of calls in flight is then unknown.
func (d *Desk) Run(ctx context.Context) {
	defer d.attempts.Wait()
	defer d.endRun()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.untilTick())
		select {
		case <-ctx.Done():
			return
		case rq := <-d.arrivals.Out():
			d.handleArrival(rq)
		case m := <-d.results.Out():
			d.handle(m)
		case <-timer.C:
			d.stepClaims(claim.Tick())
			d.stepCalls(Tick())
		}
		for len(d.localMessages) > 0 {
			m := d.localMessages[0]
			d.localMessages = d.localMessages[1:]
			d.handle(m)
		}
		d.unsettled.Store(int64(d.claims.UnstoredOutcomes()))
		d.notifyDrained()
	}
}

// notifyDrained ends the waiting Drain calls if no call runs and every outcome is
// stored.
func (d *Desk) notifyDrained() {
	if len(d.drainWaiters) == 0 || d.calls.Calls() > 0 || d.claims.Calls() > 0 || d.Unsettled() > 0 || d.arrivals.Len() > 0 {
		return
	}
	for _, c := range d.drainWaiters {
		close(c)
	}
	d.drainWaiters = nil
}

// untilTick returns the time until a core needs a tick.
func (d *Desk) untilTick() time.Duration {
	wait := time.Hour
	for _, at := range []time.Time{d.claims.Next(), d.calls.Next()} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(d.now()))
		}
	}
	return max(wait, 0)
}

func (d *Desk) handleArrival(rq *request) {
	if rq.callerLeft.Load() {
		return
	}
	d.requests[rq.number] = rq
	if rq.keyed {
		d.stepClaims(claim.Begin(rq.number, rq.key, rq.body, rq.deadline))
		return
	}
	d.stepCalls(Begin(rq.number, rq.service, rq.route, rq.deadline))
}

func (d *Desk) handle(m message) {
	if m.peerReply != nil {
		d.peerReplies[m.peerTicket] = m.peerReply
	}
	if m.claim != nil {
		d.stepClaims(*m.claim)
	}
	if m.call != nil {
		delete(d.cancels, m.endedAttempt)
		d.stepCalls(*m.call)
	}
	if m.callerLeft != nil {
		d.handleCallerLeft(m.callerLeft)
	}
	if m.drain != nil {
		d.drainWaiters = append(d.drainWaiters, m.drain)
	}
}

// handleCallerLeft handles a caller that left. A booking that was sent continues.
func (d *Desk) handleCallerLeft(rq *request) {
	switch {
	case rq.keyed:
		d.stepClaims(claim.CallerLeft(rq.number))
		if !rq.sent {
			delete(d.requests, rq.number)
		}
	case rq.route.Idempotent():
		d.stepCalls(CallerLeft(rq.number))
		delete(d.requests, rq.number)
	}
}

func (d *Desk) stepClaims(e claim.Event) {
	for _, a := range d.claims.Step(d.now(), e) {
		d.executeClaim(a)
	}
}

func (d *Desk) executeClaim(a claim.Action) {
	switch a.Kind() {
	case claim.Read:
		d.startRead(a)
	case claim.Write:
		d.startWrite(a)
	case claim.Send:
		if rq := d.requests[a.Number()]; rq != nil {
			rq.sent = true
			d.stepCalls(Begin(rq.number, rq.service, rq.route, a.Deadline()))
		}
	case claim.Finish:
		d.finish(a.Number(), reply{
			answer:   a.Answer(),
			replayed: a.Replayed(),
			problem:  a.Problem(),
		})
	case claim.Forward:
		d.forward(a)
	case claim.Reply:
		if p := d.peerReplies[a.Number()]; p != nil {
			delete(d.peerReplies, a.Number())
			p <- PeerReply{
				verdict: a.Verdict(),
				record:  a.Record(),
			}
		}
	}
}

func (d *Desk) startRead(a claim.Action) {
	done := func(r claim.Result, revision uint64, value []byte) {
		d.post(claimMessage(claim.ReadDone(a.Slot(), r, revision, value)))
	}
	if !d.read(a.Slot(), done) {
		d.localMessages = append(d.localMessages, claimMessage(claim.ReadDone(a.Slot(), claim.Unavailable, 0, nil)))
	}
}

func (d *Desk) startWrite(a claim.Action) {
	done := func(r claim.Result, revision uint64) {
		d.post(claimMessage(claim.WriteDone(a.Slot(), r, revision)))
	}
	if !d.write(a.Slot(), a.Revision(), a.Value(), done) {
		d.localMessages = append(d.localMessages, claimMessage(claim.WriteDone(a.Slot(), claim.Unavailable, 0)))
	}
}

func (d *Desk) forward(a claim.Action) {
	done := func(v claim.Verdict, r *claim.Record) {
		d.post(claimMessage(claim.PeerReplied(a.Number(), v, r)))
	}
	if !d.askPeer(a.Peer(), a.Operation(), done) {
		d.localMessages = append(d.localMessages, claimMessage(claim.PeerReplied(a.Number(), claim.Failed, nil)))
	}
}

func (d *Desk) stepCalls(e Event) {
	for _, a := range d.calls.Step(d.now(), e) {
		d.executeCall(a)
	}
}

func (d *Desk) executeCall(a Action) {
	switch a.Kind() {
	case Open:
		d.startAttempt(a)
	case Cancel:
		if cancel := d.cancels[keyOf(a)]; cancel != nil {
			cancel()
		}
	case Finish:
		d.finishCall(a)
	}
}

// finishCall passes the end of a call to its claim, or to its caller if it has no
// key.
func (d *Desk) finishCall(a Action) {
	rq := d.requests[a.Number()]
	if rq == nil {
		return
	}
	if rq.keyed {
		d.stepClaims(claim.Ended(a.Number(), outcome(a), a.Answer(), a.Problem()))
		delete(d.requests, a.Number())
		return
	}
	d.finish(a.Number(), reply{
		answer:  a.Answer(),
		problem: a.Problem(),
	})
}

func outcome(a Action) errs.Outcome {
	if a.Problem() != nil {
		return a.Problem().Outcome()
	}
	return errs.Ran
}

func keyOf(a Action) attemptKey {
	return attemptKey{
		number:  a.Number(),
		attempt: a.Attempt(),
	}
}

// startAttempt starts the goroutine of one attempt. Its context is derived from
// runCtx and not from the caller's, because a booking continues when its caller
// leaves.
func (d *Desk) startAttempt(a Action) {
	rq := d.requests[a.Number()]
	ctx, cancel := context.WithCancel(d.runCtx)
	d.cancels[keyOf(a)] = cancel
	send := d.book
	if rq.route.Idempotent() {
		send = d.lookup
	}
	d.attempts.Go(func() {
		defer cancel()
		r := send(ctx, a.Upstream().Address(), rq.call)
		e := Ended(a.Number(), a.Attempt(), r.Answer(), r.Problem())
		if r.Leaving() {
			e = e.Leaving()
		}
		d.post(message{
			call:         &e,
			endedAttempt: keyOf(a),
		})
	})
}

// finish sends the reply to the caller, once. The request of a sent booking is
// kept until its attempts end.
func (d *Desk) finish(number uint64, r reply) {
	rq := d.requests[number]
	if rq == nil || rq.answered {
		return
	}
	rq.answered = true
	rq.reply <- r
	if !rq.sent {
		delete(d.requests, number)
	}
}

func claimMessage(e claim.Event) message {
	return message{
		claim: &e,
	}
}

// post sends a message to Run. It waits while the ring is full and Run has not
// ended.
func (d *Desk) post(m message) { d.results.Put(d.runCtx, m) }
