package proxy

import (
	"net/http"

	"clementinelink.example/clementinelink/internal/caller"
)

// Request is a caller's request.
type Request = caller.Request

// RequestSpec lists the properties of a Request.
type RequestSpec = caller.Spec

// Answer is an upstream's response.
type Answer = caller.Answer

// NewRequest returns a request with the properties of s.
func NewRequest(s RequestSpec) *Request { return caller.NewRequest(s) }

// NewAnswer returns an answer. The caller must not change the arguments afterwards.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return caller.NewAnswer(status, header, body)
}
