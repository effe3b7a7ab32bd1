package plain

import (
	"net/http"
	"time"

	"clementinelink.example/clementinelink/internal/claim"
	"clementinelink.example/clementinelink/internal/errs"
)

// Call is one HTTP request to an upstream.
type Call struct {
	// id is sent as X-Request-Id. An answer with another X-Request-Id is rejected.
	id     string
	method string
	// uri is the path and query.
	uri    string
	header http.Header
	body   []byte
	// deadline is the time from which on the call is not started and its answer
	// is no longer awaited.
	deadline time.Time
}

// NewCall returns a call from the caller's request. The header must not be
// changed afterwards.
func NewCall(id, method, uri string, header http.Header, body []byte, deadline time.Time) *Call {
	return &Call{
		id:       id,
		method:   method,
		uri:      uri,
		header:   header,
		body:     body,
		deadline: deadline,
	}
}

// Result is the result of a call: an answer or a problem.
type Result struct {
	outcome errs.Outcome
	answer  *claim.Answer
	problem *errs.Problem
	// leaving is true when the upstream states that it takes no new work.
	leaving bool
}

// Outcome returns whether the call ran, didn't run or may have run.
func (r Result) Outcome() errs.Outcome { return r.outcome }

// Answer returns the upstream's answer, or nil when there is a problem.
func (r Result) Answer() *claim.Answer { return r.answer }

// Problem returns the problem, or nil.
func (r Result) Problem() *errs.Problem { return r.problem }

// Leaving reports whether the upstream states that it takes no new work.
func (r Result) Leaving() bool { return r.leaving }

// Failed returns the result of a call that ended with a problem.
func Failed(p *errs.Problem) Result {
	return Result{
		outcome: p.Outcome(),
		problem: p,
	}
}

// Answered returns the result of a call that the upstream answered.
func Answered(a *claim.Answer) Result {
	return Result{
		outcome: errs.Ran,
		answer:  a,
	}
}
