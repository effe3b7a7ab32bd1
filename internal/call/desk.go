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
	// arrivalRoom is the capacity of the ring of new calls; a call that finds it
	// full is refused.
	arrivalRoom = 4096
	// resultRoom is the capacity of the ring of results, whose senders wait.
	resultRoom = 8192
)

// Desk is the duty that owns the plain calls and claims of a VM. Its methods
// Serve and Claim are safe for concurrent use; Run is called once.
type Desk struct {
	claims   *claim.Core
	calls    *Core
	arrivals *ring.Ring[*ticket]
	results  *ring.Ring[message]
	// life ends with Run.
	life context.Context
	end  context.CancelFunc
	// attempts are the goroutines that send.
	attempts  sync.WaitGroup
	numbers   atomic.Uint64
	unsettled atomic.Int64
	// The fields below are owned by Run.
	tickets map[uint64]*ticket
	cancels map[attemptKey]context.CancelFunc
	peers   map[uint64]chan<- PeerReply
	// drains are closed once no call runs and every outcome is stored.
	drains []chan<- struct{}
	// backlog holds the messages that the desk sends to itself.
	backlog []message
	// The seams. read and write start a store operation and return false when
	// it was refused; else done is called once, from another goroutine.
	read  func(slot int, done func(r claim.Result, revision uint64, value []byte)) bool
	write func(slot int, revision uint64, value []byte, done func(r claim.Result, revision uint64)) bool
	// ask sends an operation to a peer in the same way.
	ask    func(peer string, a claim.Ask, done func(v claim.Verdict, r *claim.Record)) bool
	book   func(ctx context.Context, address string, l *plain.Call) plain.Result
	lookup func(ctx context.Context, address string, l *plain.Call) plain.Result
	now    func() time.Time
}

type attemptKey struct {
	number  uint64
	attempt int
}

// ticket is a caller's request at the desk.
type ticket struct {
	number   uint64
	service  *world.Service
	route    *world.Route
	call     *plain.Call
	deadline time.Time
	// keyed is true for a booking with an idempotency key.
	keyed bool
	key   claim.Digest
	body  claim.Digest
	// reply has room for the one answer.
	reply chan reply
	// left is true once the caller has left.
	left atomic.Bool
	// answered and sent are owned by the desk: the caller has its answer, and
	// the claim permitted to send.
	answered bool
	sent     bool
}

type reply struct {
	answer   *claim.Answer
	replayed bool
	problem  *errs.Problem
}

// PeerReply is the verdict on a peer's operation.
type PeerReply struct {
	verdict claim.Verdict
	record  *claim.Record
}

// message is an event for one of the cores.
type message struct {
	claim *claim.Event
	call  *Event
	// over is the attempt that ended.
	over attemptKey
	// gone is the ticket of a caller that left.
	gone *ticket
	// peer is set with the event of a peer's operation under ticket.
	peer   chan<- PeerReply
	ticket uint64
	// drain is closed once the desk is idle.
	drain chan<- struct{}
}

// NewDesk returns a desk that refuses bookings with a key until it has a store.
func NewDesk(claims *claim.Core, calls *Core, client *plain.Client) *Desk {
	life, end := context.WithCancel(context.Background())
	return &Desk{
		claims:   claims,
		calls:    calls,
		arrivals: ring.New[*ticket](arrivalRoom, ring.Refuse),
		results:  ring.New[message](resultRoom, ring.Wait),
		life:     life,
		end:      end,
		tickets:  map[uint64]*ticket{},
		cancels:  map[attemptKey]context.CancelFunc{},
		peers:    map[uint64]chan<- PeerReply{},
		read:     func(int, func(claim.Result, uint64, []byte)) bool { return false },
		write:    func(int, uint64, []byte, func(claim.Result, uint64)) bool { return false },
		ask:      func(string, claim.Ask, func(claim.Verdict, *claim.Record)) bool { return false },
		book:     client.Book,
		lookup:   client.Lookup,
		now:      time.Now,
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

// WithPeers sets how a claim operation is sent to a peer, with the same rules
// as the store operations. It must be called before Run.
func (d *Desk) WithPeers(ask func(peer string, a claim.Ask, done func(v claim.Verdict, r *claim.Record)) bool) *Desk {
	d.ask = ask
	return d
}

// Unsettled returns the number of outcomes that are not in the store yet. A VM
// that shuts down waits until it is zero, or repeats get "unknown".
func (d *Desk) Unsettled() int { return int(d.unsettled.Load()) }

// Pace sets the number of slot writes a second for this VM, above 0. It waits
// for room in the desk's ring until ctx ends.
func (d *Desk) Pace(ctx context.Context, rate float64) {
	d.results.Put(ctx, claimMessage(claim.WriteRateChanged(rate)))
}

// Drain waits until no call runs and every outcome is in the store. It returns
// an error when ctx ends first; new calls must not arrive meanwhile.
func (d *Desk) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	if d.results.Put(ctx, message{drain: idle}) {
		select {
		case <-idle:
			return nil
		case <-d.life.Done():
			return errors.New("call: the desk ended before it was drained")
		case <-ctx.Done():
		}
	}
	return errors.Wrapf(ctx.Err(), "call: drain with %d outcomes that are not stored", d.Unsettled())
}

// Run serves calls until ctx ends. Calls that run then have no known outcome.
func (d *Desk) Run(ctx context.Context) {
	defer d.attempts.Wait()
	defer d.end()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.wait())
		select {
		case <-ctx.Done():
			return
		case t := <-d.arrivals.Out():
			d.arrive(t)
		case m := <-d.results.Out():
			d.handle(m)
		case <-timer.C:
			d.stepClaims(claim.Tick())
			d.stepCalls(Tick())
		}
		for len(d.backlog) > 0 {
			m := d.backlog[0]
			d.backlog = d.backlog[1:]
			d.handle(m)
		}
		d.unsettled.Store(int64(d.claims.UnstoredOutcomes()))
		d.drained()
	}
}

// drained tells those who wait that the desk is idle.
func (d *Desk) drained() {
	if len(d.drains) == 0 || d.calls.Calls() > 0 || d.claims.Calls() > 0 || d.Unsettled() > 0 || d.arrivals.Len() > 0 {
		return
	}
	for _, c := range d.drains {
		close(c)
	}
	d.drains = nil
}

// wait returns the time until a core needs a tick.
func (d *Desk) wait() time.Duration {
	wait := time.Hour
	for _, at := range []time.Time{d.claims.Next(), d.calls.Next()} {
		if !at.IsZero() {
			wait = min(wait, at.Sub(d.now()))
		}
	}
	return max(wait, 0)
}

func (d *Desk) arrive(t *ticket) {
	if t.left.Load() {
		return
	}
	d.tickets[t.number] = t
	if t.keyed {
		d.stepClaims(claim.Begin(t.number, t.key, t.body, t.deadline))
		return
	}
	d.stepCalls(Begin(t.number, t.service, t.route, t.deadline))
}

func (d *Desk) handle(m message) {
	if m.peer != nil {
		d.peers[m.ticket] = m.peer
	}
	if m.claim != nil {
		d.stepClaims(*m.claim)
	}
	if m.call != nil {
		delete(d.cancels, m.over)
		d.stepCalls(*m.call)
	}
	if m.gone != nil {
		d.leave(m.gone)
	}
	if m.drain != nil {
		d.drains = append(d.drains, m.drain)
	}
}

// leave handles a caller that left. A call that was sent runs on if it is not
// idempotent.
func (d *Desk) leave(t *ticket) {
	switch {
	case t.keyed:
		d.stepClaims(claim.CallerLeft(t.number))
		if !t.sent {
			delete(d.tickets, t.number)
		}
	case t.route.Idempotent():
		d.stepCalls(Gone(t.number))
		delete(d.tickets, t.number)
	}
}

func (d *Desk) stepClaims(e claim.Event) {
	for _, a := range d.claims.Step(d.now(), e) {
		d.actClaim(a)
	}
}

func (d *Desk) actClaim(a claim.Action) {
	switch a.Kind() {
	case claim.Read:
		d.startRead(a)
	case claim.Write:
		d.startWrite(a)
	case claim.Send:
		if t := d.tickets[a.Number()]; t != nil {
			t.sent = true
			d.stepCalls(Begin(t.number, t.service, t.route, a.Deadline()))
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
		if p := d.peers[a.Number()]; p != nil {
			delete(d.peers, a.Number())
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
		d.backlog = append(d.backlog, claimMessage(claim.ReadDone(a.Slot(), claim.Unavailable, 0, nil)))
	}
}

func (d *Desk) startWrite(a claim.Action) {
	done := func(r claim.Result, revision uint64) {
		d.post(claimMessage(claim.WriteDone(a.Slot(), r, revision)))
	}
	if !d.write(a.Slot(), a.Revision(), a.Value(), done) {
		d.backlog = append(d.backlog, claimMessage(claim.WriteDone(a.Slot(), claim.Unavailable, 0)))
	}
}

func (d *Desk) forward(a claim.Action) {
	done := func(v claim.Verdict, r *claim.Record) {
		d.post(claimMessage(claim.PeerReplied(a.Number(), v, r)))
	}
	if !d.ask(a.Peer(), a.Operation(), done) {
		d.backlog = append(d.backlog, claimMessage(claim.PeerReplied(a.Number(), claim.Failed, nil)))
	}
}

func (d *Desk) stepCalls(e Event) {
	for _, a := range d.calls.Step(d.now(), e) {
		d.actCall(a)
	}
}

func (d *Desk) actCall(a Action) {
	switch a.Kind() {
	case Open:
		d.open(a)
	case Cancel:
		if cancel := d.cancels[keyOf(a)]; cancel != nil {
			cancel()
		}
	case Finish:
		d.finishCall(a)
	}
}

// finishCall hands the end of a call to its claim or to its caller.
func (d *Desk) finishCall(a Action) {
	t := d.tickets[a.Number()]
	if t == nil {
		return
	}
	if t.keyed {
		d.stepClaims(claim.Ended(a.Number(), outcome(a), a.Answer(), a.Problem()))
		delete(d.tickets, a.Number())
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

// open starts the duty of one attempt. Its context is the desk's, because a
// booking goes on when its caller leaves.
func (d *Desk) open(a Action) {
	t := d.tickets[a.Number()]
	ctx, cancel := context.WithCancel(d.life)
	d.cancels[keyOf(a)] = cancel
	send := d.book
	if t.route.Idempotent() {
		send = d.lookup
	}
	d.attempts.Go(func() {
		defer cancel()
		r := send(ctx, a.Upstream().Address(), t.call)
		e := Ended(a.Number(), a.Attempt(), r.Answer(), r.Problem())
		if r.Leaving() {
			e = e.Leaving()
		}
		d.post(message{
			call: &e,
			over: keyOf(a),
		})
	})
}

// finish answers the caller, once. The ticket of a sent booking stays until
// its attempts end.
func (d *Desk) finish(number uint64, r reply) {
	t := d.tickets[number]
	if t == nil || t.answered {
		return
	}
	t.answered = true
	t.reply <- r
	if !t.sent {
		delete(d.tickets, number)
	}
}

func claimMessage(e claim.Event) message {
	return message{
		claim: &e,
	}
}

// post hands a result to the desk; it waits while the ring is full.
func (d *Desk) post(m message) { d.results.Put(d.life, m) }
