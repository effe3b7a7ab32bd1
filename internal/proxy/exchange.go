package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

// attempt is one sending of a request.
type attempt struct {
	number int
	up     *pool.Upstream
	// holder keeps a standby copy of the run, or is nil.
	holder *pool.Upstream
	// ordered is the copy that replaces a lost standby copy.
	ordered ordered
	// copied is true when the attempt continues from a copy.
	copied bool
	// source and handle name a copy that was ordered.
	source string
	handle string
	sent   time.Time
	// last is the time of the latest piece, or of the sending.
	last time.Time
	// begun is true once the attempt has produced a piece.
	begun bool
	// overdue is true once an attempt to go on with a stream took too long to
	// its first piece.
	overdue bool
	// first is the time to that piece.
	first time.Duration
	head  *Answer
	ended bool
}

// exchange is one caller's request.
type exchange struct {
	q         *Request
	route     *table.Route
	workspace *table.Workspace
	need      pool.Need
	tokens    int
	arrived   time.Time
	// end is when the caller gets a final answer at the latest.
	end      time.Time
	attempts []*attempt
	// ran counts the attempts that may have run.
	ran int
	// unrun counts in a row the attempts that were refused or not sent.
	unrun int
	// position is the index of the last piece that the caller has.
	position int
	// opened is true once the caller has the head of a stream.
	opened bool
	// passed is the time of the last piece given to the caller, or of its
	// arrival.
	passed time.Time
	// hedgeAt and retryAt are zero when no such attempt is due.
	hedgeAt time.Time
	retryAt time.Time
	// reply is the failure of an upstream that is delivered if no other
	// attempt answers better.
	reply *Answer
	// shift is that of the request's service, or nil, and fresh is true if the
	// new version serves the request.
	shift *shift
	fresh bool
	// survey is the choice that is being made, or nil.
	survey *survey
	// followed is true once the holder of a copy was asked under the id that it
	// answered with.
	followed bool
	// stopped is true once the stream was silent for stopAfter.
	stopped bool
	// repeats counts the resumes from the latest copy that were sent again
	// after their answers broke off.
	repeats int
}

// running returns the attempts that have not ended.
func (x *exchange) running() []*attempt {
	var list []*attempt
	for _, a := range x.attempts {
		if !a.ended {
			list = append(list, a)
		}
	}
	return list
}

// tried reports whether an attempt was sent to the upstream.
func (x *exchange) tried(u *pool.Upstream) bool {
	for _, a := range x.attempts {
		if a.up == u {
			return true
		}
	}
	return false
}

// sends returns how often the request was sent to the upstream.
func (x *exchange) sends(u *pool.Upstream) int {
	n := 0
	for _, a := range x.attempts {
		if a.up == u {
			n++
		}
	}
	return n
}

func (x *exchange) stream() bool { return x.route.Kind() == table.Stream }

// mayRepeat reports whether the request may be sent again after an attempt
// that may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.ran < x.route.Attempts()
}

// due returns the next time at which the exchange must be looked at.
func (x *exchange) due() time.Time {
	at := x.end
	if x.survey != nil && x.survey.end.Before(at) {
		at = x.survey.end
	}
	for _, t := range []time.Time{x.hedgeAt, x.retryAt} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	for _, a := range x.attempts {
		if a.ended {
			continue
		}
		if t := x.check(a); t.Before(at) {
			at = t
		}
	}
	return at
}
