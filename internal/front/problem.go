package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clementinelink.example/clementinelink/internal/errs"
)

// problemBase precedes a kind's slug in the type URI of a problem.
const problemBase = "https://clementinelink.example/problems/"

// problemBody is a problem in the JSON format of RFC 9457. Its error member has
// the format that OpenAI clients expect.
type problemBody struct {
	Type    string      `json:"type"`
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Detail  string      `json:"detail"`
	Outcome string      `json:"outcome"`
	Cursor  string      `json:"cursor,omitempty"`
	Error   clientError `json:"error"`
}

type clientError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newProblemBody(p *errs.Problem, cursor string) problemBody {
	return problemBody{
		Type:    problemBase + p.Kind().Slug(),
		Title:   p.Title(),
		Status:  p.Status(),
		Detail:  p.Detail(),
		Outcome: p.Outcome().String(),
		Cursor:  cursor,
		Error: clientError{
			Message: p.Title() + ": " + p.Detail() + " (outcome " + p.Outcome().String() + ")",
			Type:    clientType(p.Status()),
			Code:    p.Kind().Slug(),
		},
	}
}

// clientType returns the OpenAI error type for an HTTP status.
func clientType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// WriteProblem writes p as the response to a request. It must be called before
// any other write to w. A Retry-After header that is already set is kept.
func WriteProblem(w http.ResponseWriter, p *errs.Problem) { writeProblem(w, p, "") }

func writeProblem(w http.ResponseWriter, p *errs.Problem, cursor string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.Retry() > 0 && h.Get("Retry-After") == "" {
		seconds := (p.Retry() + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if p.Status() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if p.Outcome() != errs.NotRun {
		// OpenAI clients retry 408, 409, 429 and 5xx automatically unless this
		// header forbids it. Work that may have run must not be retried like that.
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(newProblemBody(p, cursor))
}

// invalid returns the problem for a malformed request, which has not run.
func invalid(format string, args ...any) *errs.Problem {
	return errs.New(errs.Invalid, errs.NotRun, format, args...)
}
