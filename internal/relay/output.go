package relay

import (
	"clementinelink.example/clementinelink/internal/errs"
)

// OutputKind identifies the content of an Output.
type OutputKind uint8

// The output kinds. The last output of a response is Done or Failed.
const (
	// Chunk carries the text of one token.
	Chunk OutputKind = iota
	// Done ends a complete response.
	Done
	// Failed ends a response with a problem.
	Failed
)

// Output is one message from the dispatcher to the goroutine that serves a
// caller.
type Output struct {
	kind OutputKind
	text string
	// at is the position after this output, from which the caller's cursor is
	// made.
	at           *Resume
	finish       string
	promptTokens int
	problem      *errs.Problem
}

// NewChunk returns the output for one token; at is the position after it.
func NewChunk(text string, at *Resume) Output {
	return Output{
		kind: Chunk,
		text: text,
		at:   at,
	}
}

// NewDone returns the last output of a complete response. The finish reason is
// "stop" or "length", and promptTokens is the engine's count of prompt tokens.
func NewDone(finish string, promptTokens int, at *Resume) Output {
	return Output{
		kind:         Done,
		finish:       finish,
		promptTokens: promptTokens,
		at:           at,
	}
}

// NewFailed returns the last output of a failed response; at is nil before
// the first token.
func NewFailed(p *errs.Problem, at *Resume) Output {
	return Output{
		kind:    Failed,
		problem: p,
		at:      at,
	}
}

// Kind returns the kind of the output.
func (o Output) Kind() OutputKind { return o.kind }

// Text returns the token's text; it may be empty.
func (o Output) Text() string { return o.text }

// At returns the position after this output, or nil before the first token.
func (o Output) At() *Resume { return o.at }

// Finish returns the finish reason of Done, "stop" or "length".
func (o Output) Finish() string { return o.finish }

// PromptTokens returns the engine's count of prompt tokens, for Done only.
func (o Output) PromptTokens() int { return o.promptTokens }

// Problem returns the problem that ended the response, for Failed only.
func (o Output) Problem() *errs.Problem { return o.problem }
