package router

import (
	"fmt"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// EventKind tells what happened.
type EventKind uint8

// The kinds of event.
const (
	// Arrive is a caller's new or resumed request.
	Arrive EventKind = iota
	// Token is a token of an attempt.
	Token
	// Finish is the end of an attempt's stream.
	Finish
	// Lost is an attempt that ended without a finish.
	Lost
	// Gone is a caller that disconnected.
	Gone
	// Stall is a caller that does not read its response.
	Stall
	// Load is a load report.
	Load
	// Missed is an engine that refused the connection for its load report.
	Missed
	// Members is the platform's list of VMs.
	Members
	// Config is a new configuration.
	Config
	// Shares are the limits of the version that a service's move tests.
	Shares
	// Tick is the passing of time.
	Tick
)

// Event is one thing that happened. The zero value is not an event.
type Event struct {
	kind    EventKind
	request *relay.Request
	id      string
	attempt uint32
	index   int
	token   uint32
	text    string
	prompt  int
	cause   relay.Cause
	load    fleet.Load
	vms     []*world.VM
	config  *world.Map
	version string
	limits  move.Limits
	banned  bool
}

// NewArrive returns the event of a caller's request.
func NewArrive(r *relay.Request) Event {
	return Event{
		kind:    Arrive,
		request: r,
		id:      r.ID(),
	}
}

// NewToken returns the event of a token; index counts from the start of the
// response.
func NewToken(id string, attempt uint32, index int, token uint32, text string) Event {
	return Event{
		kind:    Token,
		id:      id,
		attempt: attempt,
		index:   index,
		token:   token,
		text:    text,
	}
}

// NewFinish returns the event of a stream's end; index is the number of tokens
// and reason is "stop" or "length".
func NewFinish(id string, attempt uint32, index int, reason string, prompt int) Event {
	return Event{
		kind:    Finish,
		id:      id,
		attempt: attempt,
		index:   index,
		text:    reason,
		prompt:  prompt,
	}
}

// NewLost returns the event of an attempt that ended without a finish.
func NewLost(id string, attempt uint32, cause relay.Cause) Event {
	return Event{
		kind:    Lost,
		id:      id,
		attempt: attempt,
		cause:   cause,
	}
}

// NewGone returns the event of a caller's disconnect.
func NewGone(id string) Event {
	return Event{
		kind: Gone,
		id:   id,
	}
}

// NewStall returns the event of a caller whose output ring is full.
func NewStall(id string) Event {
	return Event{
		kind: Stall,
		id:   id,
	}
}

// NewLoad returns the event of an engine's load report.
func NewLoad(engine string, l fleet.Load) Event {
	return Event{
		kind: Load,
		id:   engine,
		load: l,
	}
}

// NewMissed returns the event of an engine that refused the connection for its
// load report.
func NewMissed(engine string) Event {
	return Event{
		kind: Missed,
		id:   engine,
	}
}

// NewMembers returns the event of a VM list.
func NewMembers(vms []*world.VM) Event {
	return Event{
		kind: Members,
		vms:  vms,
	}
}

// NewConfig returns the event of a configuration.
func NewConfig(m *world.Map) Event {
	return Event{
		kind:   Config,
		config: m,
	}
}

// NewShares returns the event of new limits of the version that a service's
// move tests. A banned version gets no new work, whatever the limits are.
func NewShares(service, version string, l move.Limits, banned bool) Event {
	return Event{
		kind:    Shares,
		id:      service,
		version: version,
		limits:  l,
		banned:  banned,
	}
}

// NewTick returns the event of passing time.
func NewTick() Event { return Event{kind: Tick} }

// String returns the event for traces.
func (e Event) String() string {
	switch e.kind {
	case Token:
		return fmt.Sprintf("token %s/%d %d id=%d %q", e.id, e.attempt, e.index, e.token, e.text)
	case Finish:
		return fmt.Sprintf("finish %s/%d %d %s prompt=%d", e.id, e.attempt, e.index, e.text, e.prompt)
	case Lost:
		return fmt.Sprintf("lost %s/%d %s", e.id, e.attempt, e.cause)
	default:
		return fmt.Sprintf("event %d %s", e.kind, e.id)
	}
}

// Kind returns what happened.
func (e Event) Kind() EventKind { return e.kind }

// ID returns the id of the request, engine or service that the event is about.
func (e Event) ID() string { return e.id }

// refusal is the problem of a request that names what is not declared.
func refusal(service string) *errs.Problem {
	return errs.New(errs.NotFound, errs.NotRun, "no model service is named %q", service)
}
