package claim

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// callState is the progress of a local call. It starts as claiming and becomes
// sending once its claim is stored.
type callState uint8

const (
	claiming callState = iota
	sending
	// detached is the state of a sent call whose caller has left or already has
	// an outcome.
	detached
)

type call struct {
	number    uint64
	operation Operation
	state     callState
	// claimOp is the claim in progress, or nil while the call waits for the
	// outcome of another call with the key.
	claimOp *pendingOp
	// maybeWritten is true when a claim of this call is stored or may still be.
	maybeWritten bool
	// otherClaim is the last record of another claim that was seen for the key.
	otherClaim *Record
	// pollAt is the time of the next attempt to claim the key while another claim
	// holds it.
	pollAt       time.Time
	pollInterval time.Duration
}

func (c *Core) beginCall(now time.Time, e Event) {
	a := e.operation
	a.id = NewID(c.incarnation, e.number)
	cl := &call{
		number:       e.number,
		operation:    a,
		pollInterval: minPollInterval,
	}
	if len(c.calls) >= maxCalls {
		c.finish(cl, nil, errs.New(errs.Overload, errs.NotRun, "too many calls with a key; the call was not sent").WithRetry(time.Second))
		return
	}
	c.calls[e.number] = cl
	c.scheduleTick(a.deadline)
	if c.sendBeforeClaim != nil && c.sendBeforeClaim() {
		c.send(cl)
		return
	}
	c.startClaim(now, cl)
}

func (c *Core) startClaim(now time.Time, cl *call) {
	cl.claimOp = &pendingOp{
		operation:    cl.operation,
		arrivedAt:    now,
		maybeWritten: cl.maybeWritten,
	}
	c.submit(now, cl.claimOp)
}

func (c *Core) send(cl *call) {
	cl.state = sending
	c.scheduleTick(cl.operation.deadline.Add(outcomeSlack))
	c.emit(Action{
		kind:     Send,
		number:   cl.number,
		deadline: cl.operation.deadline,
	})
}

func (c *Core) handleVerdict(now time.Time, cl *call, v Verdict, r *Record) {
	if cl.state != claiming {
		return
	}
	switch v {
	case Acquired:
		cl.maybeWritten = true
		if !now.Before(cl.operation.deadline) {
			c.finishTooLate(now, cl)
			return
		}
		c.send(cl)
	case Held:
		cl.otherClaim = r
		cl.pollAt = now.Add(cl.pollInterval)
		cl.pollInterval = min(2*cl.pollInterval, maxPollInterval)
		c.scheduleTick(cl.pollAt)
	case Found:
		c.finishFromRecord(now, cl, r)
	case Mismatch:
		c.finishUnsent(now, cl, nil, errs.New(errs.Mismatch, errs.NotRun, "the key was used with another request; this one was not sent"))
	case Full:
		c.finishUnsent(now, cl, nil, errs.New(errs.Overload, errs.NotRun, "too many keys are kept; the call was not sent").WithRetry(time.Minute))
	case TooLate:
		c.finishTooLate(now, cl)
	default:
		c.finishUnstored(now, cl)
	}
}

// finishFromRecord finishes a call with the outcome of an earlier call with the
// key.
func (c *Core) finishFromRecord(now time.Time, cl *call, r *Record) {
	switch {
	case !r.hasBody(cl.operation.body):
		c.handleVerdict(now, cl, Mismatch, r)
	case r.GetState() == State_UNKNOWN:
		c.finishUnsent(now, cl, nil, errs.New(errs.Expired, errs.Unknown, "the first call with this key has no known outcome and is not repeated"))
	case r.GetTruncated():
		c.finishUnsent(now, cl, AnswerOf(r), errs.New(errs.Internal, errs.Ran, "the first call with this key was answered with status %d; its body was not kept", r.GetStatus()))
	default:
		c.finishUnsent(now, cl, AnswerOf(r), nil)
	}
}

// finishUnstored finishes a call whose claim can't be stored. If this VM knows of
// an earlier call with the key, the call gets the outcome of that one.
func (c *Core) finishUnstored(now time.Time, cl *call) {
	s := c.slot(cl.operation.key)
	r := cl.otherClaim
	if s.table != nil {
		if known := s.table.get(cl.operation.key, now); known != nil {
			r = known
		}
	}
	if o := s.pendingOutcome(cl.operation.key); o != nil {
		r = o.operation.newRecord(now)
	}
	switch {
	case r == nil || r.GetState() == State_NOT_RUN || r.holder() == cl.operation.id || r.expired(now):
		c.finishUnsent(now, cl, nil, errs.New(errs.Unavailable, errs.NotRun, "the claim store is not available; the call was not sent and may be repeated with the same key").WithRetry(2*time.Second))
	case r.final():
		c.finishFromRecord(now, cl, r)
	default:
		c.finishInProgress(now, cl)
	}
}

func (c *Core) finishInProgress(now time.Time, cl *call) {
	c.finishUnsent(now, cl, nil, errs.New(errs.InProgress, errs.Unknown, "the first call with this key has no outcome yet; repeat with the same key").WithRetry(2*time.Second))
}

// finishTooLate finishes a call whose claim was not stored before its deadline.
func (c *Core) finishTooLate(now time.Time, cl *call) {
	if cl.otherClaim != nil {
		c.finishInProgress(now, cl)
		return
	}
	c.finishUnsent(now, cl, nil, errs.New(errs.Expired, errs.NotRun, "the claim was not stored before the deadline; the call was not sent").WithRetry(time.Second))
}

// finishUnsent finishes a call that was not sent and releases its claim, so that
// the next call with the key can run.
func (c *Core) finishUnsent(now time.Time, cl *call, a *Answer, p *errs.Problem) {
	c.finish(cl, a, p)
	c.releaseCall(now, cl)
}

// releaseCall forgets a call that was not sent. If its claim is stored or may
// still be, the outcome NOT_RUN is recorded.
func (c *Core) releaseCall(now time.Time, cl *call) {
	delete(c.calls, cl.number)
	maybeWritten := cl.maybeWritten
	if cl.claimOp != nil {
		cl.claimOp.abandoned = true
		maybeWritten = maybeWritten || cl.claimOp.maybeWritten || !c.queued(cl.claimOp)
	}
	if maybeWritten {
		c.recordOutcome(now, cl.operation.WithOutcome(State_NOT_RUN, nil))
	}
}

// finish gives the caller of an unsent call its outcome. An answer is the
// recorded one of an earlier call.
func (c *Core) finish(cl *call, a *Answer, p *errs.Problem) {
	c.emit(Action{
		kind:     Finish,
		number:   cl.number,
		answer:   a,
		replayed: a != nil,
		problem:  p,
	})
}

func (c *Core) callerLeft(now time.Time, number uint64) {
	cl := c.calls[number]
	switch {
	case cl == nil:
	case cl.state == claiming:
		c.releaseCall(now, cl)
	default:
		cl.state = detached
	}
}

func (c *Core) sendEnded(now time.Time, e Event) {
	cl := c.calls[e.number]
	if cl == nil || cl.state == claiming {
		return
	}
	delete(c.calls, e.number)
	if cl.state == sending {
		c.emit(Action{
			kind:    Finish,
			number:  cl.number,
			answer:  e.answer,
			problem: e.problem,
		})
	}
	state := State_UNKNOWN
	switch {
	case e.outcome == errs.Ran && e.answer != nil:
		state = State_RAN
	case e.outcome == errs.NotRun:
		state = State_NOT_RUN
	}
	c.recordOutcome(now, cl.operation.WithOutcome(state, e.answer))
}

// pollNow makes the local calls that wait for the key's outcome claim it again at
// once.
func (c *Core) pollNow(now time.Time, k Digest) {
	for _, cl := range c.calls {
		if cl.state == claiming && cl.claimOp == nil && cl.operation.key == k {
			cl.pollAt = now
			cl.pollInterval = minPollInterval
			c.scheduleTick(now)
		}
	}
}

func (c *Core) runCallTimers(now time.Time, cl *call) {
	switch cl.state {
	case claiming:
		if !now.Before(cl.operation.deadline) {
			c.finishTooLate(now, cl)
			return
		}
		c.scheduleTick(cl.operation.deadline)
		if cl.claimOp != nil {
			return
		}
		if now.Before(cl.pollAt) {
			c.scheduleTick(cl.pollAt)
			return
		}
		c.startClaim(now, cl)
	case sending:
		limit := cl.operation.deadline.Add(outcomeSlack)
		if now.Before(limit) {
			c.scheduleTick(limit)
			return
		}
		cl.state = detached
		c.emit(Action{
			kind:    Finish,
			number:  cl.number,
			problem: errs.New(errs.Expired, errs.Unknown, "the call was sent and has no answer"),
		})
	}
}
