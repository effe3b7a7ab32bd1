package stand

import (
	"math"
	"time"

	"clementinelink.example/clementinelink/internal/quota"
)

const (
	// liftStep is the time in which the rate doubles after a limit was lifted, and
	// liftTime the time after which it no longer binds. Without them the requests that
	// were withheld would arrive together.
	liftStep = 500 * time.Millisecond
	liftTime = 6 * liftStep
)

// causeLifted is the cause of the change at the end of a limit.
const causeLifted = "answer without a limit"

// limit is the limit that an upstream named, and the VM's share of it.
type limit struct {
	// rate is the requests a second of all VMs together.
	rate float64
	// heard is when an answer named the limit last.
	heard time.Time
	// lifted is when an answer no longer named it, or zero.
	lifted time.Time
	// share is the requests a second of this VM as of the given version of the fleet,
	// before it rises at the end of the limit.
	share   float64
	version int
	member  bool
	pacer   quota.Pacer
	// book is the book of the standing, which knows the VMs that share the limit.
	book *Book
}

// hearLimit applies a limit that an answer names.
func (b *Book) hearLimit(now time.Time, s *Standing, rate float64, cause string) {
	l := s.limit
	begins := l == nil
	if begins {
		l = &limit{
			book: b,
		}
		s.limit = l
	}
	changed := l.rate != rate || l.version != b.fleet.Version() || !l.lifted.IsZero()
	l.rate, l.heard, l.lifted = rate, now, time.Time{}
	if changed {
		b.share(now, s, begins)
	}
	s.gate.limited.Store(true)
	b.remember(now, s)
	if begins && !s.leaving && !s.Resting(now) {
		b.report(now, s, Limited, cause)
	}
}

// share computes the VM's share of a limit.
func (b *Book) share(now time.Time, s *Standing, begins bool) {
	l := s.limit
	index, count := b.place(s.id)
	l.share, l.member = b.fleet.Share(index, count, l.rate)
	l.version = b.fleet.Version()
	if begins {
		l.pacer = quota.NewPacer(now, l.share, l.member, b.random())
		return
	}
	l.pacer.SetRate(now, l.share, l.member)
}

// hearNoLimit applies an answer without a limit to a request that was sent at the
// given time. It means nothing if another answer has named the limit since then.
func (b *Book) hearNoLimit(now time.Time, s *Standing, sent time.Time) {
	l := s.limit
	if l == nil || !l.lifted.IsZero() || !sent.After(l.heard) {
		return
	}
	l.lifted = now
	s.gate.limited.Store(false)
	if !s.leaving && !s.Resting(now) {
		b.report(now, s, Usable, causeLifted)
	}
}

// paced returns the limit that binds at present, or nil.
func (s *Standing) paced(now time.Time) *limit {
	l := s.limit
	if l == nil {
		return nil
	}
	if l.version != l.book.fleet.Version() {
		l.book.share(now, s, false)
	}
	if l.lifted.IsZero() {
		return l
	}
	elapsed := now.Sub(l.lifted)
	if elapsed >= liftTime {
		s.limit = nil
		return nil
	}
	l.pacer.SetRate(now, l.share*math.Exp2(elapsed.Seconds()/liftStep.Seconds()), true)
	return l
}

// Limit returns the requests a second that the incarnation accepts from all VMs
// together, or 0 if it has named no limit.
func (s *Standing) Limit() float64 {
	if s.limit == nil || !s.limit.lifted.IsZero() {
		return 0
	}
	return s.limit.rate
}

// Share returns the requests a second that this VM may send within the limit, or 0 if
// there is no limit.
func (s *Standing) Share() float64 {
	if s.Limit() == 0 {
		return 0
	}
	return s.limit.share
}

// AvailableAt returns the time at which the VM's share of the limit permits a request
// that leaves a number of others for more urgent ones, or the zero time if there is
// no limit.
func (s *Standing) AvailableAt(now time.Time, others int) time.Time {
	if l := s.paced(now); l != nil {
		return l.pacer.AvailableAt(now, others)
	}
	return time.Time{}
}

// Take counts a request against the VM's share of the limit. It may be one that is
// sent later.
func (s *Standing) Take(now time.Time) {
	if l := s.paced(now); l != nil {
		l.pacer.Take(now)
	}
}

// TakeAhead counts a request that is sent whatever the limit is.
func (s *Standing) TakeAhead(now time.Time) {
	if l := s.paced(now); l != nil {
		l.pacer.TakeAhead(now)
	}
}
