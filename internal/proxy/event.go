package proxy

import (
	"time"

	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/table"
)

// Cause tells why an attempt ended without an answer.
type Cause uint8

// The causes of a lost attempt.
const (
	// Unsent is an attempt of which no byte left.
	Unsent Cause = iota
	// NotRun is a request that the upstream states it did not run.
	NotRun
	// Moved is a request that another incarnation received and did not run.
	Moved
	// Broken is a connection that ended before the answer did.
	Broken
	// Garbled is an answer that breaks the protocol.
	Garbled
	// Silent is an attempt whose upstream does not answer a probe.
	Silent
	// Stalled is an attempt that makes no progress although its upstream
	// answers probes.
	Stalled
)

// String returns the cause's name in logs.
func (c Cause) String() string {
	return [...]string{"unsent", "not-run", "moved", "broken", "garbled", "silent", "stalled"}[c]
}

// mayHaveRun reports whether the upstream may have run the request.
func (c Cause) mayHaveRun() bool { return c >= Broken }

// EventKind tells what happened.
type EventKind uint8

// The kinds of event.
const (
	// Tick is the passing of time.
	Tick EventKind = iota
	// Arrive is a caller's request.
	Arrive
	// Gone is a caller that left.
	Gone
	// Head is the head of a stream's answer.
	Head
	// Piece is a piece of a stream.
	Piece
	// Copied is the end of an order to copy a run.
	Copied
	// Finish is the complete end of a stream.
	Finish
	// Reply is a complete answer that is no stream.
	Reply
	// Lost is the end of an attempt without an answer.
	Lost
	// Stated is what an engine states of itself, or its silence.
	Stated
	// Named is the id under which an engine answers.
	Named
	// Found is how much of a prompt an engine keeps.
	Found
	// Configure is a new routing table.
	Configure
	// Members is a change of the registry.
	Members
	// Shift is the limits of a service's new version.
	Shift
	// Peers is the number of VMs that share the common limits.
	Peers
	// Drain is the order to stop this VM.
	Drain
)

// String returns the kind's name in traces.
func (k EventKind) String() string {
	return [...]string{
		"tick", "arrive", "gone", "head", "piece", "copied", "finish", "reply", "lost", "stated", "named", "found", "configure", "members", "shift", "peers", "drain",
	}[k]
}

// Event is something that the core is told of. The zero value is a tick.
type Event struct {
	kind    EventKind
	request *Request
	number  uint64
	attempt int
	answer  *Answer
	index   int
	bytes   []byte
	cause   Cause
	// instance is the upstream that answered in place of the expected one.
	instance string
	upstream string
	alive    bool
	// load is the upstream's report with the answer, if it sent one.
	load   Load
	table  *table.Table
	listed []pool.Entry
	gone   []string
	detail string
	until  time.Time
	// service, target, limits and banned are those of Shift.
	service string
	target  string
	limits  move.Limits
	banned  bool
	// handle names the copy of Copied.
	handle string
	state  pool.State
	// leaving is true when the upstream states that it takes no new work.
	leaving bool
}

// Load is an upstream's own count of its requests. The zero value is no
// report.
type Load struct {
	running int
	waiting int
	known   bool
}

// NewLoad returns a report.
func NewLoad(running, waiting int) Load {
	return Load{
		running: running,
		waiting: waiting,
		known:   true,
	}
}

// Kind returns what happened.
func (e Event) Kind() EventKind { return e.kind }

// Number returns the request that the event is about, or 0.
func (e Event) Number() uint64 { return e.number }

// Attempt returns the attempt that the event is about.
func (e Event) Attempt() int { return e.attempt }

// Answer returns the answer of Reply and Head.
func (e Event) Answer() *Answer { return e.answer }

// Cause returns the cause of Lost.
func (e Event) Cause() Cause { return e.cause }

// Detail returns the text of the error behind Lost, for logs.
func (e Event) Detail() string { return e.detail }

// Alive reports whether the engine of Stated answered.
func (e Event) Alive() bool { return e.alive }

// Upstream returns the id of the engine that was asked.
func (e Event) Upstream() string { return e.upstream }

// Service returns the service of Shift.
func (e Event) Service() string { return e.service }

// Instance returns the incarnation that answered, for Lost, Stated and Named.
func (e Event) Instance() string { return e.instance }

// Limits returns the limits of a Shift.
func (e Event) Limits() move.Limits { return e.limits }

// Banned reports whether the new version of a Shift was found bad.
func (e Event) Banned() bool { return e.banned }

// Table returns the table of Configure.
func (e Event) Table() *table.Table { return e.table }

// Members returns the listed and the removed upstreams of Members.
func (e Event) Members() (listed []pool.Entry, gone []string) { return e.listed, e.gone }

// NewArrive returns the event of a caller's request.
func NewArrive(q *Request) Event {
	return Event{
		kind:    Arrive,
		request: q,
		number:  q.Number(),
	}
}

// NewGone returns the event of a caller that left.
func NewGone(number uint64) Event {
	return Event{
		kind:   Gone,
		number: number,
	}
}

// NewHead returns the event of the head of a stream.
func NewHead(number uint64, attempt int, head *Answer, l Load) Event {
	return Event{
		kind:    Head,
		number:  number,
		attempt: attempt,
		answer:  head,
		load:    l,
	}
}

// NewPiece returns the event of a stream's piece; bytes is its encoded form.
func NewPiece(number uint64, attempt, index int, bytes []byte) Event {
	return Event{
		kind:    Piece,
		number:  number,
		attempt: attempt,
		index:   index,
		bytes:   bytes,
	}
}

// NewCopied returns the event of a copy of an attempt's run that was ordered;
// handle names it, or is "" if there is none.
func NewCopied(number uint64, attempt int, handle string) Event {
	return Event{
		kind:    Copied,
		number:  number,
		attempt: attempt,
		handle:  handle,
	}
}

// NewFinish returns the event of a stream's complete end.
func NewFinish(number uint64, attempt int) Event {
	return Event{
		kind:    Finish,
		number:  number,
		attempt: attempt,
	}
}

// NewReply returns the event of a complete answer that is no stream.
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

// NewMoved returns the event of an attempt that reached another incarnation,
// whose id is instance or "".
func NewMoved(number uint64, attempt int, instance string) Event {
	e := NewLost(number, attempt, Moved, "answered by "+instance)
	e.instance = instance
	return e
}

// Leaving returns a copy of e, the end of an attempt whose upstream states that
// it takes no new work.
func (e Event) Leaving() Event {
	e.leaving = true
	return e
}

// NewStated returns the event of an engine's statement. upstream and instance
// are those of the action Ask.
func NewStated(upstream, instance string, s pool.State) Event {
	return Event{
		kind:     Stated,
		upstream: upstream,
		instance: instance,
		state:    s,
		alive:    true,
	}
}

// NewUnstated returns the event of an engine that did not answer in time.
func NewUnstated(upstream, instance, detail string) Event {
	return Event{
		kind:     Stated,
		upstream: upstream,
		instance: instance,
		detail:   detail,
	}
}

// NewNamed returns the event of the id under which the engine at the address of
// an upstream answers.
func NewNamed(upstream, instance string) Event {
	return Event{
		kind:     Named,
		upstream: upstream,
		instance: instance,
	}
}

// NewFound returns the event of the tokens that an engine keeps of a request's
// prompt.
func NewFound(number uint64, upstream string, tokens int) Event {
	return Event{
		kind:     Found,
		number:   number,
		upstream: upstream,
		index:    tokens,
	}
}

// NewConfigure returns the event of a routing table.
func NewConfigure(t *table.Table) Event {
	return Event{
		kind:  Configure,
		table: t,
	}
}

// NewMembers returns the event of upstreams that the registry lists, and of ids
// that it lists no more.
func NewMembers(listed []pool.Entry, gone []string) Event {
	return Event{
		kind:   Members,
		listed: listed,
		gone:   gone,
	}
}

// NewShift returns the event of the limits of a service's new version; a banned
// one gets no new work. seed is unique to the VM's incarnation.
func NewShift(service, target string, l move.Limits, banned bool, seed int) Event {
	return Event{
		kind:    Shift,
		service: service,
		target:  target,
		limits:  l,
		banned:  banned,
		index:   seed,
	}
}

// NewPeers returns the event of the number of VMs that share the common limits,
// this one included.
func NewPeers(n int) Event {
	return Event{
		kind:  Peers,
		index: n,
	}
}

// NewDrain returns the event of the order to stop this VM, whose process ends
// at the time until at the latest.
func NewDrain(until time.Time) Event {
	return Event{
		kind:  Drain,
		until: until,
	}
}
