package relay

import (
	"encoding/json"
	"time"

	"clementinelink.example/clementinelink/internal/world"
)

// Sampling holds the sampling settings that are sent with every attempt.
type Sampling struct {
	temperature float64
	topP        float64
	stop        []string
}

// NewSampling returns sampling settings. A negative temperature or topP selects
// the engine's default.
func NewSampling(temperature, topP float64, stop []string) Sampling {
	return Sampling{
		temperature: temperature,
		topP:        topP,
		stop:        stop,
	}
}

// Temperature returns the temperature, negative for the engine's default.
func (s Sampling) Temperature() float64 { return s.temperature }

// TopP returns the nucleus sampling threshold, negative for the engine's
// default.
func (s Sampling) TopP() float64 { return s.topP }

// Stop returns the stop sequences. The caller must not modify the slice.
func (s Sampling) Stop() []string { return s.stop }

// Request is a caller's request for one generation. It must not be modified
// after it was passed to the dispatcher.
type Request struct {
	id        string
	service   string
	workspace string
	class     world.Class
	// Either prompt or messages is set, never both.
	prompt   string
	messages json.RawMessage
	// prefix is a hash of the start of the prompt. Requests with equal hashes
	// prefer the same engines, whose prefix caches they can reuse.
	prefix   uint64
	limit    int
	seed     uint64
	sampling Sampling
	deadline time.Time
	trace    string
	// grace is how long the generation continues after its caller disconnects,
	// so that the caller can reconnect to it; zero for a caller without a cursor.
	grace  time.Duration
	resume *Resume
}

// NewRequest returns a request with the engine's default sampling. The id must be
// unique across all VMs.
func NewRequest(id, service, workspace string, class world.Class, deadline time.Time) *Request {
	return &Request{
		id:        id,
		service:   service,
		workspace: workspace,
		class:     class,
		deadline:  deadline,
		sampling:  NewSampling(-1, -1, nil),
	}
}

// WithPrompt sets the prompt text and the hash of its start, and returns r.
func (r *Request) WithPrompt(prompt string, prefix uint64) *Request {
	r.prompt = prompt
	r.prefix = prefix
	return r
}

// WithMessages sets the chat messages as JSON and the hash of their start, and
// returns r.
func (r *Request) WithMessages(messages json.RawMessage, prefix uint64) *Request {
	r.messages = messages
	r.prefix = prefix
	return r
}

// WithSampling sets the largest number of tokens to generate, the seed and the
// sampling settings, and returns r.
func (r *Request) WithSampling(limit int, seed uint64, sampling Sampling) *Request {
	r.limit = limit
	r.seed = seed
	r.sampling = sampling
	return r
}

// WithTrace sets the W3C traceparent that is passed on to engines, and returns r.
func (r *Request) WithTrace(trace string) *Request {
	r.trace = trace
	return r
}

// WithGrace sets how long the generation continues after its caller
// disconnects, and returns r.
func (r *Request) WithGrace(d time.Duration) *Request {
	r.grace = d
	return r
}

// WithResume makes the request continue an earlier response at the position of
// the caller's cursor, and returns r.
func (r *Request) WithResume(s *Resume) *Request {
	r.resume = s
	return r
}

// ID returns the request's unique id.
func (r *Request) ID() string { return r.id }

// Service returns the model service's name.
func (r *Request) Service() string { return r.service }

// Workspace returns the caller's workspace.
func (r *Request) Workspace() string { return r.workspace }

// Class returns the admission class.
func (r *Request) Class() world.Class { return r.class }

// Prompt returns the prompt text, or "" for a chat.
func (r *Request) Prompt() string { return r.prompt }

// Messages returns the chat messages as JSON, or nil.
func (r *Request) Messages() json.RawMessage { return r.messages }

// Prefix returns the hash of the prompt's start.
func (r *Request) Prefix() uint64 { return r.prefix }

// Limit returns the largest number of tokens to generate.
func (r *Request) Limit() int { return r.limit }

// Seed returns the sampling seed.
func (r *Request) Seed() uint64 { return r.seed }

// Sampling returns the sampling settings.
func (r *Request) Sampling() Sampling { return r.sampling }

// Deadline returns the time by which the response must be complete.
func (r *Request) Deadline() time.Time { return r.deadline }

// Trace returns the W3C traceparent, or "".
func (r *Request) Trace() string { return r.trace }

// Grace returns how long the generation continues after its caller disconnects.
func (r *Request) Grace() time.Duration { return r.grace }

// Resume returns the position at which to continue an earlier response, or nil
// for a new request.
func (r *Request) Resume() *Resume { return r.resume }

// Resume is a position in a response. It is the content of the cursor that a
// caller sends back when it reconnects. It is immutable.
type Resume struct {
	version string
	engine  string
	address string
	attempt uint32
	// offset is the number of tokens that the caller received.
	offset int
	// digest is the rolling hash of the received tokens.
	digest uint64
}

// NewResume returns the position after offset tokens, whose rolling hash is
// digest. The last of them came from the numbered attempt on the engine.
func NewResume(version, engine, address string, attempt uint32, offset int, digest uint64) *Resume {
	return &Resume{
		version: version,
		engine:  engine,
		address: address,
		attempt: attempt,
		offset:  offset,
		digest:  digest,
	}
}

// Version returns the model version that generated the response.
func (s *Resume) Version() string { return s.version }

// Engine returns the name of the engine's VM.
func (s *Resume) Engine() string { return s.engine }

// Address returns the engine's host:port.
func (s *Resume) Address() string { return s.address }

// Attempt returns the number of the attempt that produced the latest token.
func (s *Resume) Attempt() uint32 { return s.attempt }

// Offset returns the number of tokens that the caller received.
func (s *Resume) Offset() int { return s.offset }

// Digest returns the rolling hash of the received tokens.
func (s *Resume) Digest() uint64 { return s.digest }
