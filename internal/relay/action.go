package relay

import (
	"clementinelink.example/clementinelink/internal/errs"
	"clementinelink.example/clementinelink/internal/fleet"
	"clementinelink.example/clementinelink/internal/world"
)

// ActionKind identifies what the dispatcher has to do for an Action.
type ActionKind uint8

// The action kinds.
const (
	// Open starts a new attempt on an engine.
	Open ActionKind = iota
	// Attach continues reading a stream that the engine retains.
	Attach
	// Cancel stops an attempt on its engine; further output of it is ignored.
	Cancel
	// Detach stops reading an attempt without stopping its engine stream,
	// which another response takes over.
	Detach
	// Emit delivers an output to the caller.
	Emit
	// End releases everything that is held for the response.
	End
)

// String returns the kind's name in traces.
func (k ActionKind) String() string {
	return [...]string{"open", "attach", "cancel", "detach", "emit", "end"}[k]
}

// Action is one step that the dispatcher has to carry out for a response. Which
// accessors are meaningful depends on its kind.
type Action struct {
	kind    ActionKind
	request *Request
	engine  *fleet.Engine
	// vm is the engine's VM at the time of the decision. It is kept apart
	// because attempts read it concurrently, while the dispatcher may replace
	// the VM of the engine.
	vm      *world.VM
	version string
	// attempt is the number of the attempt that the action starts or stops.
	attempt uint32
	// source is the attempt whose retained stream Attach takes over.
	source uint32
	offset int
	// prefix holds the accepted token IDs; the elements are never modified.
	prefix []uint32
	output Output
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Request returns the request that the action belongs to.
func (a Action) Request() *Request { return a.request }

// Engine returns the engine of Open, Attach, Cancel and Detach. Only the
// dispatcher goroutine may use it.
func (a Action) Engine() *fleet.Engine { return a.engine }

// Address returns the engine's host:port for Open, Attach and Cancel. It may be
// called concurrently with changes of the engine.
func (a Action) Address() string { return a.vm.Address() }

// Version returns the model version of Open and Attach.
func (a Action) Version() string { return a.version }

// Attempt returns the number of the attempt that the action starts or stops.
func (a Action) Attempt() uint32 { return a.attempt }

// Source returns the number of the attempt whose stream Attach takes over.
func (a Action) Source() uint32 { return a.source }

// Offset returns the index of the first token that Attach requests.
func (a Action) Offset() int { return a.offset }

// Prefix returns the IDs of the accepted tokens, from which Open continues. The
// caller must not modify the slice.
func (a Action) Prefix() []uint32 { return a.prefix }

// Output returns the output of Emit.
func (a Action) Output() Output { return a.output }

// Refuse returns the actions that refuse a request that was not admitted.
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
