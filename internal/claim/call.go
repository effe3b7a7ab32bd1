package claim

import (
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

type callState uint8

const (
	claiming callState = iota
	sending
	// detached is a sent call whose caller has its outcome or left.
	detached
)

type call struct {
	number uint64
	ask    Ask
	state  callState
	// op is the claim in progress, nil while the call waits for another's
	// outcome.
	op *op
	// tried is true when a claim of this call may still be written.
	tried bool
	// rival is the record of another claim that was seen last.
	rival   *Record
	againAt time.Time
	poll    time.Duration
}

func (c *Core) begin(now time.Time, e Event) {
	a := e.ask
	a.id = NewID(c.incarnation, e.number)
	l := &call{
		number: e.number,
		ask:    a,
		poll:   firstPoll,
	}
	if len(c.calls) >= maxCalls {
		c.finish(l, nil, errs.New(errs.Overload, errs.NotRun, "too many calls with a key; the call was not sent").WithRetry(time.Second))
		return
	}
	c.calls[e.number] = l
	c.wake(a.deadline)
	if c.early != nil && c.early() {
		c.send(l)
		return
	}
	c.claim(now, l)
}

func (c *Core) claim(now time.Time, l *call) {
	l.op = &op{
		ask:   l.ask,
		since: now,
		tried: l.tried,
	}
	c.submit(now, l.op)
}

func (c *Core) send(l *call) {
	l.state = sending
	c.wake(l.ask.deadline.Add(settleSlack))
	c.emit(Action{
		kind:     Send,
		number:   l.number,
		deadline: l.ask.deadline,
	})
}

func (c *Core) judge(now time.Time, l *call, v Verdict, r *Record) {
	if l.state != claiming {
		return
	}
	switch v {
	case Won:
		l.tried = true
		if !now.Before(l.ask.deadline) {
			c.giveUp(now, l)
			return
		}
		c.send(l)
	case Held:
		l.rival = r
		l.againAt = now.Add(l.poll)
		l.poll = min(2*l.poll, maxPoll)
		c.wake(l.againAt)
	case Found:
		c.settled(now, l, r)
	case Mismatch:
		c.conclude(now, l, nil, errs.New(errs.Mismatch, errs.NotRun, "the key was used with another request; this one was not sent"))
	case Full:
		c.conclude(now, l, nil, errs.New(errs.Overload, errs.NotRun, "too many keys are kept; the call was not sent").WithRetry(time.Minute))
	case Late:
		c.giveUp(now, l)
	default:
		c.refuse(now, l)
	}
}

// settled finishes a call with the final record of an earlier one.
func (c *Core) settled(now time.Time, l *call, r *Record) {
	switch {
	case !r.same(l.ask.body):
		c.judge(now, l, Mismatch, r)
	case r.GetState() == State_UNKNOWN:
		c.conclude(now, l, nil, errs.New(errs.Expired, errs.Unknown, "the first call with this key has no known outcome and is not repeated"))
	case r.GetTruncated():
		c.conclude(now, l, AnswerOf(r), errs.New(errs.Internal, errs.Ran, "the first call with this key was answered with status %d; its body was not kept", r.GetStatus()))
	default:
		c.conclude(now, l, AnswerOf(r), nil)
	}
}

// refuse finishes a call whose claim can't be stored. What this VM knows of
// the key takes precedence over the refusal.
func (c *Core) refuse(now time.Time, l *call) {
	s := c.slot(l.ask.key)
	r := l.rival
	if s.table != nil {
		if known := s.table.get(l.ask.key, now); known != nil {
			r = known
		}
	}
	if o := s.pending(l.ask.key); o != nil {
		r = o.ask.record(now)
	}
	switch {
	case r == nil || r.GetState() == State_NOT_RUN || r.held() == l.ask.id || r.expired(now):
		c.conclude(now, l, nil, errs.New(errs.Unavailable, errs.NotRun, "the claim store is not available; the call was not sent and may be repeated with the same key").WithRetry(2*time.Second))
	case r.final():
		c.settled(now, l, r)
	default:
		c.inProgress(now, l)
	}
}

func (c *Core) inProgress(now time.Time, l *call) {
	c.conclude(now, l, nil, errs.New(errs.InProgress, errs.Unknown, "the first call with this key has no outcome yet; repeat with the same key").WithRetry(2*time.Second))
}

// giveUp finishes a call whose claim was not held before its deadline.
func (c *Core) giveUp(now time.Time, l *call) {
	if l.rival != nil {
		c.inProgress(now, l)
		return
	}
	c.conclude(now, l, nil, errs.New(errs.Expired, errs.NotRun, "the claim was not stored before the deadline; the call was not sent").WithRetry(time.Second))
}

// conclude finishes a call that was not sent and releases what may be written
// in its name, so that the next call with the key can run.
func (c *Core) conclude(now time.Time, l *call, a *Answer, p *errs.Problem) {
	c.finish(l, a, p)
	c.abandon(now, l)
}

func (c *Core) abandon(now time.Time, l *call) {
	delete(c.calls, l.number)
	tried := l.tried
	if l.op != nil {
		l.op.dropped = true
		tried = tried || l.op.tried || !c.queued(l.op)
	}
	if tried {
		c.settle(now, l.ask.Settle(State_NOT_RUN, nil))
	}
}

func (c *Core) finish(l *call, a *Answer, p *errs.Problem) {
	c.emit(Action{
		kind:     Finish,
		number:   l.number,
		answer:   a,
		replayed: a != nil,
		problem:  p,
	})
}

func (c *Core) gone(now time.Time, number uint64) {
	l := c.calls[number]
	switch {
	case l == nil:
	case l.state == claiming:
		c.abandon(now, l)
	default:
		l.state = detached
	}
}

func (c *Core) ended(now time.Time, e Event) {
	l := c.calls[e.number]
	if l == nil || l.state == claiming {
		return
	}
	delete(c.calls, e.number)
	if l.state == sending {
		c.emit(Action{
			kind:    Finish,
			number:  l.number,
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
	c.settle(now, l.ask.Settle(state, e.answer))
}

// rouse makes the local calls that wait for a key look again.
func (c *Core) rouse(now time.Time, k Digest) {
	for _, l := range c.calls {
		if l.state == claiming && l.op == nil && l.ask.key == k {
			l.againAt = now
			l.poll = firstPoll
			c.wake(now)
		}
	}
}

func (c *Core) expireCall(now time.Time, l *call) {
	switch l.state {
	case claiming:
		if !now.Before(l.ask.deadline) {
			c.giveUp(now, l)
			return
		}
		c.wake(l.ask.deadline)
		if l.op != nil {
			return
		}
		if now.Before(l.againAt) {
			c.wake(l.againAt)
			return
		}
		c.claim(now, l)
	case sending:
		limit := l.ask.deadline.Add(settleSlack)
		if now.Before(limit) {
			c.wake(limit)
			return
		}
		l.state = detached
		c.emit(Action{
			kind:    Finish,
			number:  l.number,
			problem: errs.New(errs.Expired, errs.Unknown, "the call was sent and has no answer"),
		})
	}
}
