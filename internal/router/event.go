package router

import (
	"fmt"

	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/move"
	"clementinelink.example/clementinelink/internal/relay"
	"clementinelink.example/clementinelink/internal/world"
)

// EventKind identifies the type of an Event.
type EventKind uint8

// The event kinds.
const (
	// Arrive is a new or resumed request from a caller.
	Arrive EventKind = iota
	// Token is one token received from an attempt's stream.
	Token
	// Finish is the regular end of an attempt's stream.
	Finish
	// Lost is an attempt that ended without a finish message.
	Lost
	// CallerLeft reports that a caller disconnected.
	CallerLeft
	// SlowReader reports that a caller does not read its response fast enough.
	SlowReader
	// Load is a load report from an engine.
	Load
	// Unreachable reports that an engine refused the connection when its load
	// report was fetched.
	Unreachable
	// Members is the platform's current list of VMs.
	Members
	// Config is a new configuration.
	Config
	// MoveLimits sets the traffic limits of the new version during a move.
	MoveLimits
	// Tick carries no data; it makes the router handle the timers that are due.
	Tick
)

// Event is one input to Router.Step. Use the New functions to create one; the
// zero value is not a valid event.
type Event struct {
	kind    EventKind
	request *relay.Request
	// id is a request ID, an engine's name or a service's name.
	id      string
	attempt uint32
	index   int
	token   uint32
	// text is the text of a token or the reason of a finish.
	text         string
	promptTokens int
	cause        relay.Cause
	load         fleet.Load
	vms          []*world.VM
	config       *world.Config
	version      string
	limits       move.Limits
	banned       bool
}

// NewArrive returns the event for a caller's new or resumed request.
func NewArrive(r *relay.Request) Event {
	return Event{
		kind:    Arrive,
		request: r,
		id:      r.ID(),
	}
}

// NewToken returns the event for one token. The index is the token's position,
// counted from the start of the response.
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

// NewFinish returns the event for the regular end of an attempt's stream. The
// index is the total number of tokens in the response, reason is "stop" or
// "length", and promptTokens is the engine's count of prompt tokens.
func NewFinish(id string, attempt uint32, index int, reason string, promptTokens int) Event {
	return Event{
		kind:         Finish,
		id:           id,
		attempt:      attempt,
		index:        index,
		text:         reason,
		promptTokens: promptTokens,
	}
}

// NewLost returns the event for an attempt that ended without a finish message.
func NewLost(id string, attempt uint32, cause relay.Cause) Event {
	return Event{
		kind:    Lost,
		id:      id,
		attempt: attempt,
		cause:   cause,
	}
}

// NewCallerLeft returns the event for a caller that disconnected.
func NewCallerLeft(id string) Event {
	return Event{
		kind: CallerLeft,
		id:   id,
	}
}

// NewSlowReader returns the event for a caller whose output ring is full.
func NewSlowReader(id string) Event {
	return Event{
		kind: SlowReader,
		id:   id,
	}
}

// NewLoad returns the event for a load report of the named engine.
func NewLoad(engine string, l fleet.Load) Event {
	return Event{
		kind: Load,
		id:   engine,
		load: l,
	}
}

// NewUnreachable returns the event for an engine that refused the connection
// when its load report was fetched.
func NewUnreachable(engine string) Event {
	return Event{
		kind: Unreachable,
		id:   engine,
	}
}

// NewMembers returns the event for the platform's current list of VMs.
func NewMembers(vms []*world.VM) Event {
	return Event{
		kind: Members,
		vms:  vms,
	}
}

// NewConfig returns the event for a new configuration.
func NewConfig(m *world.Config) Event {
	return Event{
		kind:   Config,
		config: m,
	}
}

// NewMoveLimits returns the event that sets the traffic limits of the new
// version during a move of the service. A banned version gets no new work
// regardless of the limits.
func NewMoveLimits(service, version string, l move.Limits, banned bool) Event {
	return Event{
		kind:    MoveLimits,
		id:      service,
		version: version,
		limits:  l,
		banned:  banned,
	}
}

// NewTick returns the event that makes the router handle the timers that are
// due.
func NewTick() Event { return Event{kind: Tick} }

// String returns the event in the form used in traces.
func (e Event) String() string {
	switch e.kind {
	case Token:
		return fmt.Sprintf("token %s/%d %d id=%d %q", e.id, e.attempt, e.index, e.token, e.text)
	case Finish:
		return fmt.Sprintf("finish %s/%d %d %s prompt=%d", e.id, e.attempt, e.index, e.text, e.promptTokens)
	case Lost:
		return fmt.Sprintf("lost %s/%d %s", e.id, e.attempt, e.cause)
	default:
		return fmt.Sprintf("event %d %s", e.kind, e.id)
	}
}

// Kind returns the type of the event.
func (e Event) Kind() EventKind { return e.kind }

// ID returns the ID of the request, or the name of the engine or service, that
// the event concerns. It is empty for Members, Config and Tick.
func (e Event) ID() string { return e.id }

// unknownService returns the problem for a request to a model service that is
// not in the configuration.
func unknownService(service string) *errs.Problem {
	return errs.New(errs.NotFound, errs.NotRun, "no model service is named %q", service)
}
