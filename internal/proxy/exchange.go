package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/alarm"
	"clementinelink.example/clementinelink/internal/pace"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

// attempt is one transmission of a request to an upstream.
type attempt struct {
	number   int
	upstream *pool.Upstream
	// holder receives a standby copy of the run, or is nil.
	holder *pool.Upstream
	// onDemandCopy is the on-demand copy that replaces a lost standby copy.
	onDemandCopy onDemandCopy
	// hedge is true if the attempt was sent beside another one without an answer.
	hedge bool
	// copied is true if the attempt resumes a run from a copy.
	copied bool
	// source and handle identify the on-demand copy that the attempt resumes
	// from; see Action.Source.
	source string
	handle string
	sent   time.Time
	// lastProgress is the time of the latest sign of progress, at first the
	// time of the transmission.
	lastProgress time.Time
	// begun is true once the attempt has produced a piece.
	begun bool
	// heldBack is true while the stream is not read, since its caller is slower.
	heldBack bool
	// overdue is true once a resume has taken too long to produce its first
	// piece.
	overdue bool
	// kept is true once the attempt was kept since there was no better place.
	kept bool
	// timeToFirst is the time from the transmission to the first piece.
	timeToFirst time.Duration
	head        *Answer
	ended       bool
	// counted is true once the attempt has ended and counts as one that may have run.
	counted bool
	// pieces counts the pieces of the attempt, of which the first arrived at
	// firstPiece. survived is true once the engine has survived the prompt.
	pieces     int
	firstPiece time.Time
	survived   bool
	// refused is true if the attempt ended because its engine's address refused a
	// connection.
	refused bool
}

// exchange is the state of one request of a caller.
type exchange struct {
	q         *Request
	route     *table.Route
	workspace *table.Workspace
	need      pool.Need
	tokens    int
	arrived   time.Time
	// deadline is the time by which the caller gets a final answer.
	deadline time.Time
	// cutShort is true if the deadline is earlier since the VM stops.
	cutShort bool
	attempts []*attempt
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	// consecutiveNotRun counts the latest attempts in a row that did not run.
	consecutiveNotRun int
	// pace spaces the attempts of a stream that has begun.
	pace pace.Pace
	// position is the index of the last piece that the caller has.
	position int
	// headSent is true once the caller has the head of a stream.
	headSent bool
	// lastDelivered is the time at which the caller got its latest piece, or
	// the time of the request's arrival.
	lastDelivered time.Time
	// hedgeAt and retryAt are the times of the next hedge and retry, or zero if
	// none is scheduled.
	hedgeAt time.Time
	retryAt time.Time
	// awaitedCopy is the resume from a copy that waits for a repeat until retryAt, or
	// nil.
	awaitedCopy *Action
	// denied is true once the budget has denied a repeat since the latest attempt.
	denied bool
	// returnAt is when the request is sent after a wait for an upstream that rests,
	// or zero if it does not wait. waited is true once it has waited.
	returnAt time.Time
	waited   bool
	// awaited is the upstream whose limit has a request set aside for this one at
	// returnAt, or nil.
	awaited *pool.Upstream
	// reply is a failed response that is delivered if no other attempt
	// succeeds.
	reply *Answer
	// move is the move of the request's service to another version, or nil.
	move *serviceMove
	versionState
	// placement is the pending choice of an engine, or nil.
	placement *placement
	// copyFollowed is true once a resume was sent to another incarnation that
	// answered at the address of the copy's holder.
	copyFollowed bool
	// misdirected is the resume that waits until the service of the incarnation that
	// received it is known, or nil. No attempt runs meanwhile.
	misdirected *misdirectedResume
	// stallHandled is true once the stream has been silent for gaps.Limits.Stall. A
	// stall is handled this early only once per stream.
	stallHandled bool
	// stallPostponed is the earliest time of the next check of a stall, or zero.
	stallPostponed time.Time
	// copyResends counts how often a resume from the latest copy was sent again
	// after its answer broke off.
	copyResends int
	// fence states which engines may not be sent the prompt.
	fence fence
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

// tried reports whether the request was sent to the upstream before.
func (x *exchange) tried(u *pool.Upstream) bool { return x.sendCount(u) > 0 }

// sendCount returns how often the request was sent to the upstream.
func (x *exchange) sendCount(u *pool.Upstream) int {
	n := 0
	for _, a := range x.attempts {
		if a.upstream == u {
			n++
		}
	}
	return n
}

// unheard reports whether the upstream may have crashed with those of the latest attempts,
// so that the next one must not go there.
func (x *exchange) unheard(u *pool.Upstream) bool {
	return x.headSent && x.need.Memory() > 0 && !x.pace.Permits(u.LastActivity(), x.route.Attempts()-x.possibleRuns)
}

func (x *exchange) stream() bool { return x.route.Kind() == table.Stream }

// mayRepeat reports whether the request may be sent again although an attempt
// may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.Repeatable() && x.possibleRuns < x.route.Attempts()
}

// nextDue returns the time of the next timer event of the exchange. No attempt is judged by
// its silence before the time settled.
func (x *exchange) nextDue(settled time.Time) time.Time {
	at := x.deadline
	if x.placement != nil {
		at = alarm.Earlier(at, x.placement.deadline)
	}
	if !x.hedgeAt.IsZero() {
		at = alarm.Earlier(at, alarm.Later(x.hedgeAt, settled))
	}
	for _, t := range []time.Time{x.retryAt, x.returnAt} {
		if !t.IsZero() {
			at = alarm.Earlier(at, t)
		}
	}
	for _, a := range x.attempts {
		if a.ended {
			continue
		}
		at = alarm.Earlier(at, alarm.Later(x.nextCheck(a), settled))
	}
	return at
}
