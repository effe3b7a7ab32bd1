package proxy

import (
	"net/http"
	"time"
)

// RequestSpec lists the properties of a caller's request that affect how it is
// forwarded. Its fields are exported for construction only.
type RequestSpec struct {
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
	spec RequestSpec
}

// NewRequest returns a request with the properties of s.
func NewRequest(s RequestSpec) *Request {
	return &Request{
		spec: s,
	}
}

// Number returns the number that identifies the request on this VM.
func (q *Request) Number() uint64 { return q.spec.Number }

// ID returns the caller's name for this attempt.
func (q *Request) ID() string { return q.spec.ID }

// Answer is an upstream's response with its status, header and body unchanged.
// The head of a stream has no body. It is immutable.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer. The caller must not change the arguments
// afterwards.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{
		status: status,
		header: header,
		body:   body,
	}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Header returns the header. The caller must not change it.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the body. The caller must not change it.
func (a *Answer) Body() []byte { return a.body }

// Failed reports whether the status is a server error (5xx), or one that callers
// take for the promise that the request did not run.
func (a *Answer) Failed() bool {
	return a.status >= http.StatusInternalServerError || a.promisesNotRun()
}

// promisesNotRun reports whether callers take the status for the promise that the
// request did not run and never will.
func (a *Answer) promisesNotRun() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
