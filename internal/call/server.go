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

// Server runs the plain calls and the claims of a VM. Run owns both cores and
// must be called once; the other methods, except those that must precede Run,
// are safe for concurrent use.
type Server struct {
	claims   *claim.Core
	calls    *Core
	arrivals *ring.Ring[*request]
	results  *ring.Ring[message]
	// runCtx is cancelled when Run returns.
	runCtx context.Context
	endRun context.CancelFunc
	// attempts counts the goroutines that send calls.
	attempts         sync.WaitGroup
	lastNumber       atomic.Uint64
	unstoredOutcomes atomic.Int64
	// The fields below are owned by Run.
	requests    map[uint64]*request
	cancels     map[attemptKey]context.CancelFunc
	peerReplies map[uint64]chan<- PeerReply
	// drainWaiters are closed once no call runs and every outcome is stored.
	drainWaiters []chan<- struct{}
	// localMessages are messages from Run to itself. Run handles them before it
	// waits again, as it would deadlock if it waited for space in results.
	localMessages []message
	// The functions below are the dependencies of the server. read and write start
	// a store operation and return false when they refuse it; otherwise they call
	// done once, from another goroutine.
	read  func(slot int, done func(r claim.Result, revision uint64, value []byte)) bool
	write func(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool
	// askPeer sends an operation to a peer, with the same rules for done.
	askPeer func(peer string, op claim.Operation, done func(v claim.Verdict, r *claim.Record)) bool
	book    func(ctx context.Context, address string, call *plain.Call) plain.Result
	lookup  func(ctx context.Context, address string, call *plain.Call) plain.Result
	// rewritten is called with the number of records that slots had lost and that are
	// written again.
	rewritten func(records int)
	// reportedRewrites counts the records that rewritten was called with.
	reportedRewrites int
	now              func() time.Time
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

// NewServer returns a server without a store and peers. It refuses bookings
// with a key unless WithStore is called.
func NewServer(claims *claim.Core, calls *Core, client *plain.Client) *Server {
	runCtx, endRun := context.WithCancel(context.Background())
	return &Server{
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
		askPeer:     func(string, claim.Operation, func(claim.Verdict, *claim.Record)) bool { return false },
		book:        client.Book,
		lookup:      client.Lookup,
		rewritten:   func(int) {},
		now:         time.Now,
	}
}

// WithStore sets the store operations. Each returns false when it refuses the
// operation; otherwise it calls done once, from another goroutine than the
// caller's. It must be called before Run.
func (s *Server) WithStore(
	read func(slot int, done func(r claim.Result, revision uint64, value []byte)) bool,
	write func(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool,
) *Server {
	s.read = read
	s.write = write
	return s
}

// WithPeers sets the function that sends a claim operation to a peer, with the
// same rules as the store operations. It must be called before Run.
func (s *Server) WithPeers(ask func(peer string, op claim.Operation, done func(v claim.Verdict, r *claim.Record)) bool) *Server {
	s.askPeer = ask
	return s
}

// WithRewritten makes the server call rewritten with the number of records that the store
// had lost and that are written again. It must be called before Run.
func (s *Server) WithRewritten(rewritten func(records int)) *Server {
	s.rewritten = rewritten
	return s
}

// UnstoredOutcomes returns the number of outcomes that are not in the store
// yet. If a VM shuts down before it is zero, repeats of those calls get the
// outcome unknown.
func (s *Server) UnstoredOutcomes() int { return int(s.unstoredOutcomes.Load()) }

// SetWriteRate sets the number of slot writes a second for this VM, which must
// be above 0. It waits for space in the ring of results until ctx ends.
func (s *Server) SetWriteRate(ctx context.Context, rate float64) {
	s.results.Put(ctx, claimMessage(claim.WriteRateChanged(rate)))
}

// Drain waits until no call runs and every outcome is in the store. It returns
// an error when ctx or Run ends first. No new calls may arrive meanwhile.
func (s *Server) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	if s.results.Put(ctx, message{drain: idle}) {
		select {
		case <-idle:
			return nil
		case <-s.runCtx.Done():
			return errors.New("call: stopped before the calls were drained")
		case <-ctx.Done():
		}
	}
	return errors.Wrapf(ctx.Err(), "call: drain ended with %d outcomes not stored", s.UnstoredOutcomes())
}

// Run serves calls until ctx ends. The outcome of calls in flight is then unknown.
func (s *Server) Run(ctx context.Context) {
	defer s.attempts.Wait()
	defer s.endRun()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.untilTick())
		select {
		case <-ctx.Done():
			return
		case rq := <-s.arrivals.Out():
			s.handleArrival(rq)
		case m := <-s.results.Out():
			s.handle(m)
		case <-timer.C:
			s.stepClaims(claim.Tick())
			s.stepCalls(Tick())
		}
		for len(s.localMessages) > 0 {
			m := s.localMessages[0]
			s.localMessages = s.localMessages[1:]
			s.handle(m)
		}
		s.unstoredOutcomes.Store(int64(s.claims.UnstoredOutcomes()))
		if n := s.claims.Rewritten(); n > s.reportedRewrites {
			s.rewritten(n - s.reportedRewrites)
			s.reportedRewrites = n
		}
		s.notifyDrained()
	}
}

// notifyDrained ends the waiting Drain calls if no call runs and every outcome is
// stored.
func (s *Server) notifyDrained() {
	if len(s.drainWaiters) == 0 || s.calls.Calls() > 0 || s.claims.Calls() > 0 || s.UnstoredOutcomes() > 0 || s.arrivals.Len() > 0 {
		return
	}
	for _, c := range s.drainWaiters {
		close(c)
	}
	s.drainWaiters = nil
}

// untilTick returns the time until a core needs a tick.
func (s *Server) untilTick() time.Duration {
	wait := time.Hour
	for _, at := range []time.Time{s.claims.Next(), s.calls.Next()} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(s.now()))
		}
	}
	return max(wait, 0)
}

func (s *Server) handleArrival(rq *request) {
	if rq.callerLeft.Load() {
		return
	}
	s.requests[rq.number] = rq
	if rq.keyed {
		s.stepClaims(claim.Begin(rq.number, rq.key, rq.body, rq.deadline))
		return
	}
	s.stepCalls(Begin(rq.number, rq.service, rq.route, rq.deadline))
}

func (s *Server) handle(m message) {
	if m.peerReply != nil {
		s.peerReplies[m.peerTicket] = m.peerReply
	}
	if m.claim != nil {
		s.stepClaims(*m.claim)
	}
	if m.call != nil {
		delete(s.cancels, m.endedAttempt)
		s.stepCalls(*m.call)
	}
	if m.callerLeft != nil {
		s.handleCallerLeft(m.callerLeft)
	}
	if m.drain != nil {
		s.drainWaiters = append(s.drainWaiters, m.drain)
	}
}

// handleCallerLeft handles a caller that left. A booking that was sent continues.
func (s *Server) handleCallerLeft(rq *request) {
	switch {
	case rq.keyed:
		s.stepClaims(claim.CallerLeft(rq.number))
		if !rq.sent {
			delete(s.requests, rq.number)
		}
	case rq.route.Idempotent():
		s.stepCalls(CallerLeft(rq.number))
		delete(s.requests, rq.number)
	}
}

func (s *Server) stepClaims(e claim.Event) {
	for _, a := range s.claims.Step(s.now(), e) {
		s.executeClaim(a)
	}
}

func (s *Server) executeClaim(a claim.Action) {
	switch a.Kind() {
	case claim.Read:
		s.startRead(a)
	case claim.Write:
		s.startWrite(a)
	case claim.Send:
		if rq := s.requests[a.Number()]; rq != nil {
			rq.sent = true
			s.stepCalls(Begin(rq.number, rq.service, rq.route, a.Deadline()))
		}
	case claim.Finish:
		s.finish(a.Number(), reply{
			answer:   a.Answer(),
			replayed: a.Replayed(),
			problem:  a.Problem(),
		})
	case claim.Forward:
		s.forward(a)
	case claim.Reply:
		if p := s.peerReplies[a.Number()]; p != nil {
			delete(s.peerReplies, a.Number())
			p <- PeerReply{
				verdict: a.Verdict(),
				record:  a.Record(),
			}
		}
	}
}

func (s *Server) startRead(a claim.Action) {
	done := func(r claim.Result, revision uint64, value []byte) {
		s.post(claimMessage(claim.ReadDone(a.Slot(), r, revision, value)))
	}
	if !s.read(a.Slot(), done) {
		s.localMessages = append(s.localMessages, claimMessage(claim.ReadDone(a.Slot(), claim.Unavailable, 0, nil)))
	}
}

func (s *Server) startWrite(a claim.Action) {
	done := func(r claim.Result, revision uint64) {
		s.post(claimMessage(claim.WriteDone(a.Slot(), r, revision)))
	}
	if !s.write(a.Slot(), a.Revision(), a.Value(), done) {
		s.localMessages = append(s.localMessages, claimMessage(claim.WriteDone(a.Slot(), claim.Unavailable, 0)))
	}
}

func (s *Server) forward(a claim.Action) {
	done := func(v claim.Verdict, r *claim.Record) {
		s.post(claimMessage(claim.PeerReplied(a.Number(), v, r)))
	}
	if !s.askPeer(a.Peer(), a.Operation(), done) {
		s.localMessages = append(s.localMessages, claimMessage(claim.PeerReplied(a.Number(), claim.Failed, nil)))
	}
}

func (s *Server) stepCalls(e Event) {
	for _, a := range s.calls.Step(s.now(), e) {
		s.executeCall(a)
	}
}

func (s *Server) executeCall(a Action) {
	switch a.Kind() {
	case Open:
		s.startAttempt(a)
	case Cancel:
		if cancel := s.cancels[keyOf(a)]; cancel != nil {
			cancel()
		}
	case Finish:
		s.finishCall(a)
	}
}

// finishCall passes the end of a call to its claim, or to its caller if it has no
// key.
func (s *Server) finishCall(a Action) {
	rq := s.requests[a.Number()]
	if rq == nil {
		return
	}
	if rq.keyed {
		s.stepClaims(claim.Ended(a.Number(), outcome(a), a.Answer(), a.Problem()))
		delete(s.requests, a.Number())
		return
	}
	s.finish(a.Number(), reply{
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
func (s *Server) startAttempt(a Action) {
	rq := s.requests[a.Number()]
	ctx, cancel := context.WithCancel(s.runCtx)
	s.cancels[keyOf(a)] = cancel
	send := s.book
	if rq.route.Idempotent() {
		send = s.lookup
	}
	s.attempts.Go(func() {
		defer cancel()
		r := send(ctx, a.Upstream().Address(), rq.call)
		e := Ended(a.Number(), a.Attempt(), r.Answer(), r.Problem())
		if r.Leaving() {
			e = e.Leaving()
		}
		s.post(message{
			call:         &e,
			endedAttempt: keyOf(a),
		})
	})
}

// finish sends the reply to the caller, once. The request of a sent booking is
// kept until its attempts end.
func (s *Server) finish(number uint64, r reply) {
	rq := s.requests[number]
	if rq == nil || rq.answered {
		return
	}
	rq.answered = true
	rq.reply <- r
	if !rq.sent {
		delete(s.requests, number)
	}
}

func claimMessage(e claim.Event) message {
	return message{
		claim: &e,
	}
}

// post sends a message to Run. It waits while the ring is full and Run has not
// ended.
func (s *Server) post(m message) { s.results.Put(s.runCtx, m) }
