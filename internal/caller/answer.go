package caller

import "net/http"

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
	return a.status >= http.StatusInternalServerError || a.PromisesNotRun()
}

// PromisesNotRun reports whether callers take the status for the promise that the
// request did not run and never will.
func (a *Answer) PromisesNotRun() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
