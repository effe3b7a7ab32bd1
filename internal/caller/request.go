package caller

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After time for a request
	// that can't be served at present. A crashed upstream is back after about a
	// second.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// retryAfterShare is the fraction of the caller's timeout that is sent as
	// Retry-After. Callers retry within a third of their timeout.
	retryAfterShare = 0.3
)

// Spec lists the properties of a caller's request that affect how it is
// forwarded. Its fields are exported for construction only.
type Spec struct {
	// Number is unique among the requests of this VM.
	Number uint64
	// ID is the caller's name for this attempt.
	ID   string
	Host string
	Path string
	// Key is the workspace key, or "" if the request has none.
	Key string
	// Prompt is the number of prompt tokens and Output the maximum number of
	// tokens to generate; both are 0 for requests other than streams.
	Prompt int
	Output int
	// Session identifies the part of the prompt that is specific to the
	// request, or is "".
	Session string
	// Parts holds the parts of the prompt that other requests may share.
	Parts []string
	// Position is the index of the last piece that the caller has, or 0 for a
	// new stream.
	Position int
	// Wait is the caller's timeout for the complete answer, or 0 if it is
	// unknown.
	Wait time.Duration
}

// Request is a caller's request. It is immutable.
type Request struct {
	spec Spec
}

// NewRequest returns a request with the properties of s.
func NewRequest(s Spec) *Request {
	return &Request{
		spec: s,
	}
}

// Number returns the number that identifies the request on this VM.
func (q *Request) Number() uint64 { return q.spec.Number }

// ID returns the caller's name for this attempt.
func (q *Request) ID() string { return q.spec.ID }

// Spec returns the properties of the request, which must not be changed.
func (q *Request) Spec() *Spec { return &q.spec }

// RetryAfter returns the Retry-After time for the request if it is refused and nothing tells
// when it can be served.
func (q *Request) RetryAfter() time.Duration {
	return min(max(time.Duration(retryAfterShare*float64(q.spec.Wait)), minRetryAfter), maxRetryAfter)
}
