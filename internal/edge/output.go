package edge

import (
	"context"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/ledger"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/ring"
)

const (
	// outputCap is the capacity of a request's output queue. It holds a
	// complete stream of 190 pieces, so only a caller that does not read at
	// all can fill it.
	outputCap = 512
	// maxUnread is the number of bytes of one stream that wait for its caller at most,
	// unless a single piece is larger. The stream is not read beyond that. It is more
	// than a stream of 190 pieces of 360 bytes.
	maxUnread = 256 << 10
	// pieceOverhead is the memory in bytes that a piece takes beside its bytes.
	pieceOverhead = 256
)

// Step is one action towards the caller of a request.
type Step struct {
	kind    proxy.ActionKind
	answer  *proxy.Answer
	bytes   []byte
	problem *errs.Problem
}

func newStep(a proxy.Action) Step {
	return Step{
		kind:    a.Kind(),
		answer:  a.Answer(),
		bytes:   a.Bytes(),
		problem: a.Problem(),
	}
}

// Kind returns what to do. It is SendHead, SendPiece or a final kind.
func (s Step) Kind() proxy.ActionKind { return s.kind }

// Answer returns the answer of SendHead and Deliver.
func (s Step) Answer() *proxy.Answer { return s.answer }

// Bytes returns the encoded piece that SendPiece sends.
func (s Step) Bytes() []byte { return s.bytes }

// Problem returns the problem response that Refuse sends.
func (s Step) Problem() *errs.Problem { return s.problem }

// Output is the queue of the steps towards one caller. The pieces in it, and those on
// their way to it, take bytes of the VM's account.
type Output struct {
	steps *ring.Ring[Step]
	held  *ledger.Holding
}

// NewOutput returns a queue for up to capacity steps, whose pieces held takes.
func NewOutput(capacity int, held *ledger.Holding) *Output {
	return &Output{
		steps: ring.New[Step](capacity, ring.Refuse),
		held:  held,
	}
}

// Put adds a step and reports whether there was room.
func (o *Output) Put(ctx context.Context, s Step) bool { return o.steps.Put(ctx, s) }

// Out returns the channel from which the steps are received.
func (o *Output) Out() <-chan Step { return o.steps.Out() }

// Ended reports whether a step was refused and no other one is left.
func (o *Output) Ended() bool { return o.steps.Len() == 0 && o.steps.Refused() > 0 }

// Done returns the bytes of a step that the caller was sent.
func (o *Output) Done(s Step) {
	if s.kind == proxy.SendPiece {
		o.held.Give(pieceSize(s.bytes))
	}
}

// Close returns all bytes of the queue. Nothing may be taken from it afterwards.
func (o *Output) Close() { o.held.Close() }

// pieceSize returns the memory that a piece takes.
func pieceSize(b []byte) int64 { return int64(len(b)) + pieceOverhead }

// flow returns a function that passes the events of an attempt on to the dispatcher. It
// blocks while the caller does not take the pieces of the stream as fast as they come.
func (d *Dispatcher) flow(ctx context.Context, number uint64, attempt int, held *ledger.Holding) func(proxy.Event) {
	return func(e proxy.Event) {
		if e.Kind() != proxy.Piece || held.TryTake(pieceSize(e.Bytes()), maxUnread) {
			d.notify(ctx, e)
			return
		}
		d.notify(ctx, proxy.NewHeldBack(number, attempt, true))
		if held.Wait(ctx, pieceSize(e.Bytes()), maxUnread) {
			d.notify(ctx, proxy.NewHeldBack(number, attempt, false))
			d.notify(ctx, e)
		}
	}
}
