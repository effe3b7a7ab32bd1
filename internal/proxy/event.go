package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/blame"
	"clementinelink.example/clementinelink/internal/load"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/stand"
	"clementinelink.example/clementinelink/internal/table"
)

// Cause is the reason why an attempt ended without an answer.
type Cause uint8

// The causes of a lost attempt.
const (
	// Unsent means that no byte of the request was sent.
	Unsent Cause = iota
	// NotRun means that the upstream states that it did not run the request.
	NotRun
	// Misdirected means that another incarnation received the request and did
	// not run it.
	Misdirected
	// Withheld means that no byte of the request was sent, because the upstream
	// had stated meanwhile that it accepts no new work.
	Withheld
	// Broken means that the connection ended before the answer was complete.
	Broken
	// Garbled means that the answer violates the protocol.
	Garbled
	// Oversized means that the upstream sent more bytes than the limit of the
	// head, the answer or an event.
	Oversized
	// Silent means that the upstream did not answer a state query.
	Silent
	// Stalled means that the attempt makes no progress although its upstream
	// answers state queries.
	Stalled
)

// String returns the cause's name for logs and reasons.
func (c Cause) String() string {
	return [...]string{"unsent", "not-run", "moved", "withheld", "broken", "garbled", "oversized", "silent", "stalled"}[c]
}

// mayHaveRun reports whether the upstream may have run the request.
func (c Cause) mayHaveRun() bool { return c >= Broken }

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event.
const (
	// Tick reports that time has passed.
	Tick EventKind = iota
	// Arrive is a new request of a caller.
	Arrive
	// CallerLeft reports that a caller disconnected.
	CallerLeft
	// Head is the head of a stream's response.
	Head
	// Piece is a piece of a stream.
	Piece
	// HeldBack reports that a stream is no longer read, since its caller does not
	// take the pieces as fast, or that it is read again.
	HeldBack
	// Copied is the result of a Copy action.
	Copied
	// Finish reports that a stream ended completely.
	Finish
	// Reply is a complete response that is not a stream.
	Reply
	// Lost reports that an attempt ended without an answer.
	Lost
	// StateReported is the result of a QueryState action: the state of an engine,
	// or its failure to answer.
	StateReported
	// IDReported is the result of a QueryID action: the id under which an engine
	// answers.
	IDReported
	// PromptReported is the result of a QueryPrompt action: the number of prompt
	// tokens that an engine has cached.
	PromptReported
	// StopReported is the result of a StopRun action.
	StopReported
	// Heard is what an upstream stated about itself in the head of any answer.
	Heard
	// Configure is a new routing table.
	Configure
	// Members is a change of the upstreams in the registry.
	Members
	// MoveLimits sets the limits of the move of a service to a new version.
	MoveLimits
	// Peers sets the number of VMs that share the common limits.
	Peers
	// Charges sets the prompt parts that crash engines.
	Charges
	// Drain tells this VM to stop.
	Drain
)

// String returns the kind's name for traces.
func (k EventKind) String() string {
	return [...]string{
		"tick", "arrive", "caller-left", "head", "piece", "held-back", "copied", "finish", "reply", "lost", "state-reported", "id-reported", "prompt-reported", "stop-reported", "heard", "configure", "members", "move", "peers", "charges", "drain",
	}[k]
}

// Event is an input of the core. The accessors and constructors state the kinds
// for which a field is set. The zero value is a tick.
type Event struct {
	kind    EventKind
	request *Request
	number  uint64
	attempt int
	answer  *Answer
	// index is the index of Piece, the number of tokens of PromptReported, the
	// seed of MoveLimits or the number of VMs of Peers.
	index int
	bytes []byte
	cause Cause
	// instance is the id of the incarnation that answered in place of the
	// expected one.
	instance  string
	upstream  string
	responded bool
	// load is the load that the upstream reported with its response, if any.
	load     Load
	table    *table.Table
	listed   []pool.Entry
	unlisted []string
	detail   string
	until    time.Time
	// service, target, limits and banned are set for MoveLimits.
	service string
	target  string
	// self and names are set for Peers.
	self   string
	names  []string
	limits move.Limits
	banned bool
	// resumes is true for MoveLimits if the VM started during the move, and taken
	// is then the number of requests that its incarnation before sent to the new
	// version, or move.Unknown.
	resumes bool
	taken   int
	// handle identifies the copy of Copied.
	handle string
	state  pool.State
	// stop and stopOutcome are set for StopReported.
	stop        reap.Order
	stopOutcome reap.Outcome
	// recipient and statement are set for Heard, with the expected incarnation in
	// instance.
	recipient *pool.Upstream
	statement stand.Statement
	charges   []blame.Charge
	// refused is true if the upstream's address refused the connection.
	refused bool
	// late is by how much Tick, or the timeout of StateReported, is late if the VM has
	// paused.
	late time.Duration
	// held is true for HeldBack if the stream is no longer read.
	held bool
}

// Load is the load that an upstream reports. The zero value means that it sent no report.
type Load = load.Report

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Number returns the number of the request that the event belongs to, or 0.
func (e Event) Number() uint64 { return e.number }

// Attempt returns the number of the attempt that the event belongs to, starting
// at 1.
func (e Event) Attempt() int { return e.attempt }

// Answer returns the response of Reply and Head.
func (e Event) Answer() *Answer { return e.answer }

// Load returns the load that the upstream reported with the response of Reply and Head.
func (e Event) Load() Load { return e.load }

// Cause returns the cause of Lost.
func (e Event) Cause() Cause { return e.cause }

// Detail returns the error text of Lost and of a StateReported without an
// answer, and the cause of Heard, for logs.
func (e Event) Detail() string { return e.detail }

// Responded reports whether the engine of StateReported answered the query.
func (e Event) Responded() bool { return e.responded }

// Upstream returns the id of the engine that was queried.
func (e Event) Upstream() string { return e.upstream }

// Service returns the name of the service of MoveLimits.
func (e Event) Service() string { return e.service }

// Instance returns the incarnation that answered, for Lost, StateReported and
// IDReported.
func (e Event) Instance() string { return e.instance }

// Limits returns the limits of MoveLimits.
func (e Event) Limits() move.Limits { return e.limits }

// Banned reports whether the new version of MoveLimits was found to be bad.
func (e Event) Banned() bool { return e.banned }

// Table returns the routing table of Configure.
func (e Event) Table() *table.Table { return e.table }

// Members returns the entries that Members adds or updates, and the ids that it
// removes.
func (e Event) Members() (listed []pool.Entry, unlisted []string) { return e.listed, e.unlisted }

// NewArrive returns the event of a caller's request.
func NewArrive(q *Request) Event {
	return Event{
		kind:    Arrive,
		request: q,
		number:  q.Number(),
	}
}

// NewCallerLeft returns the event of a caller that disconnected.
func NewCallerLeft(number uint64) Event {
	return Event{
		kind:   CallerLeft,
		number: number,
	}
}

// NewHead returns the event of the head of a stream's response.
func NewHead(number uint64, attempt int, head *Answer, l Load) Event {
	return Event{
		kind:    Head,
		number:  number,
		attempt: attempt,
		answer:  head,
		load:    l,
	}
}

// NewPiece returns the event of a piece of a stream; bytes is its encoded form.
func NewPiece(number uint64, attempt, index int, bytes []byte) Event {
	return Event{
		kind:    Piece,
		number:  number,
		attempt: attempt,
		index:   index,
		bytes:   bytes,
	}
}

// NewHeldBack returns the event of a stream that is no longer read, or is read again.
func NewHeldBack(number uint64, attempt int, held bool) Event {
	return Event{
		kind:    HeldBack,
		number:  number,
		attempt: attempt,
		held:    held,
	}
}

// NewCopied returns the event of the result of a Copy action. The handle
// identifies the copy, or is "" if the copy failed.
func NewCopied(number uint64, attempt int, handle string) Event {
	return Event{
		kind:    Copied,
		number:  number,
		attempt: attempt,
		handle:  handle,
	}
}

// Bytes returns the piece of a Piece event. The caller must not change it.
func (e Event) Bytes() []byte { return e.bytes }

// NewFinish returns the event of the complete end of a stream.
func NewFinish(number uint64, attempt int) Event {
	return Event{
		kind:    Finish,
		number:  number,
		attempt: attempt,
	}
}

// NewReply returns the event of a complete response that is not a stream.
func NewReply(number uint64, attempt int, a *Answer, l Load) Event {
	return Event{
		kind:    Reply,
		number:  number,
		attempt: attempt,
		answer:  a,
		load:    l,
	}
}

// NewLost returns the event of an attempt that ended without an answer.
func NewLost(number uint64, attempt int, c Cause, detail string) Event {
	return Event{
		kind:    Lost,
		number:  number,
		attempt: attempt,
		cause:   c,
		detail:  detail,
	}
}

// NewMisdirected returns the event of an attempt that was received by another
// incarnation, whose id is instance, or "" if it is unknown.
func NewMisdirected(number uint64, attempt int, instance string) Event {
	e := NewLost(number, attempt, Misdirected, "answered by "+instance)
	e.instance = instance
	return e
}

// NewStateReported returns the event of the state that an engine reported.
// upstream and instance are those of the QueryState action.
func NewStateReported(upstream, instance string, s pool.State) Event {
	return Event{
		kind:      StateReported,
		upstream:  upstream,
		instance:  instance,
		state:     s,
		responded: true,
	}
}

// NewStateTimeout returns the event of an engine that did not answer a
// QueryState action in time. refused is true if its address refused the connection,
// because its process has ended.
func NewStateTimeout(upstream, instance, detail string, refused bool) Event {
	return Event{
		kind:     StateReported,
		upstream: upstream,
		instance: instance,
		detail:   detail,
		refused:  refused,
	}
}

// Late returns a copy of a Tick, or of a StateReported event without an answer, that was
// due earlier by d, since the VM has paused. What arrived meanwhile is not read yet.
func (e Event) Late(d time.Duration) Event {
	e.late = d
	return e
}

// Lateness returns by how much the event is late, or 0 if the VM has not paused.
func (e Event) Lateness() time.Duration { return e.late }

// NewIDReported returns the event of the id under which the engine at the
// address of an upstream answers.
func NewIDReported(upstream, instance string) Event {
	return Event{
		kind:     IDReported,
		upstream: upstream,
		instance: instance,
	}
}

// NewPromptReported returns the event of the number of tokens of a request's
// prompt that an engine has cached.
func NewPromptReported(number uint64, upstream string, tokens int) Event {
	return Event{
		kind:     PromptReported,
		number:   number,
		upstream: upstream,
		index:    tokens,
	}
}

// NewStopReported returns the event of an engine's answer to a StopRun action.
func NewStopReported(o reap.Order, outcome reap.Outcome) Event {
	return Event{
		kind:        StopReported,
		stop:        o,
		stopOutcome: outcome,
	}
}

// NewHeard returns the event of a statement that arrived in the head of an answer.
// recipient is the upstream that was sent the message, or nil if it is not known,
// instance is the id of the incarnation that was expected to answer, and cause
// describes the message.
func NewHeard(recipient *pool.Upstream, instance string, s stand.Statement, cause string) Event {
	return Event{
		kind:      Heard,
		recipient: recipient,
		instance:  instance,
		statement: s,
		detail:    cause,
	}
}

// NewConfigure returns the event of a new routing table. The core ignores a
// table that is not newer than its own.
func NewConfigure(t *table.Table) Event {
	return Event{
		kind:  Configure,
		table: t,
	}
}

// NewMembers returns the event of a change of the registry: the entries that it
// lists, and the ids that it no longer lists.
func NewMembers(listed []pool.Entry, unlisted []string) Event {
	return Event{
		kind:     Members,
		listed:   listed,
		unlisted: unlisted,
	}
}

// NewMoveLimits returns the event of the limits of a service's new version. A
// banned version gets no new requests. seed must be unique to this incarnation
// of the VM.
func NewMoveLimits(service, target string, l move.Limits, banned bool, seed int) Event {
	return Event{
		kind:    MoveLimits,
		service: service,
		target:  target,
		limits:  l,
		banned:  banned,
		index:   seed,
	}
}

// Resuming returns a copy of a MoveLimits event for a VM that started during the
// move, with the number of requests that its incarnation before sent to the new
// version, or move.Unknown.
func (e Event) Resuming(taken int) Event {
	e.resumes, e.taken = true, taken
	return e
}

// NewPeers returns the event of the names of the VMs that share the common limits,
// and that of this one, which may be missing among them. The slice must not be
// changed afterwards.
func NewPeers(self string, names []string) Event {
	return Event{
		kind:  Peers,
		index: len(names),
		self:  self,
		names: names,
	}
}

// NewCharges returns the event of the charges in force, which replace the earlier
// ones.
func NewCharges(charges []blame.Charge) Event {
	return Event{
		kind:    Charges,
		charges: charges,
	}
}

// NewDrain returns the event that tells this VM to stop; its process ends by
// the time until at the latest.
func NewDrain(until time.Time) Event {
	return Event{
		kind:  Drain,
		until: until,
	}
}
