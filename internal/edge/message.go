package edge

import (
	"context"
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/pool"
	"clementinelink.example/clementinelink/internal/proxy"
	"clementinelink.example/clementinelink/internal/reap"
	"clementinelink.example/clementinelink/internal/stand"
	"github.com/cockroachdb/errors"
)

// Message is a caller's HTTP request in the form in which it is forwarded. It
// is immutable.
type Message struct {
	method string
	target string
	host   string
	header http.Header
	body   []byte
}

// NewMessage returns a message. target is the request target as the caller
// sent it. The arguments must not be changed afterwards.
func NewMessage(method, target, host string, header http.Header, body []byte) *Message {
	return &Message{
		method: method,
		target: target,
		host:   host,
		header: header,
		body:   body,
	}
}

// Method returns the HTTP method.
func (m *Message) Method() string { return m.method }

// Target returns the request target as the caller sent it.
func (m *Message) Target() string { return m.target }

// Host returns the caller's Host field.
func (m *Message) Host() string { return m.host }

// Header returns the header. The caller must not change it.
func (m *Message) Header() http.Header { return m.header }

// Body returns the body. The caller must not change it.
func (m *Message) Body() []byte { return m.body }

// AttemptSpec describes one attempt to send a message to an upstream. It holds
// copies of the core's decisions because an attempt runs concurrently with the
// dispatcher, which owns the upstreams. Its fields are exported for
// construction only.
type AttemptSpec struct {
	Number  uint64
	Attempt int
	ID      string
	Message *Message
	// Address is the upstream's host:port. Instance is the id of the
	// incarnation that must run the request.
	Address  string
	Instance string
	// Holder is the address of the engine that keeps a standby copy of the run,
	// or "".
	Holder string
	// Copied is true if the run continues from an existing copy: the one that
	// Handle names, or the standby copy at Address if Handle is "".
	Copied bool
	// Source is the address of the engine that made the copy on request, and
	// Handle identifies that copy. Both are "" for a standby copy.
	Source string
	Handle string
	// Stream is true if the answer is a stream of pieces.
	Stream bool
	// Position is the index of the last piece that the caller already has, or
	// 0 for none.
	Position int
	// Deadline is the time by which the attempt must end.
	Deadline time.Time
	// Rank is the scheduling priority at the engine; 0 is the most urgent.
	Rank int
	// Workspace is the name of the caller's workspace, or "".
	Workspace string
	Contact   Contact
	// Unsent is called if the attempt ended with its context before any byte of the
	// message was sent.
	Unsent func()
}

// Contact connects a message that a goroutine sends to the state of its upstream,
// which the dispatcher owns. Its fields are exported for construction only.
type Contact struct {
	// Gate tells whether the message may still be sent once there is a connection.
	// It may be nil. For an order to stop a run, it tells whether messages may follow
	// the order.
	Gate *stand.Gate
	// Heard receives what the head of each answer states about the upstream,
	// whatever the answer's status. It may block for a short time.
	Heard func(stand.Statement)
}

// ErrMalformedAnswer means that an upstream's answer could not be decoded. The
// upstream is nevertheless alive.
var ErrMalformedAnswer = errors.New("edge: malformed answer")

// Upstreams holds the functions that communicate with upstreams. They may be
// called concurrently.
type Upstreams struct {
	// Send performs an attempt and reports its progress through emit: Head and
	// Piece events for a stream, and finally one Finish, Reply or Lost event.
	// It emits nothing further once ctx has ended, but calls Unsent if that applies.
	// The other functions, too, pass what any answer states about the upstream to
	// Contact.Heard.
	Send func(ctx context.Context, o AttemptSpec, emit func(proxy.Event))
	// Copy requests that the engine at address copy the run of the request id
	// to the engine at holder. It returns the handle of the copy.
	Copy func(ctx context.Context, address, id, holder string, c Contact) (string, error)
	// State queries the state of the engine at address. The error is
	// ErrMalformedAnswer if the answer can't be decoded.
	State func(ctx context.Context, address string, c Contact) (pool.State, error)
	// StopRun orders an engine to stop a run, over a connection of its own.
	StopRun func(ctx context.Context, o reap.Order, c Contact) (reap.Outcome, error)
	// InstanceID returns the id of the incarnation that answers at address, taken
	// from a request to the health check path.
	InstanceID func(ctx context.Context, address, path string, c Contact) (string, error)
	// CachedTokens returns the number of tokens of a prompt that the engine at
	// address has in its cache.
	CachedTokens func(ctx context.Context, address, prompt string, c Contact) (int, error)
}
