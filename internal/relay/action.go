package relay

import (
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
)

// ActionKind tells what a driver has to do.
type ActionKind uint8

// The kinds of action.
const (
	// Open starts a new attempt on an engine.
	Open ActionKind = iota
	// Attach continues a stream that the engine retains.
	Attach
	// Cancel stops an attempt on its engine; its output no longer counts.
	Cancel
	// Detach stops reading an attempt without stopping its engine stream,
	// which another response takes over.
	Detach
	// Emit gives an output to the caller.
	Emit
	// End forgets the response.
	End
)

// String returns the kind's name in traces.
func (k ActionKind) String() string {
	return [...]string{"open", "attach", "cancel", "detach", "emit", "end"}[k]
}

// Action is one thing to do for a response.
type Action struct {
	kind    ActionKind
	request *Request
	engine  *fleet.Engine
	// address is the engine's at the time of Open or Attach: the engine itself
	// belongs to the dispatcher, and an attempt runs beside it.
	address string
	version string
	// attempt is the number of the attempt that the action starts or stops.
	attempt uint32
	// source is the attempt whose retained stream Attach takes over.
	source uint32
	offset int
	// prefix holds the delivered token ids; it is never written to again.
	prefix []uint32
	output Output
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Request returns the request that the action belongs to.
func (a Action) Request() *Request { return a.request }

// Address returns the engine's host:port for Open and Attach.
func (a Action) Address() string { return a.address }

// Engine returns the engine of Open, Attach and Cancel. Only the duty that owns
// the engines may use it.
func (a Action) Engine() *fleet.Engine { return a.engine }

// Version returns the version of Open.
func (a Action) Version() string { return a.version }

// Attempt returns the number of the attempt.
func (a Action) Attempt() uint32 { return a.attempt }

// Source returns the attempt whose stream Attach takes over.
func (a Action) Source() uint32 { return a.source }

// Offset returns the first token index wanted by Attach.
func (a Action) Offset() int { return a.offset }

// Prefix returns the delivered token ids for Open. The caller must not change
// them.
func (a Action) Prefix() []uint32 { return a.prefix }

// Output returns the output of Emit.
func (a Action) Output() Output { return a.output }

// Refuse returns the actions that refuse a request before it is admitted.
func Refuse(q *Request, p *errs.Problem) []Action {
	return []Action{
		{
			kind:    Emit,
			request: q,
			output:  NewFailed(p, q.Resume()),
		},
		{
			kind:    End,
			request: q,
		},
	}
}
